"""Summary of journal entries, each with the results of several days.

Run with ``python benchmarks/hunt_summary.py ENTRY...``. An entry is the JSON file of a
``hunt`` or ``score`` command. The days that broke a rule, ended with a fault, missed a
minimum (``short``) or failed the gate are listed, followed by the distribution of the
earned share of each job class. Days that broke no rule may still miss a minimum.
"""

from __future__ import annotations

import json
import statistics
import sys
from collections.abc import Iterator
from typing import Any


def find_failures(days: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a line for each failed day."""
    for day in days:
        if day["rules"] or day["fault"] or day["short"] or not day["gate"]:
            causes = [f"{rule} {count}" for rule, count in day["rules"].items()]
            causes += [str(day["fault"])] if day["fault"] else []
            causes += day["short"]
            yield f"{day['name']}: {'; '.join(causes) or 'gate failed'}"


def describe_distribution(shares: list[float]) -> str:
    """Return minimum, lower decile, median and maximum of the days' shares."""
    ordered = sorted(shares)
    quantiles = {
        "lowest": ordered[0],
        "lowest tenth": ordered[len(ordered) // 10],
        "median": statistics.median(ordered),
        "highest": ordered[-1],
    }
    return ", ".join(f"{name} {share:.3f}" for name, share in quantiles.items())


def main(paths: list[str]) -> None:
    """Print the failed days and the shares of each entry."""
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        days = entry["days"]
        print(f"{entry['cmd']} {entry['site']}, {len(days)} days, {entry['head'][:7]}")
        for line in find_failures(days):
            print(f"  FAILED {line}")
        classes = [day["by_class"] for day in days if day.get("by_class")]
        for number in range(len(classes[0]) if classes else 0):
            shares = [row[number] for row in classes if row[number] is not None]
            if shares:
                print(f"  class {number}: {describe_distribution(shares)}")
        worths = [day["G"] for day in days if day["G"] is not None]
        if worths:
            print(f"  worth: {describe_distribution(worths)}")


if __name__ == "__main__":
    main(sys.argv[1:])

"""Figures of the days of a hunt or a score, from entries of the journal.

Run with ``python benchmarks/hunt_figures.py ENTRY...``. For each entry it names the
days that broke a rule, missed a floor or failed the gate, and prints how the earned
share of each class is spread. A hunt without a broken rule may still miss floors.
"""

from __future__ import annotations

import json
import statistics
import sys
from collections.abc import Iterator
from typing import Any


def find_failures(days: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a line for each day that is not as it should be."""
    for day in days:
        if day["rules"] or day["fault"] or day["short"] or not day["gate"]:
            causes = [f"{rule} {count}" for rule, count in day["rules"].items()]
            causes += [str(day["fault"])] if day["fault"] else []
            causes += day["short"]
            yield f"{day['name']}: {'; '.join(causes) or 'gate failed'}"


def describe_spread(shares: list[float]) -> str:
    """Return the lowest, the lowest tenth, the median and the highest of the days."""
    ordered = sorted(shares)
    figures = {
        "lowest": ordered[0],
        "lowest tenth": ordered[len(ordered) // 10],
        "median": statistics.median(ordered),
        "highest": ordered[-1],
    }
    return ", ".join(f"{name} {share:.3f}" for name, share in figures.items())


def main(paths: list[str]) -> None:
    """Print the figures of entries."""
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
                print(f"  class {number}: {describe_spread(shares)}")
        worths = [day["G"] for day in days if day["G"] is not None]
        if worths:
            print(f"  worth: {describe_spread(worths)}")


if __name__ == "__main__":
    main(sys.argv[1:])

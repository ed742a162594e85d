"""A job that fills and requests no ``Cpu`` ends the tasks that last beside it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from site2 import BROKEN, HELD, Site, finish, trouble

RUNNERS = 3
MAY_MISS = 1
LASTING = "5d3e8b1f60a7c924"
FILLING = "c80f24d9e6b1735a"
#: Seconds that are watched after the job that fills was accepted.
WATCHED_S = 20.0


def play() -> int:
    """Play the case and return its exit status."""
    labels = [["a", f"r{number}"] for number in range(RUNNERS)]
    with Site(Path(__file__).parent, 2, labels) as site:
        site.wait_ready()
        lasting = {
            "Count": RUNNERS,
            "Cpu": 13000,
            "MemMb": 26000,
            "AntiAffinity": 1,
            "LongRunning": True,
            "MayMiss": MAY_MISS,
            "Image": "crew-track",
            "TargetMs": 25,
        }
        site.submit(LASTING, "last", [lasting])
        time.sleep(6.0)
        filling = {
            "Count": RUNNERS,
            "MemMb": 13000,
            "EstimateMs": 8000,
            "AntiAffinity": 1,
            "Image": "cut-plan",
            "Fills": True,
        }
        if not trouble():
            filling["Cpu"] = 7000
        site.submit(FILLING, "work 8", [filling])
        time.sleep(WATCHED_S)
        runs = [r for runner in site.runners for r in runner.history]
        lapsed = [
            r for r in runs if r["task"].startswith(LASTING) and r["how"] == "lapsed"
        ]
        # Runs of the step that were away while another one lapsed.
        away = max(
            (sum(abs(o["end"] - r["end"]) < 0.5 for o in lapsed) for r in lapsed),
            default=0,
        )
        done = [r for r in runs if r["task"].startswith(FILLING) and r["how"] == "done"]
        site.record.write(
            "result", lapsed=len(lapsed), at_once=away, filling_done=len(done)
        )
        print(f"{len(lapsed)} lasting runs lapsed, {away} at once; {len(done)} done")
        return BROKEN if away > MAY_MISS else HELD


finish(play)

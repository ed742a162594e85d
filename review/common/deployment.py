"""Small deployment on loopback: the project's programs beside stand-ins.

The programs are started with the commands of ``deploy/system.toml`` and with settings
rendered from their templates.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent
#: Exit codes of a case; ``run.sh`` turns them into those that are asked for, since
#: Python itself exits with 1 after an unexpected error.
HELD, BROKEN, NOT_RUN = 0, 3, 4
HOST = "desk.example"
SERVICE = "desk"
#: Time limit that clients state, and time after which they give up, in seconds.
CLIENT_SECONDS = 3.0
#: Retries of a client.
_RETRIES = 4
_START_SECONDS = 20.0
#: Interval of a runner's heartbeats and duration of a stop, in seconds.
_HEARTBEAT_SECONDS = 1.5
_STOP_SECONDS = 0.3
#: Ports below the range that the kernel uses for outgoing connections. Each site takes
#: its ports from a block of its own, so that several cases can run side by side.
_PORTS = range(15_000, 32_000)
_BLOCK = 100


class CannotRun(Exception):
    """The case could not be carried out."""


def has_trouble() -> bool:
    """Return whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Site:
    """Store, entries, and VMs with an agent and a runner each.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._work = Path(tempfile.mkdtemp(prefix="review-"))
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []
        self._block = _hold_block()
        self._taken = {self._block.getsockname()[1]}
        self._store = f"127.0.0.1:{self._take_port()}"
        self._clients: list[str] = []
        self._turn = 0
        self.began_at = time.time()

    def __enter__(self) -> Site:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._block.close()
        self._write_record()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self._work}")
        else:
            shutil.rmtree(self._work, ignore_errors=True)

    def _write_record(self) -> None:
        lines = list(self._lines)
        for row in self.read_runs():
            fields = {k: v for k, v in row.items() if k not in ("t", "runner", "event")}
            lines.append((row["t"], f"{row['runner']} {row['event']} {fields}"))
        text = "".join(
            f"{at - self.began_at:8.3f} {line}\n" for at, line in sorted(lines)
        )
        (self._folder / "record.txt").write_text(text)

    def note(self, line: str) -> None:
        """Add a line to the record."""
        with self._lock:
            self._lines.append((time.time(), line))

    # Processes.

    def _take_port(self) -> int:
        first = self._block.getsockname()[1]
        for port in range(first, first + _BLOCK):
            if port in self._taken:
                continue
            self._taken.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
        raise CannotRun(f"no free port in {first} to {first + _BLOCK}")

    def _launch(self, name: str) -> None:
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._work / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note(f"site starts {name}")

    def _start(self, name: str, command: list[str], port: int) -> None:
        self._commands[name] = command
        self._launch(name)
        self._wait_for_port(name, port)

    def _wait_for_port(self, name: str, port: int) -> None:
        ends_at = time.time() + _START_SECONDS
        while time.time() < ends_at:
            with socket.socket() as probe:
                listens = probe.connect_ex(("127.0.0.1", port)) == 0
            if self._processes[name].poll() is not None:
                raise CannotRun(f"{name} has ended")
            if listens:
                return
            time.sleep(0.05)
        raise CannotRun(f"{name} does not listen")

    def _start_role(self, role: str, name: str, port: int, fields: Any) -> None:
        """Start a program of the deploy file with its settings."""
        template = (ROOT / self._roles[role]["template"]).read_text()
        path = self._work / f"{name}.yaml"
        path.write_text(
            re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields[found[1]]), template)
        )
        words = self._roles[role]["run"].split()
        command = [
            str(path) if word == "/etc/pollenkeel/settings.json" else word
            for word in words
        ]
        self._start(name, command, port)

    def start_store(self) -> None:
        """Start the stand-in of the metadata store."""
        port = self._store.rpartition(":")[2]
        self._start(
            "store", [sys.executable, str(COMMON / "store.py"), port], int(port)
        )

    def start_entry(self, name: str, zone: str) -> None:
        """Start an entry."""
        client, ready = self._take_port(), self._take_port()
        fields = self._common_fields(name, zone)
        fields |= {
            "Listen.Frontend": f"127.0.0.1:{client}",
            "Listen.Readiness": f"127.0.0.1:{ready}",
            "Advice": f"127.0.0.1:{self._take_port()}",
            "Bounds.GraceS": 6,
            "Limits.CpuShare": 0.43,
            "Limits.Cores": 1,
        }
        self._start_role("entry", name, client, fields)
        self._clients.append(f"127.0.0.1:{client}")

    def _common_fields(self, name: str, zone: str) -> dict[str, Any]:
        return {
            "NodeName": name,
            "Zone": zone,
            "Ip": "127.0.0.1",
            "PortRange.0": self._take_port(),
            "PortRange.1": self._take_port(),
            "platform.Address": self._store,
        }

    def start_vm(
        self,
        name: str,
        zone: str = "kingston",
        labels: str = "a,r1",
        cpu: int = 64_000,
        memory: int = 256_000,
        first_heartbeat: float = 0.0,
    ) -> None:
        """Start an agent ``agent-NAME`` and a runner ``runner-NAME``."""
        app, register = self._take_port(), self._take_port()
        fields = self._common_fields(f"agent-{name}", zone)
        fields |= {
            "app": f"127.0.0.1:{app}",
            "Listen.ControlPlane": f"127.0.0.1:{register}",
        }
        self._start_role("agent", f"agent-{name}", register, fields)
        options = {
            "id": f"i-{name}",
            "agent": f"127.0.0.1:{register}",
            "zone": zone,
            "service": SERVICE,
            "labels": labels,
            "record": str(self._work / f"runs-{name}.jsonl"),
            "port": app,
            "cpu": cpu,
            "memory": memory,
            "heartbeat": _HEARTBEAT_SECONDS,
            "first-heartbeat": first_heartbeat,
            "stop-seconds": _STOP_SECONDS,
        }
        words = [f"--{key}={value}" for key, value in options.items()]
        command = [sys.executable, str(COMMON / "runner.py"), *words]
        self._start(f"runner-{name}", command, app)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.note(f"site kills {name}")
        self._processes[name].kill()
        self._processes[name].wait()
        role, _, vm = name.partition("-")
        if role == "runner":
            row = {"t": round(time.time(), 3), "runner": f"i-{vm}", "event": "crash"}
            with open(self._work / f"runs-{vm}.jsonl", "a") as record:
                record.write(json.dumps(row) + "\n")

    def restart(self, name: str) -> None:
        """Start a process again that was killed."""
        self._launch(name)

    # Operator and platform.

    def write_config(self, version: int, queues: dict[str, dict[str, Any]]) -> None:
        """Write the operator's config with a route for each queue."""
        routes = [
            {
                "Name": f"r-{name}",
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "Kind": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": 0,
                "Backend": SERVICE,
                "Attempts": 3,
                "Stretch": 2.0,
                **fields,
            }
            for name, fields in queues.items()
        ]
        config = {"Version": version, "Routes": routes, "Services": [], "Limits": {}}
        self.write_operator("config", config)

    def write_operator(self, key: str, value: dict[str, Any] | None) -> None:
        """Write a row as the operator does; None removes it."""
        self._control("operator", {"key": key, "value": value})
        self.note(f"operator writes op/{key} = {json.dumps(value)}")

    def set_store_busy(self, busy: bool) -> None:
        """Make the store refuse all calls with 503, or answer again."""
        self._control("mode", {"busy": busy})
        self.note(f"store {'refuses all calls' if busy else 'answers again'}")

    def count_refused_rows(self) -> int:
        """Return how many writes of rows above ``RowBytes`` the store has refused."""
        return int(self._control("counts", {})["refused_rows"])

    def _control(self, verb: str, body: Any) -> Any:
        status, answer = _call("POST", self._store, f"/control/{verb}", body)
        if status != 200:
            raise CannotRun(f"the store's control call {verb} failed")
        return answer

    # Clients.

    def request(
        self, method: str, queue: str, job: str, body: Any = None, entry: int = -1
    ) -> tuple[int, Any]:
        """Send a client's request; the status is 0 if there is no answer."""
        if entry < 0:
            self._turn += 1
            entry = self._turn
        address = self._clients[entry % len(self._clients)]
        status, answer = _call(method, address, f"/{queue}/{job}", body)
        self.note(f"client {method} /{queue}/{job} -> {status or 'none'} {answer}")
        return status, answer

    def submit(
        self, queue: str, job: str, spec: Any, steps: list[Any], **times: int
    ) -> bool:
        """Hand a job in, with retries at other nodes; return whether it is accepted."""
        body = {"Spec": json.dumps(spec), "Steps": steps, **times}
        self.note(f"client hands in {job}: {json.dumps(body)[:300]}")
        for _ in range(1 + _RETRIES):
            status, _answer = self.request("POST", queue, job, body)
            if status == 200:
                return True
            time.sleep(1.0)
        return False

    def find_state(self, queue: str, job: str) -> str:
        """Return the state of a job, or the status if it is not 200."""
        status, answer = self.request("GET", queue, job)
        return str(answer["State"]) if status == 200 else str(status)

    def wait_for_state(
        self, queue: str, job: str, states: set[str], seconds: float
    ) -> str:
        """Wait until a job is in one of these states; return the last state seen."""
        ends_at = time.time() + seconds
        while True:
            state = self.find_state(queue, job)
            if state in states or time.time() > ends_at:
                return state
            time.sleep(0.25)

    def wait_until_serving(self, queue: str) -> None:
        """Wait until a task runs to its end, so that all programs are up."""
        ends_at = time.time() + _START_SECONDS
        step = {"Count": 1, "Cpu": 100, "MemMb": 10, "EstimateMs": 200}
        job = make_job_id()
        body = {"Spec": json.dumps({"s": 0.2}), "Steps": [step]}
        while self.request("POST", queue, job, body)[0] != 200:
            if time.time() > ends_at:
                raise CannotRun("no entry accepts jobs")
            time.sleep(0.3)
        if self.wait_for_state(queue, job, {"done"}, _START_SECONDS) != "done":
            raise CannotRun("the first job does not end")

    # Runners' records.

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the runners have recorded so far, in order of time."""
        rows = []
        for path in self._work.glob("runs-*.jsonl"):
            for line in path.read_text().splitlines():
                rows.append(json.loads(line))
        return sorted(rows, key=lambda row: row["t"])

    def find_runners(self, job: str) -> dict[str, str]:
        """Return the runner of each task of a job that runs now, by task."""
        found: dict[str, str] = {}
        for row in self.read_runs():
            if row["event"] == "crash":
                found = {t: r for t, r in found.items() if r != row["runner"]}
            elif row.get("task", "").startswith(job):
                if row["event"] == "start":
                    found[row["task"]] = row["runner"]
                elif row["event"] == "end" and found.get(row["task"]) == row["runner"]:
                    del found[row["task"]]
        return found


def _hold_block() -> socket.socket:
    """Return a socket bound to the first port of a block that no other site holds."""
    firsts = list(range(_PORTS.start, _PORTS.stop - _BLOCK + 1, _BLOCK))
    random.SystemRandom().shuffle(firsts)
    for first in firsts:
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", first))
            return holder
        except OSError:
            holder.close()
    raise CannotRun("no free block of ports")


def _call(method: str, address: str, path: str, body: Any) -> tuple[int, Any]:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CLIENT_SECONDS)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "Pollenkeel-Deadline-Remaining": str(int(CLIENT_SECONDS * 1000)),
    }
    content = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def make_job_id() -> str:
    """Return a job id of 16 hexadecimal digits."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


def run_case(folder: str, play: Any) -> None:
    """Play a case on a new site and exit with its result.

    ``play`` gets the site and returns what broke the rule, or an empty string.
    """
    path = Path(folder).resolve().parent
    if not (ROOT / "target/deps").exists():
        print("cannot run: no build under target/deps")
        sys.exit(NOT_RUN)
    with Site(path) as site:
        try:
            broken = play(site)
        except CannotRun as error:
            site.note(f"cannot run: {error}")
            print(f"cannot run: {error}")
            sys.exit(NOT_RUN)
        verdict = f"rule broken: {broken}" if broken else "rule held"
        site.note(verdict)
        print(verdict)
        sys.exit(BROKEN if broken else HELD)


def find_idle_gaps(
    rows: list[dict[str, Any]], job: str, since: float, until: float
) -> list[tuple[float, float]]:
    """Return the spans in which no task of a job ran, as their begin and end.

    Parameters
    ----------
    rows : list of dict
        What the runners have recorded.
    job : str
        Id of the job.
    since, until : float
        Span to look at, in seconds since the Unix epoch.
    """
    gaps: list[tuple[float, float]] = []
    running: set[tuple[str, str, int]] = set()
    idle_from = since
    for row in rows:
        if row["event"] == "crash":
            ended = {run for run in running if run[0] == row["runner"]}
        elif row["event"] in ("start", "end") and row["task"].startswith(job):
            ended = {(row["runner"], row["task"], row["run"])}
        else:
            continue
        if row["event"] == "start":
            if not running:
                gaps.append((idle_from, min(row["t"], until)))
            running |= ended
        elif running and not running - ended:
            running.clear()
            idle_from = max(since, row["t"])
        else:
            running -= ended
    if not running:
        gaps.append((idle_from, until))
    return [(begin, end) for begin, end in gaps if end > begin >= since]


def find_doubled_tasks(site: Site) -> str:
    """Return how the rule TWICE is broken by what the runners record, or "".

    A run ends with its record of an end, or when its runner crashes.
    """
    running: dict[str, dict[tuple[str, int], float]] = {}
    done: dict[str, tuple[int, str]] = {}
    started_after: list[str] = []
    overlaps: list[str] = []
    rows = site.read_runs()
    noted = {
        (row["runner"], row["born"], row["n"])
        for row in rows
        if row["event"] == "noted"
    }
    for row in rows:
        runner, task = row["runner"], row.get("task", "")
        if row["event"] == "crash":
            for runs in running.values():
                for key in [key for key in runs if key[0] == runner]:
                    del runs[key]
        elif row["event"] == "start":
            runs = running.setdefault(task, {})
            if runs:
                overlaps.append(f"{task} run {row['run']}")
            if task in done:
                started_after.append(f"{task} run {row['run']}")
            runs[runner, row["run"]] = row["t"]
        elif row["event"] == "end":
            running.get(task, {}).pop((runner, row["run"]), None)
            if row["how"] == "done" and (runner, row["born"], row["n"]) in noted:
                done[task] = (row["run"], runner)
    found = []
    if overlaps:
        found.append(
            f"{len(overlaps)} runs beside another run of their task ({overlaps[0]})"
        )
    if started_after:
        found.append(
            f"{len(started_after)} runs after a noted end done ({started_after[0]})"
        )
    return "TWICE: " + "; ".join(found) if found else ""

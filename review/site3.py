"""Small deployment for the cases of the third review.

The entries and the agents are the project's own programs, started as separate processes
with the commands of the deploy file. The store, the runners and the clients are
stand-ins in this process; the links between them are relays, which can be silenced.
Only the standard library and the project's ``Relay`` are used here.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "standins"))

from pollenkeel_standins.relay import Relay  # noqa: E402

HOST = "desk.example"
SERVICE = "desk"
PREFIX = "/jobs/"
#: Bounds of the site file ptsc-keel.toml, in seconds.
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
DRAIN_SECONDS = 2.0
NOTICE_SECONDS = 4.5
GANG_SECONDS = 3.0
HOLD_MAX_SECONDS = 6.0
STOP_SECONDS = 0.9
VISIBLE_SECONDS = 3.0
#: Interval of the runners' heartbeats (``HeartbeatMs``).
HEARTBEAT_SECONDS = 1.5
#: Time that a client waits for an answer, in seconds.
CLIENT_SECONDS = 3.0
_READY_SECONDS = 30.0
#: A case ends after this time, with its processes.
_LONGEST_CASE_SECONDS = 110
_PAGE_ROWS = 500
_MAX_ENDS = 500
_POLL_SECONDS = 0.01
_CHECKPOINT_SECONDS = 1.0


class Broken(Exception):
    """A rule was broken."""


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line with its time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


Reply = tuple[int, Any]


class StandinServer(ThreadingHTTPServer):
    """HTTP server of a stand-in, which can end with all its connections."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, port: int, serve: Callable[[str, str, Any, Any], Reply]) -> None:
        self._sockets: set[socket.socket] = set()
        self._sockets_lock = threading.Lock()
        self.ended = False
        self.serve_request = serve
        super().__init__(("127.0.0.1", port), _Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        """``IP:PORT`` on which the server listens."""
        return f"127.0.0.1:{self.server_address[1]}"

    def get_request(self) -> Any:
        """Accept a connection and remember it."""
        request, address = super().get_request()
        request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._sockets_lock:
            self._sockets.add(request)
        return request, address

    def shutdown_request(self, request: Any) -> None:
        """Close a connection and forget it."""
        with self._sockets_lock:
            self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that its peer has closed."""

    def end(self) -> None:
        """Stop listening and break all connections, as the end of a process does."""
        self.ended = True
        self.shutdown()
        self.server_close()
        with self._sockets_lock:
            sockets = list(self._sockets)
        for connection in sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: StandinServer

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        content = self.rfile.read(length) if length else b""
        try:
            body = json.loads(content) if content else {}
        except ValueError:
            body = None
        status, reply = self.server.serve_request(
            self.command, self.path, self.headers, body
        )
        if self.server.ended:
            self.close_connection = True
            return
        data = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815


class Store:
    """The platform's store: rows, transactions, and the feed of changes."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._version = 0
        self._server = StandinServer(0, self._serve)
        self.address = self._server.address

    def write_operator(self, key: str, value: Any) -> None:
        """Write a row of the operator; None removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._condition:
            self._version += 1
            self._rows["op", "", key] = (text, self._version)
            self._condition.notify_all()

    def _serve(self, method: str, path: str, headers: Any, body: Any) -> Reply:
        name, _, text = path.partition("?")
        query = dict(parse_qsl(text, keep_blank_values=True))
        if name == "/api/rows-tx":
            return self._transact(body)
        if name == "/api/rows-get":
            return self._read(query)
        if name == "/api/rows-feed":
            return self._watch(query)
        return 404, {}

    def _transact(self, body: Any) -> Reply:
        with self._condition:
            conditions = body.get("ExpectedRev", [])
            if any(self._get_version(row) != row["Ver"] for row in conditions):
                current = [
                    self._describe(_make_key(row))
                    for row in conditions
                    if self._get_version(row)
                ]
                return 412, self._stamp({"rows": current})
            self._version += 1
            for row in body.get("Puts", []):
                self._rows[_make_key(row)] = (row["Value"], self._version)
            for row in body.get("Remove", []):
                self._rows[_make_key(row)] = (None, self._version)
            self._condition.notify_all()
            return 200, self._stamp({})

    def _read(self, query: dict[str, str]) -> Reply:
        with self._condition:
            keys = sorted(
                key
                for key, (value, _) in self._rows.items()
                if key[:2] == (query["Table"], query.get("part", ""))
                and key[2] >= query.get("From", "")
                and (not query.get("To") or key[2] < query["To"])
                and value is not None
            )
            rows = [self._describe(key) for key in keys[:_PAGE_ROWS]]
            return 200, self._stamp({"rows": rows, "HasMore": len(keys) > _PAGE_ROWS})

    def _watch(self, query: dict[str, str]) -> Reply:
        after = int(query["After"])
        ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self._condition:
            while True:
                changed = sorted(
                    (version, key)
                    for key, (_, version) in self._rows.items()
                    if key[0] == query["Table"] and version > after
                )
                left = ends_at - time.monotonic()
                if changed or left <= 0:
                    rows = [self._describe(key) for _, key in changed]
                    return 200, self._stamp({"rows": rows})
                self._condition.wait(left)

    def _get_version(self, row: dict[str, Any]) -> int:
        value, version = self._rows.get(_make_key(row), (None, 0))
        return version if value is not None else 0

    def _describe(self, key: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self._rows[key]
        fields = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
        return {**fields, **({"Deleted": True} if value is None else {"Value": value})}

    def _stamp(self, body: dict[str, Any]) -> dict[str, Any]:
        return {**body, "Ver": self._version, "NowMs": int(time.monotonic() * 1000)}


def _make_key(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["Table"], row.get("part", ""), row["Key"]


class Run:
    """A run in progress: when it began and how it ends by itself."""

    def __init__(self, task: str, number: int, spec: str, now: float) -> None:
        verb, _, seconds = spec.partition(" ")
        self.task, self.number, self.began = task, number, now
        self.lasts = verb == "last"
        self.how = "failed" if verb == "fail" else "done"
        self.ends_at = float("inf")
        # Of a gang: number of members, and the seconds of work once all are present.
        self.members, self.work = 0, 0.0
        if verb == "gang":
            members, work = seconds.split()
            self.members, self.work = int(members), float(work)
        elif not self.lasts:
            self.ends_at = now + float(seconds)

    @property
    def gang(self) -> tuple[str, int]:
        """Step and number of the run, which its members share."""
        return self.task.rpartition(".")[0], self.number

    def row(self, now: float) -> list[Any]:
        """Return the row of the run in ``Running``."""
        if self.members:
            return [self.task, self.number, "", 0, 0]
        if self.lasts:
            return [self.task, self.number, "", 100, 0]
        percent = int(100 * (now - self.began) / max(0.001, self.ends_at - self.began))
        return [self.task, self.number, "", min(99, percent), 0]


class Gangs:
    """Members of gangs on all runners, by step and number of the run."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._members: dict[tuple[str, int], set[str]] = {}
        self._work_began: dict[tuple[str, int], float] = {}
        self._how: dict[tuple[str, int], str] = {}

    def add(self, run: Run) -> None:
        """Add a member that has started."""
        with self._lock:
            self._members.setdefault(run.gang, set()).add(run.task)
            if len(self._members[run.gang]) == run.members:
                self._work_began.setdefault(run.gang, time.monotonic())

    def end(self, run: Run, how: str) -> None:
        """Record how a member has ended; the others end with it."""
        with self._lock:
            self._how.setdefault(run.gang, "done" if how == "done" else "broken")

    def find_end(self, run: Run, waited: float) -> str:
        """Return how a member ends now, or an empty string if it goes on."""
        with self._lock:
            if run.gang in self._how:
                return self._how[run.gang]
            began = self._work_began.get(run.gang)
            if began is None:
                return "alone" if waited > GANG_SECONDS else ""
            return "done" if time.monotonic() - began >= run.work else ""


class Runner:
    """Runner on a VM; each life has its own id, clock and counts.

    Parameters
    ----------
    name : str
        Name of its VM.
    record : Record
        Gets a line for each order, start and end.
    labels : list of str
        Its kind and its rack.
    gangs : Gangs
        Members of gangs on all runners.
    cpu : int
        Capacity in thousandths of a core.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        labels: list[str],
        gangs: Gangs,
        cpu: int = 64_000,
    ) -> None:
        self.name = name
        self.register = ""
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.up = False
        self._record = record
        self.labels, self._gangs, self._cpu = labels, gangs, cpu
        #: Seconds after which each task that starts here fails; None if none does.
        self.fails_after: float | None = None
        self._lives = 0
        self._port = 0
        self._lock = threading.Condition()
        self._server: StandinServer | None = None

    @property
    def address(self) -> str:
        """``IP:PORT`` at which it accepts its agent's calls."""
        return f"127.0.0.1:{self._port}"

    def start(self, keeps_id: bool = False, labels: list[str] | None = None) -> None:
        """Begin a new life, under a new id or the one that it had, maybe as another."""
        with self._lock:
            self.labels = labels or self.labels
            self._lives += 1
            if not keeps_id:
                self.id = f"i-{self.name}-{self._lives}"
            self._born = int(time.time() * 1000)
            self._zero = time.monotonic() - 1.0
            self._token = 0
            self._lease = 0.0
            self._runs: dict[str, Run] = {}
            self._highest: dict[str, int] = {}
            self._ended: list[list[Any]] = []
            self._count = 0
            self._sequence = 0
            self.up = True
            self._server = StandinServer(self._port, self._serve)
            self._port = self._server.server_address[1]
        life = self._lives
        self._record.write(f"{self.name}: life {life} begins as {self.id}")
        for loop in (self._send_heartbeats, self._end_runs):
            threading.Thread(target=loop, args=(life,), daemon=True).start()

    def crash(self) -> None:
        """End this life with all its runs; nothing is said to anybody."""
        with self._lock:
            self.up = False
            for run in self._runs.values():
                self.ends.append((self._record.now(), run.task, run.number, "crashed"))
                self._record.write(
                    f"{self.name}: {run.task} run {run.number} ended with the runner"
                )
            self._runs = {}
            self._lock.notify_all()
        self._record.write(f"{self.name}: crashed")
        if self._server is not None:
            self._server.end()

    def list_running(self) -> list[str]:
        """Return the ids of the tasks at work."""
        with self._lock:
            return sorted(self._runs)

    def _now(self) -> float:
        return time.monotonic() - self._zero

    def _serve(self, method: str, path: str, headers: Any, body: Any) -> Reply:
        with self._lock:
            if not self.up:
                return 503, {}
            if headers.get("Pollenkeel-Expected-Instance", self.id) != self.id:
                return 421, self._stamp({})
            token = body.get("FencingToken", 0)
            if token < self._token:
                return 409, self._stamp({"Reason": "fence"})
            self._token = token
            if path == "/api/run-start":
                return self._start_run(body)
            if path == "/api/run-stop":
                return self._stop_run(body)
            if path == "/api/hold":
                return self._hold(body)
            if path == "/api/pace":
                return 200, self._stamp({})
        return 404, {}

    def _stamp(self, body: dict[str, Any]) -> dict[str, Any]:
        return {**body, "ClockMs": int(self._now() * 1000), "born": self._born}

    def _extend(self, deadline_ms: float) -> None:
        longest = self._now() + HOLD_MAX_SECONDS
        self._lease = max(self._lease, min(deadline_ms / 1000, longest))

    def _start_run(self, body: Any) -> Reply:
        task, number, now = body["Task"], body["Run"], self._now()
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return 200, self._stamp({})
        if number <= self._highest.get(task, 0):
            self._extend(body["DeadlineMs"])
            return 409, self._stamp({"Reason": "old"})
        if body["DeadlineMs"] / 1000 <= now:
            return 409, self._stamp({"Reason": "late"})
        self._extend(body["DeadlineMs"])
        self._highest[task] = number
        run = self._runs[task] = Run(task, number, body["Spec"], now)
        if self.fails_after is not None:
            run.how, run.ends_at = "failed", now + self.fails_after
        if run.members:
            self._gangs.add(run)
        self.starts.append((self._record.now(), task, number))
        self._record.write(
            f"{self.name}: {task} run {number} started, labels {self.labels}"
        )
        return 200, self._stamp({})

    def _stop_run(self, body: Any) -> Reply:
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        known = self._runs.get(task)
        if known is not None and known.number <= number:
            self._end(known, "stopped")
        return 200, self._stamp({})

    def _hold(self, body: Any) -> Reply:
        through = body.get("AckedThrough", 0)
        self._ended = [row for row in self._ended if row[0] > through]
        if body.get("DeadlineMs"):
            self._extend(body["DeadlineMs"])
        ends_at = self._now() + min(2000, body.get("WaitMs", 0)) / 1000
        born = self._born
        while self.up and self._born == born and not self._ended:
            left = ends_at - self._now()
            if left <= 0:
                break
            self._lock.wait(left)
        now = self._now()
        running = [run.row(now) for run in self._runs.values()]
        lists = {"Running": running, "Ended": self._ended[:_MAX_ENDS]}
        return 200, self._stamp(lists)

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        if run.members:
            self._gangs.end(run, how)
        self._count += 1
        self._ended.append([self._count, run.task, run.number, how, ""])
        self.ends.append((self._record.now(), run.task, run.number, how))
        self._record.write(f"{self.name}: {run.task} run {run.number} ended {how}")
        self._lock.notify_all()

    def _end_runs(self, life: int) -> None:
        """End the runs that are due, and all of them once the lease has lapsed."""
        while self.up and self._lives == life:
            with self._lock:
                now = self._now()
                for run in list(self._runs.values()):
                    how = self._find_gang_end(run, now)
                    if how:
                        self._end(run, how)
                    elif run.ends_at <= now:
                        self._end(run, run.how)
                    elif self._lease <= now:
                        self._end(run, "lapsed")
            time.sleep(_POLL_SECONDS)

    def _find_gang_end(self, run: Run, now: float) -> str:
        return self._gangs.find_end(run, now - run.began) if run.members else ""

    def _send_heartbeats(self, life: int) -> None:
        while self.up and self._lives == life:
            with self._lock:
                self._sequence += 1
                body = self._stamp(
                    {
                        "Backend": SERVICE,
                        "Address": self.address,
                        "Zone": "z1",
                        "Version": "v1",
                        "Slots": 8,
                        "State": "ready",
                        "ColdRemainingMs": 0,
                        "Capacity": {"Cpu": self._cpu, "MemMb": 256_000, "Gpu": 0},
                        "Labels": self.labels,
                        "Seq": self._sequence,
                    }
                )
            path = f"/api/instances/{self.id}/heartbeat"
            call(self.register, "POST", path, body, 1.0)
            time.sleep(HEARTBEAT_SECONDS)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout: float = CLIENT_SECONDS,
) -> Reply:
    """Send a request on a channel of its own; status 0 means that no answer came."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "Pollenkeel-Deadline-Remaining": str(int(timeout * 1000)),
    }
    content = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, content, headers)
        reply = connection.getresponse()
        data = reply.read()
        return reply.status, json.loads(data) if data else {}
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


class Ports:
    """Ports that stay bound, without listening, until they are used."""

    def __init__(self) -> None:
        self._holders: list[socket.socket] = []

    def reserve(self) -> str:
        """Return ``127.0.0.1:PORT`` with a port that nobody else gets."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        self._holders.append(holder)
        return f"127.0.0.1:{holder.getsockname()[1]}"


class Site:
    """Entries, and VMs with an agent and a runner each; a context manager.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    entries, vms : int
        Number of entries and of VMs.
    labels : callable, optional
        Returns the labels of a VM by its number.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        vms: int = 3,
        labels: Callable[[int], list[str]] = lambda number: ["a", "r1-1"],
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.relays: dict[str, Relay] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.clients: dict[str, str] = {}
        self.store = Store()
        self._ports = Ports()
        self._commands: dict[str, list[str]] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._directory = Path(self._temporary.name)
        self._entries, self._vms = entries, vms
        self.gangs = Gangs()
        self.runners = [
            Runner(f"vm-{number}", self.record, labels(number), self.gangs)
            for number in range(vms)
        ]

    def __enter__(self) -> Site:
        try:
            self._start()
        except BaseException:
            # Without this the processes that have started would be left over.
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        self.write_config(1)
        for number in range(self._entries):
            name = f"entry-{number}"
            self.clients[name] = self._ports.reserve()
            settings = {
                "clients_address": self.clients[name],
                "ready_address": self._ports.reserve(),
                "stop_deadline": 6,
                "cpu_share": 0.43,
                "cpu_speed": 1,
            }
            self._add(name, "job-entry", settings)
        for runner in self.runners:
            register = self._ports.reserve()
            runner.register = register
            runner.start()
            settings = {
                "worker_address": self._relay(f"{runner.name} app", runner.address),
                "register_address": register,
            }
            self._add(runner.name, "job-agent", settings)
        for name in self._commands:
            self.launch(name)
        for name in self._commands:
            self._await_ready(name)

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for runner in self.runners:
            if runner.up:
                runner.crash()
        for relay in self.relays.values():
            relay.close()
        self._temporary.cleanup()

    def write_config(self, version: int, **changes: Any) -> None:
        """Write a configuration with one queue."""
        route = {
            "Name": "desk-jobs",
            "Host": HOST,
            "PathPrefix": PREFIX,
            "Backend": SERVICE,
            "Attempts": 3,
            "Stretch": 2.0,
            "TargetLatencyMs": 1000,
            **changes,
        }
        services = [{"Name": SERVICE, "AdmissionCheck": False}]
        config = {"Version": version, "Routes": [route], "Services": services}
        self.store.write_operator("config", config)

    def launch(self, name: str) -> None:
        """Start a process of the project; its log is in the temporary folder."""
        environment = {
            **{key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log_path(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[name],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a process's log."""
        return self._directory / f"{name}.log"

    def _relay(self, name: str, address: str) -> str:
        self.relays[name] = Relay(address)
        return self.relays[name].address

    def _add(self, name: str, role: str, settings: dict[str, Any]) -> None:
        peer = self._ports.reserve()
        fields = {
            "id": name,
            "zone": "z1",
            "peer_address": peer,
            "advertised_address": self._relay(f"{name} peer", peer),
            "store_address": self._relay(f"{name} store", self.store.address),
            "metrics_address": self._ports.reserve(),
            **settings,
        }
        path = self._directory / f"{name}.yaml"
        path.write_text("".join(f"{k}: {json.dumps(v)}\n" for k, v in fields.items()))
        command = [sys.executable, "-m", "pollenkeel_platform", role]
        self._commands[name] = [*command, "--settings", str(path)]

    def _await_ready(self, name: str) -> None:
        def is_ready() -> bool:
            if self.processes[name].poll() is not None:
                raise CannotRun(f"{name} ended: {self.log_path(name).read_text()}")
            return '"event": "ready"' in self.log_path(name).read_text()

        self.wait_until(is_ready, _READY_SECONDS, f"{name} is ready")

    def wait_until(
        self, condition: Callable[[], bool], limit: float, what: str
    ) -> float:
        """Wait until a condition holds; return the time at which it did."""
        ends_at = time.monotonic() + limit
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRun(f"not within {limit} s: {what}")
            time.sleep(_POLL_SECONDS)
        return self.record.now()

    def call(self, method: str, job_id: str, entry: int = 0, body: Any = None) -> Reply:
        """Send a client's request to an entry and record it with its answer."""
        self.record.write(f"client: {method} {job_id} to entry-{entry}")
        address = self.clients[f"entry-{entry}"]
        status, reply = call(address, method, f"{PREFIX}{job_id}", body)
        self.record.write(f"client: {method} {job_id} answered {status} {reply}")
        return status, reply

    def submit(self, job_id: str, spec: str, steps: list[dict[str, Any]]) -> None:
        """Submit a job through the entries in turn until it is accepted."""
        body = {"Spec": spec, "Steps": steps}
        tries = iter(range(1000))

        def is_accepted() -> bool:
            return (
                self.call("POST", job_id, next(tries) % self._entries, body)[0] == 200
            )

        self.wait_until(is_accepted, 30.0, f"{job_id} is accepted")

    def get_state(self, job_id: str) -> str:
        """Return the state that the first entry that answers shows; empty if none."""
        for entry in range(self._entries):
            status, reply = self.call("GET", job_id, entry)
            if status == 200:
                return str(reply["State"])
        return ""

    def find_leader(self) -> int:
        """Return the number of the entry that became leader last; -1 if none has."""
        found: list[tuple[str, int]] = []
        for number in range(self._entries):
            for line in self.log_path(f"entry-{number}").read_text().splitlines():
                if '"event": "became leader"' in line:
                    found.append((json.loads(line)["time"], number))
        return max(found)[1] if found else -1

    def silence(self) -> None:
        """Make all open channels between the processes silent; new ones work."""
        self.record.write("all open channels go silent")
        for relay in self.relays.values():
            relay.silence_established()


def has_trouble() -> bool:
    """Return whether the disruption is to be played (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def _end_case(number: int, _: Any) -> None:
    raise CannotRun(f"ended by signal {number}")


def play(case: Callable[[Path], None], folder: Path) -> None:
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end_case)
    signal.alarm(_LONGEST_CASE_SECONDS)
    try:
        case(folder)
    except Broken as error:
        print(f"broken: {error}")
        sys.exit(1)
    except Exception as error:
        # Also an unexpected error: it doesn't show that the rule was broken.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("held")

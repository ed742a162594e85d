"""Small deployment on loopback for the scripts of this review.

The store and the runners are stand-ins that run in the calling process and follow
``PROTOCOL.md``. The entries and agents are started as processes with the commands of
the deploy file. Only the standard library is used here.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
PREFIX = "/jobs/"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.2
#: Tail latency of a serving task in milliseconds, and cores of others in thousandths.
FIGURE = 10
TX_S = 0.005
BROKEN, HELD, NO_RUN = 1, 0, 2
PORTS = range(15_000, 32_000)
_taken_ports: set[int] = set()


def trouble() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a loopback port that nobody uses, below those of outgoing channels."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _taken_ports.add(port)
            return port


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> None:
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():8.3f} {event} {text}\n")
            self._file.flush()


class JsonServer(http.server.ThreadingHTTPServer):
    """HTTP/1.1 server that passes each request to ``owner.answer``."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, owner: object, port: int) -> None:
        self.owner = owner
        self.channels: set[socket.socket] = set()
        super().__init__(("127.0.0.1", port), _Handler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore channels that a peer has closed."""

    def crash(self) -> None:
        """Reset all channels and stop listening, as a killed process does."""
        self.shutdown()
        self.server_close()
        for channel in list(self.channels):
            with contextlib.suppress(OSError):
                channel.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                channel.shutdown(socket.SHUT_RDWR)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self) -> None:
        super().setup()
        self.server.channels.add(self.connection)

    def finish(self) -> None:
        self.server.channels.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def _serve(self) -> None:
        size = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(size)) if size else {}
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, reply = self.server.owner.answer(
            url.path, {**query, **body}, self.headers
        )
        data = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = _serve  # noqa: N815

    def log_message(self, *_: object) -> None:
        """Print nothing."""


class Store:
    """The platform's metadata store: rows, transactions and the change feed."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._ver = 0
        self._changed = threading.Condition()
        self.port = free_port()
        self._server = JsonServer(self, self.port)

    def write_operator(self, key: str, value: object | None) -> None:
        """Write a row of the table ``op``; its return is the acknowledgement."""
        text = json.dumps(value).encode()
        data = None if value is None else base64.b64encode(text).decode()
        with self._changed:
            self._ver += 1
            self._rows["op", "", key] = (data, self._ver)
            self._changed.notify_all()

    def answer(self, path: str, call: dict, _headers: object) -> tuple[int, dict]:
        """Handle a call of the store's interface."""
        time.sleep(TX_S)
        if path == "/api/rows-tx":
            return self._transact(call)
        if path == "/api/rows-get":
            return self._get(call)
        if path == "/api/rows-feed":
            return self._feed(call)
        return 404, {}

    def _describe(self, key: tuple[str, str, str]) -> dict:
        value, ver = self._rows[key]
        row = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": ver}
        return {**row, "Deleted": True} if value is None else {**row, "Value": value}

    def _tail(self) -> dict:
        return {"Ver": self._ver, "NowMs": int(time.monotonic() * 1000)}

    def _transact(self, call: dict) -> tuple[int, dict]:
        def key(row: dict) -> tuple[str, str, str]:
            return row["Table"], row.get("part", ""), row["Key"]

        with self._changed:
            expected = call.get("ExpectedRev") or []
            stored = [self._rows.get(key(row), (None, 0)) for row in expected]
            now = [ver if value is not None else 0 for value, ver in stored]
            if now != [row["Ver"] for row in expected]:
                rows = [
                    self._describe(key(row))
                    for row, ver in zip(expected, now, strict=True)
                    if ver
                ]
                return 412, {"rows": rows, **self._tail()}
            self._ver += 1
            for row in call.get("Puts") or []:
                self._rows[key(row)] = (row["Value"], self._ver)
            for row in call.get("Remove") or []:
                self._rows[key(row)] = (None, self._ver)
            self._changed.notify_all()
            return 200, self._tail()

    def _get(self, call: dict) -> tuple[int, dict]:
        table, part = call["Table"], call.get("part", "")
        low, high = call.get("From", ""), call.get("To", "")
        with self._changed:
            keys = sorted(
                key
                for key, (value, _) in self._rows.items()
                if key[:2] == (table, part)
                and value is not None
                and low <= key[2]
                and (not high or key[2] < high)
            )
            rows = [self._describe(key) for key in keys[:500]]
            return 200, {"rows": rows, "HasMore": len(keys) > 500, **self._tail()}

    def _feed(self, call: dict) -> tuple[int, dict]:
        ends_at = time.monotonic() + int(call.get("WaitMs", 0)) / 1000
        with self._changed:
            while True:
                changed = sorted(
                    (ver, key)
                    for key, (_, ver) in self._rows.items()
                    if key[0] == call["Table"] and ver > int(call["After"])
                )
                left = ends_at - time.monotonic()
                if changed or left <= 0:
                    rows = [self._describe(key) for _, key in changed[:500]]
                    return 200, {"rows": rows, **self._tail()}
                self._changed.wait(left)


class Runner:
    """A runner; ``Spec`` is ``work SECONDS``, ``fail SECONDS`` or ``last``.

    ``runs`` and ``ends`` of all boots are kept in ``history``.
    """

    def __init__(self, number: int, labels: list[str], record: Record) -> None:
        self.number, self.labels = number, labels
        self.record = record
        self.port, self.register_port = free_port(), 0
        self.boots = 0
        self.is_up = False
        self.history: list[dict] = []
        self.lock = threading.Condition(threading.RLock())
        self._server: JsonServer | None = None

    def boot(self) -> None:
        """Start the runner; it knows nothing of earlier boots."""
        with self.lock:
            self.boots += 1
            self.is_up = True
            self.id = f"i-{self.number:04x}{self.boots:04x}"
            self.born = int(time.time() * 1000)
            self._began = time.monotonic()
            self._token = self._number = self._seq = 0
            self._lease = 0.0
            self._running: dict[str, dict] = {}
            self._ended: list[list] = []
            self._highest: dict[str, int] = {}
        self.record.write("runner boots", runner=self.number, id=self.id)
        self._server = JsonServer(self, self.port)
        threading.Thread(target=self._beat, args=(self.boots,), daemon=True).start()
        threading.Thread(target=self._work, args=(self.boots,), daemon=True).start()

    def crash(self) -> None:
        """End the runner as if it were killed; all that runs on it ends."""
        with self.lock:
            self.boots += 1
            self.is_up = False
            for run in self._running.values():
                run.update(end=self.record.now(), how="lost with the runner")
            names = [f"{run['task']}:{run['run']}" for run in self._running.values()]
            self._running = {}
        self.record.write("runner crashes", runner=self.number, runs=names)
        if self._server is not None:
            self._server.crash()

    def _clock(self) -> float:
        return (time.monotonic() - self._began) * 1000

    def answer(self, path: str, call: dict, headers: object) -> tuple[int, dict]:
        """Handle a call of the agent."""
        expected = headers.get("Pollenkeel-Expected-Instance")
        boot = self.boots
        status, reply = 404, {}
        if expected not in (None, self.id):
            status = 421
        elif path.startswith("/api/"):
            status, reply = self._execute(path[5:], call, boot)
        if boot != self.boots or not self.is_up:
            raise ConnectionResetError
        return status, {"ClockMs": int(self._clock()), "born": self.born, **reply}

    def _execute(self, verb: str, call: dict, boot: int) -> tuple[int, dict]:
        with self.lock:
            if boot != self.boots or not self.is_up:
                # The boot that the call has reached is gone.
                return 503, {}
            if call.get("FencingToken", 0) < self._token:
                return 409, {"Reason": "fence"}
            self._token = call.get("FencingToken", 0)
            if verb == "run-start":
                return self._start(call)
            if verb == "run-stop":
                return self._stop(call)
            if verb == "hold":
                return self._hold(call)
            return (200, {}) if verb == "pace" else (404, {})

    def _extend(self, deadline: float) -> None:
        limit = self._clock() + HOLD_MAX_MS
        self._lease = max(self._lease, min(deadline, limit))

    def _start(self, call: dict) -> tuple[int, dict]:
        task, number = call["Task"], call["Run"]
        run = self._running.get(task)
        if run is not None and run["run"] == number:
            return 200, {}
        if run is not None or number <= self._highest.get(task, 0):
            self._extend(call["DeadlineMs"])
            return 409, {"Reason": "old"}
        if call["DeadlineMs"] <= self._clock():
            return 409, {"Reason": "late"}
        self._extend(call["DeadlineMs"])
        self._highest[task] = number
        verb, _, text = call["Spec"].partition(" ")
        run = {
            "task": task,
            "run": number,
            "runner": self.number,
            "start": self.record.now(),
            "began": time.monotonic(),
            "seconds": float(text) if text else None,
            "result": "failed" if verb == "fail" else "done",
            "stop_at": None,
            "end": None,
            "how": "",
        }
        self._running[task] = run
        self.history.append(run)
        self.record.write("run starts", task=task, run=number, runner=self.number)
        return 200, {}

    def _stop(self, call: dict) -> tuple[int, dict]:
        task, number = call["Task"], call["Run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self._running.get(task)
        if run is not None and run["run"] <= number and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_S
        return 200, {}

    def _hold(self, call: dict) -> tuple[int, dict]:
        through = call.get("AckedThrough", 0)
        self._ended = [row for row in self._ended if row[0] > through]
        if call.get("DeadlineMs"):
            self._extend(call["DeadlineMs"])
        ends_at = time.monotonic() + min(call.get("WaitMs", 0), 2000) / 1000
        boot = self.boots
        while not self._ended and time.monotonic() < ends_at and boot == self.boots:
            self.lock.wait(ends_at - time.monotonic())
        running = []
        for run in self._running.values():
            seconds = time.monotonic() - run["began"]
            percent = 100 if seconds > 0.5 else 0
            if run["seconds"]:
                percent = min(99, int(100 * seconds / run["seconds"]))
            running.append([run["task"], run["run"], "", percent, FIGURE])
        return 200, {"Running": running, "Ended": self._ended[:500]}

    def _end(self, run: dict, how: str) -> None:
        del self._running[run["task"]]
        self._number += 1
        run.update(end=self.record.now(), how=how)
        self._ended.append([self._number, run["task"], run["run"], how, ""])
        self.record.write(
            "run ends", task=run["task"], run=run["run"], runner=self.number, how=how
        )
        self.lock.notify_all()

    def _work(self, boot: int) -> None:
        while True:
            time.sleep(0.01)
            with self.lock:
                if boot != self.boots:
                    return
                now = time.monotonic()
                for run in list(self._running.values()):
                    if self._clock() > self._lease:
                        self._end(run, "lapsed")
                    elif run["stop_at"] and now >= run["stop_at"]:
                        self._end(run, "stopped")
                    elif run["seconds"] and now - run["began"] >= run["seconds"]:
                        self._end(run, run["result"])

    def _beat(self, boot: int) -> None:
        while boot == self.boots:
            self._seq += 1
            body = {
                "Backend": "desk",
                "Address": f"127.0.0.1:{self.port}",
                "Zone": "kingston",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 64000, "MemMb": 256000, "Gpu": 0},
                "Labels": self.labels,
                "ClockMs": int(self._clock()),
                "Seq": self._seq,
                "born": self.born,
            }
            path = f"/api/instances/{self.id}/heartbeat"
            status, _ = request(self.register_port, "POST", path, body, timeout=1.0)
            if status != 200:
                time.sleep(0.2)
                continue
            time.sleep(HEARTBEAT_S)


def request(
    port: int, method: str, path: str, body: object = None, timeout: float = 3.0
) -> tuple[int, dict]:
    """Send a request on a new channel; the status is 0 if there is no answer."""
    channel = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "Pollenkeel-Deadline-Remaining": str(int(timeout * 1000)),
    }
    data = None if body is None else json.dumps(body)
    try:
        channel.request(method, path, data, headers)
        reply = channel.getresponse()
        text = reply.read()
        return reply.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        channel.close()


class Site:
    """Entries, agents, runners and the store; use it as a context manager."""

    def __init__(
        self,
        folder: Path,
        entries: int,
        labels: list[list[str]],
        attempts: int = 4,
    ) -> None:
        self.attempts = attempts
        self.record = Record(folder)
        self.store = Store()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen] = {}
        self._settings: dict[str, tuple[str, dict]] = {}
        self.entry_ports: list[int] = []
        self.runners = [Runner(n, which, self.record) for n, which in enumerate(labels)]
        self._entries = entries

    def __enter__(self) -> Site:
        try:
            self.write_config(1, [PREFIX])
            store = f"127.0.0.1:{self.store.port}"
            for number in range(self._entries):
                self.entry_ports.append(free_port())
                self._start_new(
                    f"front-{number}",
                    "job-entry",
                    clients_address=f"127.0.0.1:{self.entry_ports[-1]}",
                    ready_address=f"127.0.0.1:{free_port()}",
                    store_address=store,
                    advice_address="",
                    stop_deadline=6,
                    cpu_share=0.43,
                    cpu_speed=1,
                )
            for runner in self.runners:
                runner.register_port = free_port()
                self._start_new(
                    f"side-{runner.number}",
                    "job-agent",
                    worker_address=f"127.0.0.1:{runner.port}",
                    register_address=f"127.0.0.1:{runner.register_port}",
                    store_address=store,
                )
                runner.boot()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def write_config(self, version: int, prefixes: list[str]) -> None:
        """Write ``op/config`` with a route for each path prefix."""
        routes = [
            {
                "Name": f"queue{number}",
                "Host": HOST,
                "PathPrefix": prefix,
                "Backend": "desk",
                "Priority": 0,
                "Attempts": self.attempts,
                "Stretch": 3.0,
                "TargetLatencyMs": 2500,
            }
            for number, prefix in enumerate(prefixes)
        ]
        services = [{"Name": "desk", "AdmissionCheck": False}]
        config = {"Version": version, "Routes": routes, "Services": services}
        self.store.write_operator("config", config)
        self.record.write("config acknowledged", version=version, routes=prefixes)

    def _start_new(self, name: str, role: str, **fields: object) -> None:
        settings = {
            "id": name,
            "zone": "kingston",
            "peer_address": f"127.0.0.1:{free_port()}",
            "metrics_address": f"127.0.0.1:{free_port()}",
            **fields,
        }
        path = self._folder / f"{name}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(settings))
        self._settings[name] = role, settings
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        role, _ = self._settings[name]
        path = self._folder / f"{name}.yaml"
        command = ["python3", "-m", "pollenkeel_platform", role, "--settings"]
        names = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in names if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*command, str(path)],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this site."""
        self.record.write("signal", process=name, signal=signal.Signals(number).name)
        self._processes[name].send_signal(number)

    def wait_end(self, name: str) -> None:
        """Wait until a process has ended."""
        self._processes[name].wait()

    def call(
        self,
        method: str,
        job_id: str,
        body: object = None,
        entry: int = 0,
        prefix: str = PREFIX,
        timeout: float = 3.0,
    ) -> tuple[int, dict]:
        """Send a client's request to an entry."""
        sent_at = self.record.now()
        port = self.entry_ports[entry]
        status, reply = request(port, method, prefix + job_id, body, timeout)
        self.record.write(
            "answer",
            sent=f"{sent_at:.3f}",
            entry=entry,
            request=f"{method} {prefix}{job_id}",
            status=status,
            body=json.dumps(reply),
        )
        return status, reply

    def submit(self, job_id: str, spec: str, steps: list[dict]) -> None:
        """Submit a job until it is accepted."""
        body = {"Spec": spec, "Steps": steps}

        def is_accepted(attempt: int) -> bool:
            entry = attempt % self._entries
            return self.call("POST", job_id, body, entry)[0] == 200

        self.until(is_accepted, 30, f"{job_id} accepted")

    def find_state(self, job_id: str, entry: int = 0) -> str:
        """Return the state of a job, or an empty string without an answer."""
        return self.call("GET", job_id, entry=entry)[1].get("State", "")

    def until(self, check, seconds: float, what: str) -> None:
        """Wait until ``check`` returns true for the number of the try."""
        ends_at = time.monotonic() + seconds
        number = 0
        while not check(number):
            number += 1
            if time.monotonic() > ends_at:
                raise TimeoutError(what)
            time.sleep(0.1)

    def wait_ready(self) -> None:
        """Wait until a job of one task for each runner's own label has run."""
        self.until(
            lambda n: self.call("GET", "", entry=n % self._entries)[0] == 200,
            30,
            "entries answer",
        )
        steps = [{"Count": len(self.runners), "Cpu": 1000, "AntiAffinity": 1}]
        self.submit("00000000000000ff", "work 0.3", steps)
        self.until(
            lambda n: self.find_state("00000000000000ff", n % self._entries) == "done",
            30,
            "first job done",
        )


def finish(play) -> None:
    """Run ``play`` and exit with its result, or with 2 if it could not run."""
    try:
        result = play()
    except Exception as error:
        print(f"the case could not run: {error!r}")
        result = NO_RUN
    sys.stdout.flush()
    os._exit(result)

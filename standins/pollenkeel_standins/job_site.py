"""Site of entries, agents, runners and a metadata store as separate processes."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any, ClassVar

import urllib3
import yaml

from pollenkeel_standins.other_writer import OtherWriter
from pollenkeel_standins.ports import PortReservations
from pollenkeel_standins.processes import ManagedProcess, wait_until

_HOST = "desk.example"
_PREFIX = "/jobs/"
_CLIENT_TIMEOUT_SECONDS = 3.0
_RECORD_TIMEOUT_SECONDS = 0.3
#: Without the record of a runner that is killed its runs would be missing.
_CRASH_TIMEOUT_SECONDS = 30.0


class JobSite:
    """A small site; use it as a context manager.

    Parameters
    ----------
    directory : Path
        Directory of settings and logs.
    entries, vms : int
        Number of entries, and of VMs with an agent and a runner each.

    Attributes
    ----------
    scheduling : dict of str to bool
        Optional policies that are switched on at the entries.
    """

    scheduling: ClassVar[dict[str, bool]] = {}

    def __init__(self, directory: Path, entries: int = 2, vms: int = 3) -> None:
        self._directory = directory
        self._pool = urllib3.PoolManager(retries=False)
        self._settings_by_name: dict[str, dict[str, Any]] = {}
        self.processes_by_name: dict[str, ManagedProcess] = {}
        self._roles_by_name: dict[str, str] = {}
        self._client_addresses_by_entry: dict[str, str] = {}
        self._entry_count = entries
        self._vm_count = vms
        self._ports = PortReservations()
        self._runner_commands: list[list[str]] = []
        self._runner_urls: list[str] = []
        self._register_urls: list[str] = []
        # Runs of earlier incarnations of each runner.
        self._crashed_runs: list[list[dict[str, Any]]] = [[] for _ in range(vms)]

    def __enter__(self) -> JobSite:
        self._start_standin("store", "metadata-store")
        store = self.processes_by_name["store"].url.removeprefix("http://")
        self.write_config(1)
        for number in range(self._entry_count):
            settings = {
                "clients_address": self._make_address(),
                "ready_address": self._make_address(),
                "scheduling": self.scheduling,
            }
            self._start_process(f"entry-{number}", "job-entry", store, settings)
        for number in range(self._vm_count):
            register = self._make_address()
            to_agent = self.route(f"runner-{number}", f"agent-{number}", register)
            port = self._ports.reserve()
            to_runner = f"127.0.0.1:{port}"
            options = ["--id", f"i-{number}", "--agent", f"http://{to_agent}"]
            options += ["--port", f"{port}", "--zone", self.find_zone(number)]
            options += ["--labels", self.find_labels(number)]
            self._runner_commands.append(options)
            self._runner_urls.append(f"http://{to_runner}")
            self._start_standin(
                f"runner-{number}", "runner", *options, *self.runner_options(number)
            )
            settings = {
                "worker_address": self.route(
                    f"agent-{number}", f"runner-{number}", to_runner
                ),
                "register_address": register,
                "zone": self.find_zone(number),
            }
            self._register_urls.append(f"http://{register}")
            self._start_process(f"agent-{number}", "job-agent", store, settings)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes_by_name.values():
            process.kill()
        self._ports.close()

    def route(self, source: str, target: str, address: str) -> str:
        """Return the address at which one process connects to another.

        Subclasses may put a relay in between.

        Parameters
        ----------
        source : str
            Name of the connecting process; empty for all processes.
        target : str
            Name of the listening process.
        address : str
            Address on which it listens.
        """
        return address

    def runner_options(self, number: int) -> list[str]:
        """Return additional command-line options of a runner."""
        return []

    def find_zone(self, number: int) -> str:
        """Return the zone of a VM."""
        return "z1"

    def find_labels(self, number: int) -> str:
        """Return the labels of a VM, separated by commas."""
        return "a,r1"

    def restart(self, name: str) -> None:
        """Restart a process that has ended."""
        self._launch(name)

    def start(self, name: str) -> ManagedProcess:
        """Start an entry or an agent and return at once."""
        path = self._directory / f"{name}.yaml"
        command = [*self.make_command(self._roles_by_name[name]), "--settings"]
        process = ManagedProcess(name, [*command, str(path)], self._directory)
        self.processes_by_name[name] = process
        return process

    def make_command(self, role: str) -> list[str]:
        """Return the command that starts a process of a role, without its settings."""
        return [sys.executable, "-m", "pollenkeel_platform", role]

    def crash_runner(self, number: int) -> None:
        """Kill a runner with all its runs; its record is kept."""
        url = f"{self._runner_urls[number]}/crash"
        record = self._pool.request("POST", url, timeout=_CRASH_TIMEOUT_SECONDS).json()
        self._crashed_runs[number] += record["runs"]
        self.processes_by_name[f"runner-{number}"].kill()

    def restart_runner(
        self, number: int, first_heartbeat: float, runner_id: str = ""
    ) -> None:
        """Start a runner again; its clock and its counts start anew.

        Parameters
        ----------
        number : int
            Number of its VM.
        first_heartbeat : float
            Time from its start to its first heartbeat in seconds.
        runner_id : str
            Its id; empty for that of the runner before.
        """
        options = ["--first-heartbeat", f"{first_heartbeat}"]
        if runner_id:
            options += ["--id", runner_id]
        options += ["--clock-offset", f"{-time.time()}"]
        self._start_standin(
            f"runner-{number}", "runner", *self._runner_commands[number], *options
        )

    def send_foreign_heartbeats(self, number: int, name: str) -> None:
        """Send one kind of heartbeat of another writer for a runner.

        They differ from the latest heartbeat of the runner. Nothing is sent if the
        runner does not answer or has not sent one yet.
        """
        try:
            own = self._read_raw_record(number, _RECORD_TIMEOUT_SECONDS)["heartbeat"]
        except urllib3.exceptions.HTTPError:
            return
        if own:
            OtherWriter(self._register_urls[number]).send(name, f"i-{number}", own)

    def write_config(self, version: int) -> None:
        """Write an operator configuration of this version with one route to a queue."""
        route = {
            "Name": "desk-jobs",
            "Host": _HOST,
            "PathPrefix": _PREFIX,
            "Backend": "desk",
            "Attempts": 3,
            "Stretch": 2.0,
            "TargetLatencyMs": 1000,
        }
        self.write_operator("config", {"Version": version, "Routes": [route]})

    def write_operator(self, key: str, value: dict[str, Any] | None) -> bool:
        """Write a row as an operator does; None deletes it.

        Returns whether the store has acknowledged it.
        """
        text = None if value is None else json.dumps(value)
        url = f"{self.processes_by_name['store'].url}/operator"
        fields = {"key": key, "value": text}
        try:
            reply = self._pool.request("POST", url, json=fields, timeout=5.0)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def set_store_faults(self, **faults: Any) -> None:
        """Set the fault switches of the metadata store."""
        url = f"{self.processes_by_name['store'].url}/faults"
        self._pool.request("POST", url, json=faults, timeout=5.0)

    def call(self, method: str, job_id: str, entry: int, body: Any = None) -> Any:
        """Send a client's request; return the reply, or None if there is none."""
        name = f"entry-{entry}"
        address = self._client_addresses_by_entry.get(name)
        if address is None:
            address = self._settings_by_name[name]["clients_address"]
            address = self.route("clients", name, address)
            self._client_addresses_by_entry[name] = address
        try:
            return self._pool.request(
                method,
                f"http://{address}{_PREFIX}{job_id}",
                body=None if body is None else json.dumps(body),
                headers={"Host": _HOST, "Content-Type": "application/json"},
                timeout=_CLIENT_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return None

    def submit(self, job_id: str, steps: list[dict[str, Any]], text: str) -> None:
        """Submit a job through each entry in turn until it is accepted.

        ``text`` is the command of the tasks, such as ``run 0.5``.
        """
        body = {"Spec": text, "Steps": steps}
        attempts = iter(range(10_000))

        def is_accepted() -> bool:
            reply = self.call("POST", job_id, next(attempts) % self._entry_count, body)
            return reply is not None and reply.status == 200

        wait_until(is_accepted, 30.0, f"{job_id} is accepted")

    def find_state(self, job_id: str) -> str:
        """Return the state of a job, or an empty string if no entry returns it."""
        for entry in range(self._entry_count):
            reply = self.call("GET", job_id, entry)
            if reply is not None and reply.status == 200:
                return str(reply.json()["State"])
        return ""

    def wait_for_state(self, job_id: str, state: str, limit: float = 40.0) -> None:
        """Wait until a job has this state."""
        wait_until(
            lambda: self.find_state(job_id) == state, limit, f"{job_id} is {state}"
        )

    def find_leader(self) -> int:
        """Return the number of the entry that became leader last.

        Waits until a log names one: a restart truncates the log of a process, so right
        after a restart of the leader there may be no such line.
        """
        return wait_until(self._find_leader_changes, 40.0, "an entry leads")[-1][1]

    def _find_leader_changes(self) -> list[tuple[str, int]]:
        """Return time and entry number of each logged leader change, in order."""
        found: list[tuple[str, int]] = []
        for number in range(self._entry_count):
            log = self.processes_by_name[f"entry-{number}"].log_lines()
            found += [
                (line["time"], number)
                for line in log
                if line.get("event") == "became leader"
            ]
        return sorted(found)

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what actually ran on all runners.

        The recorded end of a run in progress is the current time.
        """
        return [run for n in range(self._vm_count) for run in self._read_record(n)]

    def read_reachable_runs(self) -> list[dict[str, Any]]:
        """Return what actually ran on the runners that answer."""
        runs = []
        for number in range(self._vm_count):
            try:
                runs += self._read_record(number, _RECORD_TIMEOUT_SECONDS)
            except urllib3.exceptions.HTTPError:
                continue
        return runs

    def _read_record(self, number: int, timeout: float = 5.0) -> list[dict[str, Any]]:
        # A run in progress is only known to have run until now.
        open_end = {"end": time.time(), "how": "running", "noted": False}
        record = self._read_raw_record(number, timeout)
        # A runner that is being killed may still answer, and its runs appear twice.
        runs = {
            (run["task"], run["run"], run["start"]): {**open_end, **run}
            for run in [*record["runs"], *self._crashed_runs[number]]
        }
        return [{**run, "runner": number} for run in runs.values()]

    def _read_raw_record(self, number: int, timeout: float) -> dict[str, Any]:
        url = f"{self._runner_urls[number]}/record"
        record: dict[str, Any] = self._pool.request("GET", url, timeout=timeout).json()
        return record

    def _make_address(self) -> str:
        return f"127.0.0.1:{self._ports.reserve()}"

    def _start_standin(self, name: str, kind: str, *options: str) -> None:
        command = [sys.executable, "-m", "pollenkeel_standins", kind, *options]
        process = ManagedProcess(name, command, self._directory)
        self.processes_by_name[name] = process
        process.wait_ready()

    def _start_process(
        self, name: str, role: str, store: str, settings: dict[str, Any]
    ) -> None:
        peer_address = self._make_address()
        self._settings_by_name[name] = {
            "id": name,
            "zone": "z1",
            "peer_address": peer_address,
            "advertised_address": self.route("", name, peer_address),
            "store_address": self.route(name, "store", store),
            **settings,
        }
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings_by_name[name]))
        self._roles_by_name[name] = role
        self._launch(name)

    def _launch(self, name: str) -> None:
        self.start(name).wait_ready()

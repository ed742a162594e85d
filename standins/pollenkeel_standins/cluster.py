"""Starts clusters of real processes for tests, benchmarks and the demo."""

from __future__ import annotations

import atexit
import contextlib
import json
import sys
from pathlib import Path
from typing import Any, Self
from urllib.parse import urlsplit

import urllib3
import yaml

from pollenkeel_standins.ports import PortReservations
from pollenkeel_standins.processes import ManagedProcess, wait_until
from pollenkeel_standins.recording import Execution, read_record

__all__ = ["Cluster", "ManagedProcess", "wait_until"]

_CALL_TIMEOUT_SECONDS = 10.0
_SCRIPTS = Path(sys.executable).parent


class Cluster:
    """Processes of one cluster; ``close`` ends all of them.

    Parameters
    ----------
    directory : Path
        Directory of settings files, logs and records.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self.processes_by_name: dict[str, ManagedProcess] = {}
        self._settings_by_name: dict[str, dict[str, Any]] = {}
        self._earlier_processes: list[ManagedProcess] = []
        self._ports = PortReservations()
        self._timeout = urllib3.Timeout(total=_CALL_TIMEOUT_SECONDS)
        atexit.register(self.close)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process that still runs, frozen ones included."""
        for process in [*self._earlier_processes, *self.processes_by_name.values()]:
            process.kill()
        self._ports.close()
        atexit.unregister(self.close)

    def stop_all(self, limit: float = 40.0) -> dict[str, int]:
        """Stop all processes with SIGTERM: upstreams first, other stand-ins last.

        Returns
        -------
        dict
            Exit status by name.
        """
        groups: list[list[ManagedProcess]] = [[], [], []]
        for process in self.processes_by_name.values():
            groups[_stop_group(process.name)].append(process)
        statuses_by_name = {}
        for group in groups:
            for process in group:
                process.terminate()
            for process in group:
                statuses_by_name[process.name] = process.wait(limit)
        return statuses_by_name

    def start(self, name: str, command: list[str]) -> ManagedProcess:
        """Start a process and wait until it prints its ready line.

        Parameters
        ----------
        name : str
            Unique name; the name of an ended process may be reused.
        command : list of str
            Program and arguments.
        """
        earlier = self.processes_by_name.get(name)
        if earlier is not None:
            if earlier.alive:
                raise ValueError(f"process {name!r} is running already")
            self._earlier_processes.append(earlier)
        process = ManagedProcess(name, command, self.directory)
        self.processes_by_name[name] = process
        process.wait_ready()
        return process

    def restart(self, name: str) -> ManagedProcess:
        """Restart an ended process at the same addresses."""
        process = self.processes_by_name[name]
        settings = self._settings_by_name.get(name)
        if settings is None:
            port = str(urlsplit(process.url).port)
            command = _without_option(process.command, "--port")
            return self.start(name, [*command, "--port", port])
        settings["http"] = {**settings["http"], "port": urlsplit(process.url).port}
        settings["listen"] = process.peer_address
        return self._start_daemon(name, process.command[1], settings)

    def platform(self, name: str = "platform", **options: Any) -> ManagedProcess:
        """Start a platform stand-in; the options are those of its command line."""
        return self._start_standin(name, "platform", options)

    def worker(self, vm: str, object_store: str, **options: Any) -> ManagedProcess:
        """Start the worker stand-in of a VM as ``worker-<vm>``."""
        name = f"worker-{vm}"
        record = self._record_path(name)
        defaults = {"vm": vm, "object_store": object_store, "record_file": record}
        return self._start_standin(name, "worker", {**defaults, **options})

    def upstream(
        self, service: str, vm: str, agent: str = "", **options: Any
    ) -> ManagedProcess:
        """Start an upstream stand-in as ``upstream-<service>-<vm>``."""
        name = f"upstream-{service}-{vm}"
        defaults = {
            "service": service,
            "vm": vm,
            "agent": agent,
            "record_file": self._record_path(name),
        }
        return self._start_standin(name, "upstream", {**defaults, **options})

    def entry(
        self, name: str, data_centre: str, store: str, **settings: Any
    ) -> ManagedProcess:
        """Start ``pollenkeeld entry`` with additional or changed settings."""
        return self._start_daemon(
            name, "entry", _process_settings(name, data_centre, store, settings)
        )

    def agent(
        self, name: str, data_centre: str, store: str, **settings: Any
    ) -> ManagedProcess:
        """Start ``pollenkeeld agent`` with additional or changed settings."""
        common = _process_settings(name, data_centre, store, settings)
        vm = {"cores": 16.0, "memory_gb": 64.0}
        return self._start_daemon(name, "agent", {"vm": vm, **common})

    def set_faults(self, process: ManagedProcess, **changes: Any) -> dict[str, Any]:
        """Change fault switches of a stand-in and return all of them.

        Raises
        ------
        ValueError
            If a switch is unknown or a value is wrong.
        """
        status, value = self.call(process, "POST", "/faults", changes)
        if status != 200:
            raise ValueError(f"{process.name}: {value}")
        switches: dict[str, Any] = value
        return switches

    def get_record(self, process: ManagedProcess) -> dict[str, Any]:
        """Return the record of a running stand-in."""
        record: dict[str, Any] = self.call(process, "GET", "/record")[1]
        return record

    def executions(self, name: str) -> list[Execution]:
        """Return what ran on a worker or upstream, including before its restarts.

        What was running when a process ended counts as ended at that time.
        """
        incarnations = [
            incarnation
            for incarnation in self._earlier_processes
            if incarnation.name == name
        ]
        incarnations.append(self.processes_by_name[name])
        path = self._record_path(name)
        executions: dict[tuple[str, int, float], Execution] = {}
        for ended_at in [incarnation.ended_at for incarnation in incarnations]:
            for execution in read_record(path, ended_at):
                key = (execution.name, execution.attempt, execution.start)
                if key not in executions or not executions[key].end:
                    executions[key] = execution
        return sorted(executions.values(), key=lambda e: e.start)

    def call(
        self, process: ManagedProcess, method: str, path: str, value: Any = None
    ) -> tuple[int, Any]:
        """Send a JSON request.

        Returns
        -------
        tuple of int and object
            HTTP status and the parsed body.
        """
        body = None if value is None else json.dumps(value).encode()
        headers = {"Content-Type": "application/json"} if body else {}
        # A server may close an idle connection at the moment when it is used again, so
        # each call has its own.
        with urllib3.PoolManager(retries=False, timeout=self._timeout) as http:
            response = http.request(
                method, process.url + path, body=body, headers=headers
            )
        return response.status, json.loads(response.data or b"null")

    def _record_path(self, name: str) -> Path:
        return self.directory / f"{name}.record"

    def _start_standin(
        self, name: str, kind: str, options: dict[str, Any]
    ) -> ManagedProcess:
        command = [sys.executable, "-m", "pollenkeel_standins", kind]
        options = {"port": self._ports.reserve(), **options}
        for option, value in options.items():
            command += [f"--{option.replace('_', '-')}", str(value)]
        return self.start(name, command)

    def _start_daemon(
        self, name: str, role: str, settings: dict[str, Any]
    ) -> ManagedProcess:
        if not settings["http"].get("port"):
            port = self._ports.reserve()
            settings["http"] = {**settings["http"], "port": port}
        settings.setdefault("listen", f"tcp://127.0.0.1:{self._ports.reserve()}")
        self._settings_by_name[name] = settings
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        daemon = str(_SCRIPTS / "pollenkeeld")
        return self.start(name, [daemon, role, "--settings", str(path)])


def _process_settings(
    name: str, data_centre: str, store: str, settings: dict[str, Any]
) -> dict[str, Any]:
    common = {
        "id": name,
        "data_centre": data_centre,
        "store": {"url": store},
        "http": {"host": "127.0.0.1", "port": 0},
    }
    return {**common, **settings}


def _stop_group(name: str) -> int:
    """Return the rank in the stop order: upstreams, pollenkeel, other stand-ins."""
    if name.startswith("upstream-"):
        return 0
    return 2 if name.startswith(("platform", "worker-")) else 1


def _without_option(command: list[str], option: str) -> list[str]:
    if option not in command:
        return list(command)
    index = command.index(option)
    return command[:index] + command[index + 2 :]


def find_records(cluster: Cluster, prefix: str) -> list[Execution]:
    """Return the executions of all stand-ins whose name starts with a prefix."""
    found: list[Execution] = []
    for name in cluster.processes_by_name:
        if name.startswith(prefix):
            with contextlib.suppress(FileNotFoundError):
                found += cluster.executions(name)
    return sorted(found, key=lambda execution: execution.start)

"""Process settings: attrs classes loaded from a YAML file and validated."""

from __future__ import annotations

import enum
import functools
import math
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_origin

import attrs
import cattrs
import yaml
from cattrs.cols import list_structure_factory
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.refusal import Refusal

T = TypeVar("T")

#: Maximum time from the arrival of a request to its deadline; a longer one would occupy
#: a thread for too long.
MAX_DEADLINE_SECONDS = 3600.0
#: Minimum time in seconds to keep a claim (the record of a request with an idempotency
#: key) after the deadline of the request. A caller retries a request at most until the
#: deadline of the retry, so this allows several retries of the longest request.
MIN_CLAIM_RETENTION = 4 * MAX_DEADLINE_SECONDS


class LogLevel(enum.Enum):
    """Minimum level of log records."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@attrs.frozen
class HttpSettings:
    """HTTP server of a process; port 0 lets the operating system choose the port."""

    host: str = "127.0.0.1"
    port: int = 0
    threads: int = 80


@attrs.frozen
class StoreSettings:
    """Connection to the platform's table service and object store.

    ``timeout`` is in seconds and applies to a single call.
    """

    url: str
    backend: str = "http"
    timeout: float = 2.0


@attrs.frozen
class TimingSettings:
    """Intervals, timeouts and lease durations, in seconds."""

    heartbeat_interval: float = 1.0
    peer_silent_after: float = 3.0
    announce_ttl: float = 5.0
    head_interval: float = 0.5
    permit_ttl: float = 3.0
    max_clock_skew: float = 0.5
    entry_ttl: float = 6.0
    shard_lease: float = 6.0
    task_lease: float = 15.0
    task_renewal: float = 3.0
    start_window: float = 2.0
    outage_grace: float = 900.0
    commit_interval: float = 0.05
    stop_deadline: float = 30.0


def _check_retention(_: Any, __: Any, value: float) -> None:
    if not MIN_CLAIM_RETENTION <= value < math.inf:
        raise ValueError(
            f"claim_retention must be a number of seconds from "
            f"{MIN_CLAIM_RETENTION:.0f} (4 times the longest request), got {value}"
        )


@attrs.frozen
class LimitSettings:
    """Limits on sizes, queues and retention times.

    ``retry_ratio`` limits retries and hedges to a fraction of the requests.
    ``kept_replies`` is the maximum number of replies that an agent keeps. A claim (the
    record of a request with an idempotency key) and its stored response may be deleted
    ``claim_retention`` seconds after the deadline of the request.
    """

    body_bytes: int = 8 * 1024 * 1024
    waiting_requests: int = 1000
    jobs_per_shard: int = 200_000
    retry_ratio: float = 0.1
    decisions_per_task: int = 32
    decisions: int = 50_000
    kept_replies: int = 10_000
    claim_retention: float = attrs.field(
        default=24 * 3600.0, validator=_check_retention
    )


@attrs.frozen
class ProcessSettings:
    """Settings common to both roles.

    ``listen`` is the ``tcp://IP:PORT`` on which this process accepts connections from
    its peers. ``advertise`` is the address given to peers if it differs, for example
    behind NAT.
    """

    id: str
    data_centre: str
    store: StoreSettings
    listen: str = "tcp://127.0.0.1:0"
    advertise: str = ""
    http: HttpSettings = attrs.field(factory=HttpSettings)
    timing: TimingSettings = attrs.field(factory=TimingSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    log_level: LogLevel = LogLevel.INFO


@attrs.frozen
class EntrySettings(ProcessSettings):
    """Settings of ``pollenkeeld entry``.

    ``shards`` is the number of shards of the whole system and must be the same on
    every entry. ``attempts`` is the maximum number of attempts per request.
    """

    shards: int = 8
    attempts: int = 3


@attrs.frozen
class VmSettings:
    """Capacity of the VM that the agent may allocate to work."""

    cores: float
    memory_gb: float
    accelerators: int = 0

    @property
    def resources(self) -> Resources:
        """The capacity as ``Resources``."""
        return Resources(self.cores, self.memory_gb, self.accelerators)


@attrs.frozen
class AgentSettings(ProcessSettings):
    """Settings of ``pollenkeeld agent``.

    ``worker_url`` is the URL of the platform's worker on this VM; empty if the VM runs
    no batch tasks. ``entries`` are addresses of entries to try while the table service
    is unavailable. ``interference`` names the plug-in that keeps batch tasks from
    slowing down the VM's services.
    """

    vm: VmSettings = attrs.field(kw_only=True)
    rack: str = "rack-0"
    interference: str = "learned"
    worker_url: str = ""
    entries: list[str] = attrs.field(factory=list)


@functools.cache
def make_strict_converter() -> cattrs.Converter:
    """Return the shared converter that rejects wrong types and unknown keys.

    It is cached because it generates code at the first use of each class, which takes
    milliseconds.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _make_strict_hook(kind))
    converter.register_structure_hook(float, _structure_float)
    register_strict_lists(converter)
    converter.register_structure_hook_func(
        lambda t: isinstance(t, type) and issubclass(t, enum.Enum), _structure_enum
    )
    return converter


def register_strict_lists(converter: cattrs.Converter) -> None:
    """Make a converter accept only lists for list fields.

    By default cattrs accepts any iterable, so it would split a string into characters.
    """

    def make_hook(target: Any) -> Any:
        structure_list = list_structure_factory(target, converter)

        def structure(value: Any, _: Any) -> Any:
            if type(value) is not list:
                raise TypeError(f"expected a list, got {_shorten(value)}")
            return structure_list(value, target)

        return structure

    converter.register_structure_hook_factory(
        lambda target: get_origin(target) is list, make_hook
    )


def structure_checked(raw: Any, target: type[T], source: str) -> Result[T, list[str]]:
    """Build an attrs object from parsed YAML.

    Parameters
    ----------
    raw : Any
        Parsed YAML document.
    target : type
        attrs class to build.
    source : str
        File name used in messages.

    Returns
    -------
    Result[T, list[str]]
        The object, or one message per error with file, key, value and choices.
    """
    if not isinstance(raw, dict):
        return Err([f"{source}: expected a mapping, got {_shorten(raw)}"])
    try:
        return Ok(make_strict_converter().structure(raw, target))
    except cattrs.BaseValidationError as error:
        return Err([f"{source}: {line}" for line in _describe_errors(error, raw, "")])


def load_yaml(path: Path) -> Result[Any, list[str]]:
    """Parse one YAML file.

    Returns
    -------
    Result[Any, list[str]]
        The document, or a message with the file and the line.
    """
    try:
        return Ok(yaml.safe_load(path.read_text()))
    except OSError as error:
        return Err([f"{path}: cannot be read: {error.strerror}"])
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return Err([f"{path}: not valid YAML: {' '.join(str(error).split())}"])


def load_settings(path: Path, target: type[T]) -> Result[T, Refusal]:
    """Read and validate the settings of a process.

    Parameters
    ----------
    path : Path
        YAML file.
    target : type
        Settings class of the role.

    Returns
    -------
    Result[T, Refusal]
        Code 4005, listing every error.
    """
    checked = load_yaml(path).and_then(
        lambda raw: structure_checked(raw, target, str(path))
    )
    return checked.map_err(lambda faults: Refusal(Code.BAD_SETTINGS, "; ".join(faults)))


def _make_strict_hook(kind: type) -> Any:
    def structure(value: Any, _: type) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {_NAMES_BY_TYPE[kind]}, got {_shorten(value)}")
        return value

    return structure


_NAMES_BY_TYPE = {str: "text", int: "a whole number", bool: "true or false"}


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {_shorten(value)}")
    return float(value)


def _structure_enum(value: Any, target: type[enum.Enum]) -> enum.Enum:
    try:
        return target(value)
    except ValueError:
        choices = ", ".join(repr(member.value) for member in target)
        raise ValueError(f"{_shorten(value)} is not one of {choices}") from None


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _describe_errors(error: BaseException, raw: Any, path: str) -> Iterator[str]:
    if isinstance(error, cattrs.ClassValidationError):
        for exc, note in error.group_exceptions()[0]:
            yield from _describe_errors(exc, raw, _join_path(path, note.name))
        for exc in error.group_exceptions()[1]:
            yield from _describe_errors(exc, raw, path)
    elif isinstance(error, cattrs.IterableValidationError):
        for exc, item in error.group_exceptions()[0]:
            yield from _describe_errors(exc, raw, _join_path(path, str(item.index)))
        for exc in error.group_exceptions()[1]:
            yield from _describe_errors(exc, raw, path)
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        choices = ", ".join(sorted(f.name for f in attrs.fields(error.cl)))
        for key in sorted(map(str, error.extra_fields)):
            yield f"{_join_path(path, key)}: unknown key; choices: {choices}"
    elif isinstance(error, KeyError):
        yield f"{path or error.args[0]}: required key is missing"
    elif isinstance(error, AttributeError):
        # Raised by the code that cattrs generates if a value is not a mapping.
        yield f"{path or 'document'}: expected a mapping, got {_shorten(error.obj)}"
    else:
        yield f"{path or 'document'}: {error}"


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)

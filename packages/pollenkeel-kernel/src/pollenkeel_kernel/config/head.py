"""Head row of the configuration: the version in force and the recent changes.

Every accepted change, including a drain, increments the version by one. The row is
written only by compare-and-set on its row version, so two writes from the same state
never both succeed, and a write whose response was lost can safely be retried while the
first one is still in progress. The body is stored before the head refers to it.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
import xxhash
from result import Err, Ok, Result

from pollenkeel_kernel.config.document import (
    data_centre_names,
    encode_document,
    object_key,
)
from pollenkeel_kernel.config.model import ConfigDocument
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import structure_checked
from pollenkeel_kernel.store.base import Backend, Put

TABLE = "config"
KEY = "head"
#: Number of recent changes kept in the head to detect a repeated change id.
MAX_RECORDED_CHANGES = 64
#: Maximum length of an id in characters; keeps the head row well below the row limit
#: of 64 KiB.
MAX_ID_LENGTH = 128
#: Maximum write attempts per change; more would delay the operator's request too long.
_MAX_ATTEMPTS = 5


@attrs.frozen
class AcceptedChange:
    """Result of an accepted change.

    Attributes
    ----------
    change_id : str
        Id chosen by the operator's client.
    version : int
        Version that the change created.
    fingerprint : str
        Hash of the requested change; detects reuse of a change id for a different
        change.
    """

    change_id: str
    version: int
    fingerprint: str


@attrs.frozen
class Head:
    """Content of the head row.

    ``data_centres`` lists the names that the body defines, so that a drain needs only
    the table service and works while the object store is down. ``drained`` keeps names
    that a later body no longer defines: a data centre that is removed by mistake and
    added again stays drained. ``changed_at`` is in seconds since the Unix epoch.
    """

    version: int = 0
    object_key: str = ""
    change_id: str = ""
    drained: list[str] = attrs.field(factory=list)
    data_centres: list[str] = attrs.field(factory=list)
    operator: str = ""
    changed_at: float = 0.0
    changes: list[AcceptedChange] = attrs.field(factory=list)

    def find_change(self, change_id: str) -> AcceptedChange | None:
        """Return the recorded change with the given id, or None if there is none."""
        return next((c for c in self.changes if c.change_id == change_id), None)


@attrs.frozen
class HeadRow:
    """The head and its row version for compare-and-set; 0 if the row does not exist."""

    head: Head
    row_version: int


@attrs.frozen
class ChangeRequest:
    """Operator who requests a change, and the id that makes retries idempotent."""

    change_id: str
    operator: str


#: Returns the head after a change, before the fields common to all changes are set.
_Plan = Callable[[Head], Result[Head, Refusal]]


def read_head(backend: Backend) -> Result[HeadRow, Refusal]:
    """Read the head row.

    Returns
    -------
    Result[HeadRow, Refusal]
        Version 0 if no configuration has been accepted yet; code 2003 if the store is
        unavailable, 9000 if the row is corrupted.
    """
    return backend.get(TABLE, KEY).and_then(
        lambda row: (
            Ok(HeadRow(Head(), 0))
            if row is None
            else decode_head(row.value).map(lambda head: HeadRow(head, row.version))
        )
    )


def encode_head(head: Head) -> bytes:
    """Encode the head as the JSON value of its row."""
    return json.dumps(attrs.asdict(head), sort_keys=True).encode()


def decode_head(value: bytes) -> Result[Head, Refusal]:
    """Decode the value of the head row; code 9000 if it is corrupted."""
    try:
        fields = parse_json(value)
    except ValueError as error:
        return Err(Refusal(Code.INTERNAL, f"row {KEY} is damaged: {error}"[:200]))
    return structure_checked(fields, Head, f"row {KEY}").map_err(
        lambda faults: Refusal(Code.INTERNAL, "; ".join(faults))
    )


def accept(
    backend: Backend,
    clock: Clock,
    request: ChangeRequest,
    document: ConfigDocument,
    expected_version: int,
) -> Result[AcceptedChange, Refusal]:
    """Make a validated document the configuration in force.

    Parameters
    ----------
    backend : Backend
        Table service and object store.
    clock : Clock
        Source of the change time recorded in the head.
    request : ChangeRequest
        Change id and operator.
    document : ConfigDocument
        Document without errors according to ``check_document``.
    expected_version : int
        Version that the operator based the change on; 0 for the first
        configuration.

    Returns
    -------
    Result[AcceptedChange, Refusal]
        Code 5002 if another version is in force, 2003 if nothing was changed, 3006
        if the outcome is unknown, 4003 if the change id was used for
        a different change.
    """
    body = encode_document(document)
    key = object_key(expected_version + 1, body)

    def plan(head: Head) -> Result[Head, Refusal]:
        if head.version != expected_version:
            detail = f"expected version {expected_version}, found {head.version}"
            return Err(Refusal(Code.VERSION_CONFLICT, detail))
        names = data_centre_names(document)
        updated = attrs.evolve(head, object_key=key, data_centres=names)
        # The head does not refer to the body yet, so a failed upload changes nothing.
        return (
            backend.put_object(key, body)
            .map(lambda _: updated)
            .map_err(lambda r: Refusal(Code.STORE_UNAVAILABLE, r.detail))
        )

    fingerprint = _fingerprint("accept", "", body)
    return _ConfigChange(backend, clock, request, fingerprint, plan).run()


def drain(
    backend: Backend, clock: Clock, request: ChangeRequest, data_centre: str
) -> Result[AcceptedChange, Refusal]:
    """Drain a data centre; draining one that is already drained is also accepted.

    Returns
    -------
    Result[AcceptedChange, Refusal]
        Code 5003 if the data centre is unknown, 5004 if no configuration has been
        accepted yet; otherwise as for ``accept``.
    """
    return _set_drained(backend, clock, request, data_centre, drained=True)


def undrain(
    backend: Backend, clock: Clock, request: ChangeRequest, data_centre: str
) -> Result[AcceptedChange, Refusal]:
    """End the drain of a data centre; see ``drain`` for the result codes."""
    return _set_drained(backend, clock, request, data_centre, drained=False)


def _set_drained(
    backend: Backend,
    clock: Clock,
    request: ChangeRequest,
    data_centre: str,
    drained: bool,
) -> Result[AcceptedChange, Refusal]:
    def plan(head: Head) -> Result[Head, Refusal]:
        if head.version == 0:
            return Err(Refusal(Code.NO_CONFIG))
        known = {*head.data_centres, *head.drained}
        if data_centre not in known:
            choices = ", ".join(sorted(known))
            detail = f"{data_centre!r:.80}; choices: {choices}"
            return Err(Refusal(Code.UNKNOWN_DATA_CENTRE, detail))
        names = set(head.drained) - {data_centre}
        if drained:
            names.add(data_centre)
        return Ok(attrs.evolve(head, drained=sorted(names)))

    operation = "drain" if drained else "undrain"
    fingerprint = _fingerprint(operation, data_centre, b"")
    return _ConfigChange(backend, clock, request, fingerprint, plan).run()


def _fingerprint(operation: str, argument: str, body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(f"{operation} {argument} ".encode() + body)


@attrs.define
class _ConfigChange:
    """Read-modify-write loop for one change to the head row.

    ``written_from`` is the expected row version of a write that got no response or a
    conflict. Until a read returns a different row version, that write may still take
    effect.
    """

    backend: Backend
    clock: Clock
    request: ChangeRequest
    fingerprint: str
    plan: _Plan
    written_from: int | None = None

    def run(self) -> Result[AcceptedChange, Refusal]:
        invalid = _check_request(self.request)
        if invalid is not None:
            return Err(invalid)
        for _ in range(_MAX_ATTEMPTS):
            outcome = self._attempt()
            if outcome is not None:
                return outcome
        return self._read_final_result()

    def _attempt(self) -> Result[AcceptedChange, Refusal] | None:
        """Read the head and write the change; return None if this must be retried."""
        read = self._read()
        if isinstance(read, Err):
            return read
        row = read.ok_value
        earlier = row.head.find_change(self.request.change_id)
        if earlier is not None:
            return self._replay_result(earlier)
        updated = self.plan(row.head)
        if isinstance(updated, Err):
            return Err(self._mark_unknown_if_unresolved(updated.err_value))
        return self._write(self._with_change_fields(updated.ok_value), row.row_version)

    def _read(self) -> Result[HeadRow, Refusal]:
        read = read_head(self.backend).map_err(self._mark_unknown_if_unresolved)
        if not isinstance(read, Err) and read.ok_value.row_version != self.written_from:
            # The compare-and-set condition of the earlier write can no longer hold.
            self.written_from = None
        return read

    def _write(
        self, head: Head, row_version: int
    ) -> Result[AcceptedChange, Refusal] | None:
        """Write the head; return None if the outcome must be read back."""
        put = Put(TABLE, KEY, encode_head(head), row_version)
        written = self.backend.write([put])
        if not isinstance(written, Err):
            return Ok(head.changes[-1])
        if written.err_value.code in (Code.WRITE_UNKNOWN, Code.VERSION_CONFLICT):
            # The conflict may be with this same change, written by an earlier attempt
            # or through another entry.
            self.written_from = row_version
            return None
        return Err(self._mark_unknown_if_unresolved(written.err_value))

    def _read_final_result(self) -> Result[AcceptedChange, Refusal]:
        """Determine the result after the last attempt by reading the head again."""
        read = self._read()
        if isinstance(read, Err):
            return read
        earlier = read.ok_value.head.find_change(self.request.change_id)
        if earlier is not None:
            return self._replay_result(earlier)
        if self.written_from is not None:
            return Err(
                Refusal(Code.WRITE_UNKNOWN, "no response to the write of the head row")
            )
        detail = f"the head changed during each of {_MAX_ATTEMPTS} attempts"
        return Err(Refusal(Code.VERSION_CONFLICT, detail))

    def _replay_result(
        self, earlier: AcceptedChange
    ) -> Result[AcceptedChange, Refusal]:
        """Return the earlier result if it was the same change, else code 4003."""
        if earlier.fingerprint == self.fingerprint:
            return Ok(earlier)
        detail = f"change id {earlier.change_id!r} made version {earlier.version}"
        return Err(Refusal(Code.KEY_REUSED, detail))

    def _mark_unknown_if_unresolved(self, refusal: Refusal) -> Refusal:
        """Replace "not written" by "outcome unknown" while a write is unresolved."""
        if self.written_from is not None and refusal.code == Code.STORE_UNAVAILABLE:
            return Refusal(Code.WRITE_UNKNOWN, refusal.detail)
        return refusal

    def _with_change_fields(self, updated: Head) -> Head:
        version = updated.version + 1
        change = AcceptedChange(self.request.change_id, version, self.fingerprint)
        return attrs.evolve(
            updated,
            version=version,
            change_id=self.request.change_id,
            operator=self.request.operator,
            changed_at=self.clock.now(),
            changes=[*updated.changes, change][-MAX_RECORDED_CHANGES:],
        )


def _check_request(request: ChangeRequest) -> Refusal | None:
    for name, value in (
        ("change_id", request.change_id),
        ("operator", request.operator),
    ):
        if not (value and value.isprintable() and len(value) <= MAX_ID_LENGTH):
            detail = f"{name}: expected 1 to {MAX_ID_LENGTH} printable characters, got "
            return Refusal(Code.BAD_REQUEST, f"{detail}{value!r:.80}")
    return None

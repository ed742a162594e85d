"""Wire format of messages: msgpack of [protocol version, type name, fields]."""

from __future__ import annotations

import math
from typing import Any

import msgpack
from cattrs import BaseValidationError
from cattrs.preconf.msgpack import make_converter
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import register_strict_lists

PROTOCOL_VERSION = 1

_converter = make_converter(forbid_extra_keys=True, omit_if_default=True)


def _make_strict_hook(kind: type) -> Any:
    def structure(value: Any, _: type) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, got {value!r:.80}")
        return value

    return structure


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected float, got {value!r:.80}")
    # Every comparison with NaN is false, so NaN would pass any later limit check.
    if math.isnan(value):
        raise TypeError("expected float, got NaN")
    return float(value)


for _scalar_type in (str, int, bytes, bool):
    _converter.register_structure_hook(_scalar_type, _make_strict_hook(_scalar_type))
_converter.register_structure_hook(float, _structure_float)
register_strict_lists(_converter)


def encode(message: Message) -> bytes:
    """Encode a message for the wire.

    Parameters
    ----------
    message : Message
        Message of any registered type.

    Returns
    -------
    bytes
        msgpack array of protocol version, type name and fields.
    """
    fields = _converter.unstructure(message)
    return bytes(msgpack.packb([PROTOCOL_VERSION, type(message).__name__, fields]))


def decode(data: bytes) -> Result[Message, Refusal]:
    """Decode a message from the wire.

    Parameters
    ----------
    data : bytes
        Encoded message; may come from an untrusted peer.

    Returns
    -------
    Result[Message, Refusal]
        On error, code 4001 (undecodable message or invalid field), 4002 (unsupported
        protocol version) or 4006 (unknown message type).
    """
    try:
        envelope = msgpack.unpackb(data)
    except Exception as error:  # msgpack raises several unrelated types
        return Err(Refusal(Code.BAD_MESSAGE, f"not msgpack: {error}"[:200]))
    if not isinstance(envelope, list) or len(envelope) != 3:
        return Err(Refusal(Code.BAD_MESSAGE, "expected an array of 3 items"))
    version, name, fields = envelope
    if version != PROTOCOL_VERSION:
        return Err(
            Refusal(
                Code.UNSUPPORTED_PROTOCOL,
                f"version {version!r:.20}; supported: {PROTOCOL_VERSION}",
            )
        )
    message_type = Message.MESSAGE_TYPES_BY_NAME.get(name) if _is_name(name) else None
    if message_type is None:
        return Err(Refusal(Code.UNKNOWN_MESSAGE, f"type {name!r:.40}"))
    if not isinstance(fields, dict):
        return Err(Refusal(Code.BAD_MESSAGE, f"{name}: expected a map of fields"))
    try:
        return Ok(_converter.structure(fields, message_type))
    except (BaseValidationError, TypeError, ValueError, KeyError) as error:
        return Err(Refusal(Code.BAD_MESSAGE, f"{name}: {_first_cause(error)}"[:200]))


def _is_name(name: object) -> bool:
    return isinstance(name, str)


def _first_cause(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup) and error.exceptions:
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"

"""Guards against messages that are altered in transit or crash the receiver."""

import attrs
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from pollenkeel_kernel import Code
from pollenkeel_kernel.core import messages
from pollenkeel_kernel.core.codec import PROTOCOL_VERSION, decode, encode
from pollenkeel_kernel.core.messages import ConfigSnapshot, Heartbeat, Message

# msgpack supports 64-bit integers; NaN is excluded because it does not equal itself.
st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))
MESSAGES = st.sampled_from(
    sorted(Message.MESSAGE_TYPES_BY_NAME.values(), key=lambda t: t.__name__)
).flatmap(st.from_type)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=4),
    lambda v: st.lists(v, max_size=3) | st.dictionaries(st.text(max_size=4), v),
    max_leaves=6,
)


@given(MESSAGES)
def test_round_trip(message):
    """Guards against fields that are lost or change their type."""
    decoded = decode(encode(message))
    assert decoded == Ok(message)
    assert type(decoded.ok_value) is type(message)


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused(data):
    """Guards against a crash on an undecodable message."""
    assert decode(data).is_err()


@given(st.sampled_from(sorted(Message.MESSAGE_TYPES_BY_NAME)), PLAIN)
def test_arbitrary_fields_are_refused(name, fields):
    """Guards against an exception or an incomplete message on invalid fields."""
    data = msgpack.packb([PROTOCOL_VERSION, name, fields])
    assert decode(data).err_value.code == Code.BAD_MESSAGE


@given(MESSAGES, st.data())
def test_replaced_field_never_raises(message, data):
    """Guards against a field of the wrong type that is accepted or raises."""
    version, name, fields = msgpack.unpackb(encode(message))
    field = data.draw(st.sampled_from(sorted(fields)))
    fields[field] = data.draw(PLAIN)
    decoded = decode(msgpack.packb([version, name, fields]))
    assert decoded.is_err() or encode(decoded.ok_value)


@pytest.mark.parametrize(
    ("envelope", "code"),
    [
        ([PROTOCOL_VERSION + 1, "Heartbeat", {}], Code.UNSUPPORTED_PROTOCOL),
        ([PROTOCOL_VERSION, "Other", {}], Code.UNKNOWN_MESSAGE),
        ([PROTOCOL_VERSION, ["Heartbeat"], {}], Code.UNKNOWN_MESSAGE),
        ([PROTOCOL_VERSION, "Heartbeat", []], Code.BAD_MESSAGE),
        ([PROTOCOL_VERSION, "Heartbeat"], Code.BAD_MESSAGE),
    ],
)
def test_result_codes(envelope, code):
    """Guards against a wrong result code for a message from another release."""
    assert decode(msgpack.packb(envelope)).err_value.code == code


def test_unknown_field_and_string_for_a_list_are_refused():
    """Guards against a string that is split into a list of characters."""
    fields = {**attrs.asdict(Heartbeat("a", 1.0)), "more": 1}
    data = msgpack.packb([PROTOCOL_VERSION, "Heartbeat", fields])
    assert decode(data).err_value.code == Code.BAD_MESSAGE
    reply = messages.AnnounceReply(
        "a", 1.0, "e", ConfigSnapshot(1, ["x"], b""), 0.0, []
    )
    envelope = msgpack.unpackb(encode(reply))
    envelope[2]["config"]["drained"] = "kingston"
    assert decode(msgpack.packb(envelope)).err_value.code == Code.BAD_MESSAGE

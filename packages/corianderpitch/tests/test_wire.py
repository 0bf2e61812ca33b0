"""Encoding of peer messages: round trips, and handling of invalid data."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import Answered, NotRun, Reason, Unknown
from corianderpitch.domain.slots import RunResult
from corianderpitch.errors import WireError
from corianderpitch.messages import (
    OutcomeRecord,
    PermitRelease,
    PermitRequest,
    SlotOffers,
    TicketReply,
)
from corianderpitch.wire import Decoder, encode, message_types

names = st.text(min_size=1, max_size=12)
offers = st.builds(Offer, names, names, names, names)
outcomes = st.one_of(
    st.builds(Answered, st.integers(200, 599), names, st.binary()),
    st.builds(NotRun, st.sampled_from(Reason), st.integers(0, 10_000)),
    st.builds(Unknown, st.sampled_from(Reason)),
)
messages = st.one_of(
    st.builds(
        PermitRequest,
        names,
        names,
        names,
        names,
        st.floats(0, 1e6),
        st.frozensets(names, max_size=3),
    ),
    st.builds(
        PermitRelease, names, names, st.sampled_from(RunResult), st.floats(0, 1e6)
    ),
    st.builds(
        SlotOffers,
        names,
        names,
        st.integers(0, 2**31),
        st.lists(offers, max_size=3).map(tuple),
    ),
    st.builds(
        TicketReply,
        names,
        st.none() | outcomes.map(OutcomeRecord.from_outcome),
    ),
)


@given(st.lists(messages, max_size=5), st.integers(1, 40))
def test_stream_is_decoded_for_any_chunk_size(sent, chunk_size):
    data = b"".join(encode(item) for item in sent)
    decoder = Decoder()
    received = []
    for start in range(0, len(data), chunk_size):
        received += decoder.feed(data[start : start + chunk_size])
    assert received == sent


st.register_type_strategy(float, st.floats(allow_nan=False))
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
any_message = st.sampled_from(sorted(message_types(), key=lambda cls: cls.__name__))


@given(any_message.flatmap(st.from_type))
def test_message_of_every_type_is_decoded_unchanged(sent):
    assert Decoder().feed(encode(sent)) == [sent]


@given(any_message.flatmap(st.from_type), st.data())
def test_message_with_a_modified_field_is_rejected_or_valid(sent, data):
    """The field is replaced by a value of any type, omitted, or replaced by two."""
    item = msgpack.unpackb(encode(sent))
    index = data.draw(st.integers(0, len(item) - 1))
    scalars = st.none() | st.booleans() | st.integers(0, 9) | st.text() | st.binary()
    values = scalars | st.lists(scalars, max_size=4)
    item[index : index + 1] = data.draw(st.lists(values, max_size=2))
    try:
        received = Decoder().feed(msgpack.packb(item))
    except WireError:
        return
    assert all(Decoder().feed(encode(decoded)) == [decoded] for decoded in received)


@given(outcomes)
def test_outcome_is_unchanged_by_conversion_to_a_record(outcome):
    assert OutcomeRecord.from_outcome(outcome).to_outcome() == outcome


@given(st.binary(min_size=1, max_size=60))
def test_random_bytes_are_rejected_incomplete_or_a_valid_message(data):
    try:
        received = Decoder().feed(data)
    except WireError:
        return
    assert all(Decoder().feed(encode(item)) == [item] for item in received)


@pytest.mark.parametrize("data", [b"\x91\x0c", b"\x92\x0c\x01", b"\x01", b"\xc1"])
def test_data_that_is_no_message_is_rejected(data):
    with pytest.raises(WireError):
        Decoder().feed(data)

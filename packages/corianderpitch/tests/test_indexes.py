"""Sets of task indexes, checked against built-in sets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.scheduling.indexes import IndexSet

CHANGES = st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=80)


@given(count=st.integers(0, 30), changes=CHANGES)
def test_a_set_of_spans_has_the_members_of_a_plain_set(count, changes):
    spans, plain = IndexSet.from_range(count), set(range(count))
    for is_added, member in changes:
        for members in (spans, plain):
            members.add(member) if is_added else members.discard(member)
        assert list(spans) == sorted(plain)
        assert len(spans) == len(plain)
        assert spans == plain
        assert spans.copy() == spans
        assert all((n in spans) == (n in plain) for n in range(32))
    found = list(spans.spans)
    assert all(a < b for a, b in found)
    assert all(first[1] < second[0] for first, second in zip(found, found[1:]))  # noqa: B905


@given(
    changes=st.lists(st.tuples(st.booleans(), st.integers(0, 20), st.integers(0, 20)))
)
def test_ranges_are_added_and_removed_like_their_members(changes):
    spans, plain = IndexSet(), set()
    for is_added, first, end in changes:
        if is_added:
            spans.add_range(first, end)
            plain |= set(range(first, end))
        else:
            for member in range(first, end):
                spans.discard(member)
            plain -= set(range(first, end))
        assert list(spans) == sorted(plain)
        assert len(spans) == len(plain)
        assert IndexSet.from_spans(spans.spans) == plain
        assert spans.complement(15) == set(range(15)) - plain


def test_members_may_be_discarded_while_iterating():
    members = IndexSet.from_range(5)
    for member in members:
        members.discard(member)
    assert not members


def test_a_set_of_many_indexes_takes_no_more_room_than_one_of_few():
    rng = random.Random(1)
    members = IndexSet.from_range(10_000_000)
    for member in rng.sample(range(10_000_000), 50):
        members.discard(member)
    assert members.span_count <= 51


@pytest.mark.parametrize("spans", [[(2, 2)], [(0, 2), (2, 3)], [(4, 5), (0, 1)]])
def test_spans_that_overlap_or_are_empty_are_refused(spans):
    with pytest.raises(ValueError, match="sorted"):
        IndexSet.from_spans(spans)

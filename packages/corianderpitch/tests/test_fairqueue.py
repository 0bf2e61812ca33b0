"""The fair queue keeps deadlines within flows and weights between flows."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.fairqueue import FairQueue, QueuedRequest


def queued(number, tenant="t", deadline_ms=1000.0):
    return QueuedRequest(f"r{number}", "m", tenant, "c", deadline_ms, 0.0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 1e4)), max_size=30))
def test_pops_each_request_once_and_by_deadline_within_a_flow(items):
    queue = FairQueue()
    for number, (tenant, deadline_ms) in enumerate(items):
        queue.push(queued(number, tenant, deadline_ms))
    popped = []
    while (item := queue.pop()) is not None:
        popped.append(item)
    assert len({item.request_id for item in popped}) == len(items)
    for tenant in "abc":
        due = [item.deadline_ms for item in popped if item.tenant == tenant]
        assert due == sorted(due)
    assert len(queue) == 0


@given(st.integers(1, 5), st.integers(1, 5))
def test_backlogged_flows_share_by_weight(weight_a, weight_b):
    queue = FairQueue()
    for number in range(100):
        queue.push(queued(f"a{number}", "a"), weight_a)
        queue.push(queued(f"b{number}", "b"), weight_b)
    rounds = 10 * (weight_a + weight_b)
    served = Counter(queue.pop().tenant for _ in range(rounds))
    assert abs(served["a"] - 10 * weight_a) <= 1


def test_flood_of_one_tenant_does_not_delay_another():
    queue = FairQueue()
    for number in range(1000):
        queue.push(queued(number, "flood"))
    queue.push(queued("calm", "calm", deadline_ms=9999.0))
    first = [queue.pop().request_id for _ in range(2)]
    assert "rcalm" in first


@given(st.lists(st.integers(0, 9), unique=True), st.lists(st.integers(0, 9)))
def test_removed_requests_are_not_popped(pushed, removed):
    queue = FairQueue()
    for number in pushed:
        queue.push(queued(number))
    for number in removed:
        queue.remove(f"r{number}")
    remaining = set()
    while (item := queue.pop()) is not None:
        remaining.add(item.request_id)
    assert remaining == {f"r{n}" for n in pushed if n not in removed}


def test_request_pushed_again_after_removal_is_popped_once():
    queue = FairQueue()
    queue.push(queued(1))
    queue.remove("r1")
    again = queued(1)
    queue.push(again)
    assert queue.pop() is again
    assert queue.pop() is None

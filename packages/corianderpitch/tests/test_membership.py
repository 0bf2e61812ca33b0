from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.leases import ABANDONED_MS, LEASE_MS, LeaseObserver
from corianderpitch.domain.membership import (
    SETTLE_MS,
    SUSPECT_AFTER_MS,
    MemberInfo,
    Membership,
)
from corianderpitch.domain.rendezvous import choose_owner
from corianderpitch.domain.retries import RetryBudget
from corianderpitch.domain.runtimes import RunTimeEstimator

OWN = MemberInfo("e1", "i", "a", "x:1")
PEER = MemberInfo("e2", "i", "a", "x:2")
FAR = MemberInfo("f1", "i", "b", "x:3")


def view():
    membership = Membership(OWN, -SETTLE_MS)
    membership.learn([PEER, FAR])
    return membership


def test_heartbeats_keep_an_entry_alive_and_silence_ends_it():
    membership = view()
    assert membership.live(0.0) == {"e1"}
    membership.heard("e2", 0.0)
    assert membership.live(SUSPECT_AFTER_MS - 1) == {"e1", "e2"}
    assert membership.live(SUSPECT_AFTER_MS) == {"e1"}


def test_an_entry_that_left_stays_gone_until_it_starts_anew():
    membership = view()
    membership.left("e2")
    membership.heard("e2", 0.0)
    membership.learn([PEER])
    assert membership.live(0.0) == {"e1"}
    membership.learn([MemberInfo("e2", "new", "a", "x:2")])
    membership.heard("e2", 0.0)
    assert membership.live(0.0) == {"e1", "e2"}


def test_an_entry_that_was_paused_owns_nothing_at_first():
    membership = view()
    assert membership.owner("s", 0.0) == "e1"
    membership.settle(0.0)
    assert membership.owner("s", SETTLE_MS - 1) is None
    assert membership.owner("s", SETTLE_MS) == "e1"


def test_a_lost_entry_is_not_asked_for_slots():
    membership = view()
    assert membership.remote_owner("b", "s") == "f1"
    membership.lost("f1")
    assert membership.remote_owner("b", "s") is None
    membership.heard("f1", 0.0)
    assert membership.remote_owner("b", "s") == "f1"


@given(st.sets(st.text(min_size=1, max_size=5), min_size=2), st.text())
def test_owner_changes_only_when_it_leaves(members, key):
    owner = choose_owner(key, members)
    for member in members - {owner}:
        assert choose_owner(key, members - {member}) == owner


def test_lease_lapses_by_the_observers_own_clock():
    board = LeaseObserver()
    board.observe({"e1": 1, "e2": 1}, 0.0)
    board.observe({"e1": 2, "e2": 1}, LEASE_MS)
    assert board.valid(LEASE_MS) == {"e1"}
    assert not board.is_abandoned("e2", LEASE_MS)
    assert board.is_abandoned("e2", ABANDONED_MS)


@given(st.integers(1, 500))
def test_retries_stay_a_share_of_first_attempts(attempts):
    budget = RetryBudget(share=0.1, burst=5.0)
    retries = 0
    for _ in range(attempts):
        budget.record_first_attempt()
        retries += budget.try_spend()
    assert retries <= 5 + 0.1 * attempts


@given(st.lists(st.floats(1, 1e4), min_size=1, max_size=600))
def test_run_times_follow_the_latest_window(samples):
    estimator = RunTimeEstimator()
    for sample in samples:
        estimator.add(sample)
    window = samples[-256:]
    assert min(window) <= estimator.quantile_ms(0.9) <= max(window)
    assert abs(estimator.mean_ms() - sum(window) / len(window)) < 0.01
    assert sum(s <= estimator.quantile_ms(0.9) for s in window) >= 0.9 * len(window)

"""Membership, leases, ownership, retry budget and run time estimates."""

from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.leases import ABANDONED_AFTER_MS, LEASE_MS, LeaseObserver
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


def new_membership():
    membership = Membership(OWN, -SETTLE_MS)
    membership.add_members([PEER, FAR])
    return membership


def test_entry_is_live_until_its_heartbeats_stop():
    membership = new_membership()
    assert membership.live_entries(0.0) == {"e1"}
    membership.record_contact("e2", 0.0)
    assert membership.live_entries(SUSPECT_AFTER_MS - 1) == {"e1", "e2"}
    assert membership.live_entries(SUSPECT_AFTER_MS) == {"e1"}


def test_entry_that_left_is_not_live_until_it_has_a_new_incarnation():
    membership = new_membership()
    membership.mark_left("e2")
    membership.record_contact("e2", 0.0)
    membership.add_members([PEER])
    assert membership.live_entries(0.0) == {"e1"}
    membership.add_members([MemberInfo("e2", "new", "a", "x:2")])
    membership.record_contact("e2", 0.0)
    assert membership.live_entries(0.0) == {"e1", "e2"}


def test_paused_entry_owns_nothing_until_it_has_settled():
    membership = new_membership()
    assert membership.owner("s", 0.0) == "e1"
    membership.start_settling(0.0)
    assert membership.owner("s", SETTLE_MS - 1) is None
    assert membership.owner("s", SETTLE_MS) == "e1"


def test_failed_entry_is_not_a_remote_owner_until_a_heartbeat():
    membership = new_membership()
    assert membership.remote_owner("b", "s") == "f1"
    membership.mark_failed("f1")
    assert membership.remote_owner("b", "s") is None
    membership.record_contact("f1", 0.0)
    assert membership.remote_owner("b", "s") == "f1"


@given(st.sets(st.text(min_size=1, max_size=5), min_size=2), st.text())
def test_owner_changes_only_when_it_leaves(members, key):
    owner = choose_owner(key, members)
    for member in members - {owner}:
        assert choose_owner(key, members - {member}) == owner


def test_lease_lapses_if_its_version_is_unchanged_on_the_observers_clock():
    observer = LeaseObserver()
    observer.observe({"e1": 1, "e2": 1}, 0.0)
    observer.observe({"e1": 2, "e2": 1}, LEASE_MS)
    assert observer.valid_entries(LEASE_MS) == {"e1"}
    assert not observer.is_abandoned("e2", LEASE_MS)
    assert observer.is_abandoned("e2", ABANDONED_AFTER_MS)


@given(st.integers(1, 500))
def test_retries_are_bounded_by_a_share_of_first_attempts_and_a_burst(attempts):
    budget = RetryBudget(share=0.1, burst=5.0)
    retries = 0
    for _ in range(attempts):
        budget.record_first_attempt()
        retries += budget.try_spend()
    assert retries <= 5 + 0.1 * attempts


@given(st.lists(st.floats(1, 1e4), min_size=1, max_size=600))
def test_run_time_estimates_cover_only_the_latest_window(samples):
    estimator = RunTimeEstimator()
    for sample in samples:
        estimator.add(sample)
    window = samples[-256:]
    assert min(window) <= estimator.quantile_ms(0.9) <= max(window)
    assert abs(estimator.mean_ms() - sum(window) / len(window)) < 0.01
    assert sum(s <= estimator.quantile_ms(0.9) for s in window) >= 0.9 * len(window)

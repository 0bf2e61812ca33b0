"""VMs are lent under sustained pressure and returned in sustained slack."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.lending import (
    HOUR_MS,
    Lender,
    LendingPolicy,
    LendVm,
    PoolDemand,
    ReturnLentVm,
    ServiceNeed,
)
from corianderpitch.domain.loans import loan_step
from corianderpitch.domain.manager import EntryReport, SiteSnapshot, Snapshot
from corianderpitch.domain.vms import (
    SiteFleet,
    VmRecord,
    VmState,
    finish_stop,
    start_stop,
)

POLICY = LendingPolicy(
    pressure_hold_ms=1000.0, slack_hold_ms=5000.0, max_moves_per_hour=3600.0
)


def demand(needed, vms=2, lent=0, pool="p"):
    return PoolDemand(pool, vms, 8, needed, lent)


def spare(vms=3, needed=0):
    return PoolDemand("spare", vms, 8, needed, 0)


def run(lender, needed, times_ms, **changes):
    moves = []
    for now_ms in times_ms:
        move = lender.decide([demand(needed, **changes)], spare(), now_ms)
        if move is not None:
            moves.append((now_ms, move))
    return moves


def test_vm_is_lent_only_after_sustained_pressure():
    lender = Lender(POLICY, 0.0)
    assert run(lender, 16, (0.0, 500.0, 900.0)) == []
    assert run(lender, 15, (950.0,)) == []
    assert run(lender, 16, (1000.0, 1900.0)) == []
    assert run(lender, 16, (2000.0,)) == [(2000.0, LendVm("p"))]


def test_only_lent_vms_return_and_only_after_sustained_slack():
    lender = Lender(POLICY, 0.0)
    times_ms = range(0, 20_000, 500)
    assert run(lender, 0, times_ms, vms=3, lent=0) == []
    lender = Lender(POLICY, 0.0)
    [first, *_] = run(lender, 0, times_ms, vms=3, lent=1)
    assert first == (5000, ReturnLentVm("p"))


def test_spare_pool_lends_no_vm_that_it_needs():
    lender = Lender(POLICY, 0.0)
    for now_ms in (0.0, 2000.0, 4000.0):
        busy_spare = spare(vms=2, needed=9)
        assert lender.decide([demand(16)], busy_spare, now_ms) is None
        assert lender.decide([demand(16)], spare(vms=0), now_ms) is None


def test_pool_with_the_greatest_demand_gets_the_vm():
    lender = Lender(POLICY, 0.0)
    demands = [demand(20, pool="a"), demand(40, pool="b")]
    lender.decide(demands, spare(), 0.0)
    assert lender.decide(demands, spare(), 1000.0) == LendVm("b")


@given(
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3)), max_size=200),
    st.floats(1.0, 600.0),
)
def test_moves_stay_within_the_hourly_rate_and_burst(steps, moves_per_hour):
    policy = replace(
        POLICY,
        pressure_hold_ms=0.0,
        slack_hold_ms=0.0,
        max_moves_per_hour=moves_per_hour,
    )
    lender = Lender(policy, 0.0)
    step_ms = 1000.0
    moves = 0
    for number, (needed, lent) in enumerate(steps):
        item = demand(needed, vms=2 + lent, lent=lent)
        moves += lender.decide([item], spare(), number * step_ms) is not None
    hours = len(steps) * step_ms / HOUR_MS
    burst = max(1.0, moves_per_hour / 10.0)
    assert moves <= burst + moves_per_hour * hours


CONFIG = FleetFile.model_validate(
    {
        "name": "test",
        "sites": {"a": {"region": "r"}, "b": {"region": "r"}},
        "pools": {
            "p": {"vm_processors": 1, "vm_memory_mb": 1},
            "spare": {"vm_processors": 1, "vm_memory_mb": 1, "is_spare": True},
        },
        "services": {
            name: {
                "pool": pool,
                "instance_slots": 8,
                "instance_connections": 64,
                "budget": {"min_available": 1},
            }
            for name, pool in (("s", "p"), ("t", "spare"))
        },
    }
)


def snapshot(vms_a, vms_b, needs_b):
    sites = {
        "a": SiteSnapshot(SiteFleet(vms_a), 1, frozenset({"a1"})),
        "b": SiteSnapshot(SiteFleet(vms_b), 1, frozenset({"b1"})),
    }
    reports = {
        "a1": EntryReport("a1", "a", 1, (), (), frozenset()),
        "b1": EntryReport(
            "b1", "b", 1, (), (), frozenset(), (ServiceNeed("s", needs_b),)
        ),
    }
    return Snapshot(CONFIG, sites, {}, reports)


def test_vm_is_lent_where_it_is_needed_and_returns_to_the_spare_pool():
    vms_a = {"a-spare": VmRecord("spare", "r", "x"), "a-p": VmRecord("p", "r", "x")}
    vms_b = {"b-spare": VmRecord("spare", "r", "x"), "b-p": VmRecord("p", "r", "x")}
    lender = Lender(POLICY, 0.0)
    loan_step(snapshot(vms_a, vms_b, 30), lender, 0.0, 0)
    step = loan_step(snapshot(vms_a, vms_b, 30), lender, 1000.0, 1000)
    assert (step.data_center, step.vm_id) == ("b", "b-spare")
    assert step.record.state is VmState.DRAINING
    lent = finish_stop(start_stop(step.record), 0)
    assert (lent.pool, lent.lent_from) == ("p", "spare")
    vms_b["b-spare"] = lent
    lender = Lender(POLICY, 0.0)
    loan_step(snapshot(vms_a, vms_b, 0), lender, 0.0, 0)
    return_step = loan_step(snapshot(vms_a, vms_b, 0), lender, 5000.0, 5000)
    restored = finish_stop(start_stop(return_step.record), 0)
    assert (return_step.vm_id, restored.pool, restored.lent_from) == (
        "b-spare",
        "spare",
        None,
    )


def test_loan_respects_the_budget_of_the_spare_pool():
    vms_a = {"a-spare": VmRecord("spare", "r", "x"), "a-p": VmRecord("p", "r", "x")}
    lender = Lender(POLICY, 0.0)
    loan_step(snapshot(vms_a, {}, 30), lender, 0.0, 0)
    assert loan_step(snapshot(vms_a, {}, 30), lender, 1000.0, 1000) is None

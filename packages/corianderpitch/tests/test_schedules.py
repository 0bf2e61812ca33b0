"""Schedules of the waves that the fleet file plans."""

import dataclasses

import pytest
from fakes import BASE_FLEET
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.fleetfile import FleetConfig, check_fleet
from corianderpitch.domain.manager import SiteSnapshot, Snapshot
from corianderpitch.domain.schedules import (
    BATCH_WINDOW_MS,
    DAY_MS,
    MAX_WAVE_VMS,
    MAX_WAVES_PER_PLAN,
    due_wave,
)
from corianderpitch.domain.vms import OperationKind, SiteFleet, VmRecord, VmState
from corianderpitch.domain.waves import WaveState, WaveVmState

PERIOD_MS = 42 * DAY_MS
NOW_MS = 100 * DAY_MS
UPKEEP = '[waves.upkeep]\nkind = "reboot"\nperiod_days = 42\nmax_concurrent = 2\n'
ONCE = '[waves.once]\nkind = "retire"\npools = ["p"]\n'
RECORD = VmRecord("p", "rack", "addr", first_seen_ms=NOW_MS - PERIOD_MS)


def snapshot(text, vms, waves=()):
    config = check_fleet(BASE_FLEET + text, {})
    assert isinstance(config, FleetConfig), config
    sites = {"a": SiteSnapshot(SiteFleet(vms), 1, frozenset())}
    return Snapshot(config.base, sites, {wave.name: wave for wave in waves}, {})


def ended(start, state=WaveState.DONE):
    steps = dict.fromkeys(start.wave.steps, WaveVmState.DONE)
    return dataclasses.replace(start.wave, steps=steps, state=state)


def test_vm_is_due_one_period_after_it_was_maintained_or_first_seen():
    vms = {
        "seen": RECORD,
        "maintained": dataclasses.replace(RECORD, last_maintained_ms=NOW_MS - DAY_MS),
        "soon": dataclasses.replace(RECORD, first_seen_ms=RECORD.first_seen_ms + 1),
        "drained": dataclasses.replace(RECORD, state=VmState.DRAINED),
    }
    start = due_wave(snapshot(UPKEEP, vms), NOW_MS)
    assert start.wave.name == "upkeep-19700411-000000"
    assert (start.wave.kind, start.wave.max_concurrent) == (OperationKind.REBOOT, 2)
    assert list(start.wave.steps) == ["seen", "soon"]
    early_ms = NOW_MS - BATCH_WINDOW_MS - 1
    assert due_wave(snapshot(UPKEEP, vms), early_ms) is None


@pytest.mark.parametrize("state", [s for s in WaveState if s is not WaveState.DONE])
def test_plan_starts_no_wave_unless_its_earlier_wave_is_done(state):
    fleet = {"vm": RECORD}
    start = due_wave(snapshot(UPKEEP, fleet), NOW_MS)
    earlier = ended(start, state)
    assert due_wave(snapshot(UPKEEP, fleet, [earlier]), NOW_MS + DAY_MS) is None
    finished = ended(start)
    later = due_wave(snapshot(UPKEEP, fleet, [finished]), NOW_MS + DAY_MS)
    assert later.wave.name != start.wave.name


def test_plan_without_a_period_runs_once():
    fleet = {"vm": RECORD, "other": dataclasses.replace(RECORD, pool="q")}
    start = due_wave(snapshot(ONCE, fleet), NOW_MS)
    assert (start.wave.name, list(start.wave.steps)) == ("once", ["vm"])
    for state in WaveState:
        later_snapshot = snapshot(ONCE, fleet, [ended(start, state)])
        assert due_wave(later_snapshot, NOW_MS + PERIOD_MS) is None


def test_wave_of_an_operator_does_not_count_for_a_plan():
    start = due_wave(snapshot(UPKEEP, {"vm": RECORD}), NOW_MS)
    operator_wave = dataclasses.replace(start.wave, plan=None)
    assert (
        due_wave(snapshot(UPKEEP, {"vm": RECORD}, [operator_wave]), NOW_MS) is not None
    )


def test_wave_includes_the_earliest_due_up_to_its_limit():
    vms = {
        f"vm{n}": dataclasses.replace(RECORD, first_seen_ms=n)
        for n in reversed(range(MAX_WAVE_VMS + 10))
    }
    vm_ids = list(due_wave(snapshot(UPKEEP, vms), NOW_MS).wave.steps)
    assert vm_ids == [f"vm{n}" for n in range(MAX_WAVE_VMS)]


@given(st.lists(st.integers(0, 60), min_size=1, max_size=8), st.integers(1, 60))
def test_every_vm_is_maintained_within_its_period_and_a_day(first_days, period):
    """The manager plans once a day, and every wave completes immediately."""
    text = UPKEEP.replace("42", str(period))
    vms = {
        f"vm{n}": dataclasses.replace(RECORD, first_seen_ms=(100 + day) * DAY_MS)
        for n, day in enumerate(first_days)
    }
    waves = []
    for day in range(160, 300):
        now_ms = day * DAY_MS
        start = due_wave(snapshot(text, vms, waves), now_ms)
        if start is not None:
            for vm_id in start.wave.steps:
                vms[vm_id] = dataclasses.replace(vms[vm_id], last_maintained_ms=now_ms)
            waves = [w for w in waves if w.name not in start.dropped]
            waves.append(ended(start))
        assert len(waves) <= MAX_WAVES_PER_PLAN
        since_ms = [max(v.last_maintained_ms, v.first_seen_ms) for v in vms.values()]
        assert now_ms - min(since_ms) <= period * DAY_MS


@pytest.mark.parametrize(
    "text, detail",
    [
        (ONCE.replace('"p"', '"x"'), "no pool is named x"),
        ('[waves.w]\nkind = "move"\n', "needs a target_pool"),
        ('[waves.w]\nkind = "reboot"\ntarget_pool = "p"\n', "only a wave that moves"),
        ('[waves.w]\nkind = "drain"\n', "cannot leave VMs drained"),
        ('[waves.w]\nkind = "retire"\nperiod_days = 1\n', "only a reboot"),
        ('[waves.w]\nkind = "reboot"\nperiod_day = 1\n', "did you mean period_days"),
        ('[waves.w]\nkind = "mend"\n', "'reboot'"),
    ],
)
def test_invalid_plan_is_reported_with_its_path(text, detail):
    [problem] = check_fleet(BASE_FLEET + text, {})
    assert problem.path.startswith("waves.")
    assert detail in problem.detail

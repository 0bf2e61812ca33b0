"""The slot ledger grants no slot that an instance may still be using."""

from corianderpitch.domain.slots import (
    EXPIRY_GRACE_MS,
    PROBE_MAX_PAUSE_MS,
    PROBE_TIMEOUT_MS,
    START_MARGIN_MS,
    InstanceSpec,
    RunResult,
    SlotLedger,
)


def ledger_with(slots=2, running=0):
    ledger = SlotLedger()
    ledger.update_instances([InstanceSpec("vm", "a:1", slots, True)])
    ledger.start_probes(0.0)
    ledger.record_load("vm", running, False, 0.0)
    return ledger


def test_new_instance_is_granted_nothing_before_its_load_is_known():
    ledger = SlotLedger()
    ledger.update_instances([InstanceSpec("vm", "a:1", 2, True)])
    assert ledger.grant("p", "m", 0.0, 100.0) is None


def test_permit_granted_just_before_a_probe_does_not_hide_other_work():
    ledger = ledger_with(slots=3, running=1)
    ledger.grant("fresh", "m", 100.0, 1000.0)
    ledger.start_probes(100.0 + START_MARGIN_MS / 2)
    ledger.record_load("vm", 1, False, 150.0)
    assert ledger.free_slots(200.0) == 1


def test_slot_of_an_expired_permit_is_unknown_until_the_instance_reports():
    ledger = ledger_with(slots=1)
    ledger.grant("p", "m", 0.0, 100.0)
    assert ledger.expire(100.0 + EXPIRY_GRACE_MS) == ["p"]
    assert ledger.free_slots(1000.0) == 0
    ledger.start_probes(1000.0)
    ledger.record_load("vm", 0, False, 1000.0)
    assert ledger.free_slots(1000.0) == 1


def test_instance_that_refuses_as_leaving_is_granted_nothing_more():
    ledger = ledger_with()
    ledger.grant("p", "m", 0.0, 100.0)
    ledger.release("p", RunResult.LEAVING, 1.0)
    assert ledger.free_slots(2.0) == 0


def test_instance_that_does_not_answer_is_unavailable_until_it_does():
    ledger = ledger_with()
    ledger.record_unreachable("vm", 100.0)
    assert ledger.unavailable_vms(150.0) == ["vm"]
    assert ledger.free_slots(150.0) == 0
    ledger.start_probes(400.0)
    ledger.record_load("vm", 0, False, 400.0)
    assert ledger.free_slots(400.0) == 2


def test_excluded_instance_is_the_last_choice():
    ledger = SlotLedger()
    specs = [InstanceSpec(vm, vm, 1, True) for vm in ("vm1", "vm2")]
    ledger.update_instances(specs)
    for vm in ("vm1", "vm2"):
        ledger.record_load(vm, 0, False, 0.0)
    chosen = [
        ledger.grant(f"p{n}", "m", 0.0, 100.0, frozenset({"vm1"})).vm_id
        for n in range(2)
    ]
    assert chosen == ["vm2", "vm1"]


def probes_of(ledger, start_ms, end_ms, answer):
    """Advance the time in steps of 10 ms; return when probes were sent."""
    sent = []
    now_ms = start_ms
    while now_ms < end_ms:
        for _ in ledger.start_probes(now_ms):
            sent.append(now_ms)
            answer(now_ms)
        now_ms += 10.0
    return sent


def test_instance_without_answers_is_probed_less_often_and_stays_unavailable():
    ledger = ledger_with()
    ledger.record_unreachable("vm", 0.0)
    sent = probes_of(
        ledger, 0.0, 60_000.0, lambda t: ledger.record_unreachable("vm", t)
    )
    assert len(sent) < 40
    pauses = [later - earlier for earlier, later in zip(sent, sent[1:], strict=False)]
    assert max(pauses) <= PROBE_MAX_PAUSE_MS + 10.0
    assert all(ledger.unavailable_vms(t) == ["vm"] for t in range(10, 62_000, 10))


def test_instance_that_answers_again_has_free_slots_and_is_probed_often():
    ledger = ledger_with()
    probes_of(ledger, 0.0, 30_000.0, lambda t: ledger.record_unreachable("vm", t))
    ledger.record_unreachable("vm", 30_000.0)
    ledger.record_load("vm", 1, False, 33_000.0)
    assert ledger.free_slots(33_000.0) == 1
    sent = probes_of(
        ledger, 33_000.0, 34_000.0, lambda t: ledger.record_load("vm", 1, False, t)
    )
    assert len(sent) >= 15


def test_vm_that_is_reopened_after_maintenance_is_probed_at_once():
    ledger = ledger_with()
    ledger.update_instances([InstanceSpec("vm", "a:1", 2, False)])
    ledger.record_unreachable("vm", 0.0)
    probes_of(ledger, 0.0, 30_000.0, lambda t: ledger.record_unreachable("vm", t))
    ledger.update_instances([InstanceSpec("vm", "a:1", 2, True)])
    assert len(ledger.start_probes(30_000.0)) == 1


def test_instance_has_one_probe_under_way_until_the_probe_times_out():
    ledger = SlotLedger()
    ledger.update_instances([InstanceSpec("vm", "a:1", 2, True)])
    assert len(ledger.start_probes(0.0)) == 1
    assert ledger.start_probes(PROBE_TIMEOUT_MS / 2) == []
    assert len(ledger.start_probes(PROBE_TIMEOUT_MS)) == 1

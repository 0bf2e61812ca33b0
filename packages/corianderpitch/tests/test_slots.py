from corianderpitch.domain.slots import (
    EXPIRY_GRACE_MS,
    START_MARGIN_MS,
    InstanceSpec,
    RunResult,
    SlotLedger,
)


def ledger_with(slots=2, running=0):
    ledger = SlotLedger()
    ledger.update_instances([InstanceSpec("vm", "a:1", slots, True)])
    ledger.start_probes(0.0, 50.0)
    ledger.record_load("vm", running, False)
    return ledger


def test_new_instance_gets_no_work_before_its_load_is_known():
    ledger = SlotLedger()
    ledger.update_instances([InstanceSpec("vm", "a:1", 2, True)])
    assert ledger.grant("p", "m", 0.0, 100.0) is None


def test_permit_granted_just_before_a_probe_does_not_hide_other_work():
    ledger = ledger_with(slots=3, running=1)
    ledger.grant("fresh", "m", 100.0, 1000.0)
    ledger.start_probes(100.0 + START_MARGIN_MS / 2, 50.0)
    ledger.record_load("vm", 1, False)
    assert ledger.free_slots(200.0) == 1


def test_permit_whose_holder_vanished_is_unknown_until_the_instance_reports():
    ledger = ledger_with(slots=1)
    ledger.grant("p", "m", 0.0, 100.0)
    assert ledger.expire(100.0 + EXPIRY_GRACE_MS) == ["p"]
    assert ledger.free_slots(1000.0) == 0
    ledger.start_probes(1000.0, 50.0)
    ledger.record_load("vm", 0, False)
    assert ledger.free_slots(1000.0) == 1


def test_instance_that_refuses_as_leaving_gets_no_more_work():
    ledger = ledger_with()
    ledger.grant("p", "m", 0.0, 100.0)
    ledger.release("p", RunResult.LEAVING, 1.0)
    assert ledger.free_slots(2.0) == 0


def test_instance_that_does_not_answer_is_unavailable_until_it_does():
    ledger = ledger_with()
    ledger.record_unreachable("vm", 100.0)
    assert ledger.unavailable_vms(150.0) == ["vm"]
    assert ledger.free_slots(150.0) == 0
    ledger.start_probes(400.0, 50.0)
    ledger.record_load("vm", 0, False)
    assert ledger.free_slots(400.0) == 2


def test_excluded_instance_is_the_last_choice():
    ledger = SlotLedger()
    specs = [InstanceSpec(vm, vm, 1, True) for vm in ("vm1", "vm2")]
    ledger.update_instances(specs)
    for vm in ("vm1", "vm2"):
        ledger.record_load(vm, 0, False)
    chosen = [
        ledger.grant(f"p{n}", "m", 0.0, 100.0, frozenset({"vm1"})).vm_id
        for n in range(2)
    ]
    assert chosen == ["vm2", "vm1"]

"""Tests of drains, moves and reboots of VMs under load and failures."""

import threading
import time

import pytest
from fleets import (
    all_vms_active,
    base_text,
    check_guarantees,
    interrupted_runs,
    start_fleet,
    start_load,
)

from corianderpitch.daemon.managers import WAVE_SCHEDULE_INTERVAL_MS
from corianderpitch_standins.localfleet import wait_until

SITES = ("a", "b")


@pytest.fixture
def fleet():
    fleet = start_fleet(SITES, min_available=3)
    yield fleet
    fleet.close()


def request_vm_operation(fleet, vm_id, action, operation_id="op", pool=None):
    body = {"operation_id": operation_id, "target_pool": pool}
    return fleet.send_operator_request(f"/v1/vms/{vm_id}/{action}", body)


def vm_state(fleet, vm_id):
    record = fleet.vm_records().get(vm_id)
    return record["state"] if record else None


def start_wave(fleet, name="wave", max_concurrent=4, **selectors):
    body = {
        "name": name,
        "kind": "reboot",
        "max_concurrent": max_concurrent,
    } | selectors
    return fleet.send_operator_request("/v1/waves", body)


def wave_state(fleet, name="wave"):
    wave = fleet.send_operator_request(f"/v1/waves/{name}")
    return wave["state"] if wave else None


def current_manager(fleet):
    status = fleet.send_operator_request("/v1/status") or {"entries": []}
    manager_names = [e["entry"] for e in status["entries"] if e["is_manager"]]
    return fleet.entries[manager_names[0]] if manager_names else None


def status_seen_by(fleet, entry):
    status = fleet.send_operator_request("/v1/status", entry=entry)
    return {e["entry"]: e for e in status["entries"]}


def has_lost_the_platform(fleet, entry):
    return status_seen_by(fleet, entry)[entry.name]["platform_age_ms"] > 2500.0


def managers_seen_by(fleet, entry):
    return [e for e in status_seen_by(fleet, entry).values() if e["is_manager"]]


class ActiveVmSampler:
    """Samples the number of active VMs of each pool until it is stopped.

    ``min_active`` holds the smallest number seen of each pool.
    """

    def __init__(self, fleet):
        self.min_active = {}
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def _sample(self):
        while not self._stop.is_set():
            records = self._fleet.vm_records().values()
            for pool in {r["pool"] for r in records}:
                active = sum(
                    1 for r in records if r["pool"] == pool and r["state"] == "active"
                )
                self.min_active[pool] = min(active, self.min_active.get(pool, active))
            time.sleep(0.05)

    def stop(self):
        self._stop.set()
        self._thread.join()
        return self.min_active


def test_drained_vm_gets_no_new_work_within_two_seconds(fleet):
    callers = start_load(fleet, pause_ms=2.0)
    time.sleep(0.5)
    accepted_s = time.monotonic()
    request_vm_operation(fleet, "s1-a-0", "drain")
    wait_until(lambda: vm_state(fleet, "s1-a-0") == "drained", 10.0, "drained")
    assert time.monotonic() - accepted_s < 2.0
    before = fleet.instance_report("s1-a-0")["started"]
    time.sleep(1.0)
    assert fleet.instance_report("s1-a-0")["started"] == before
    request_vm_operation(fleet, "s1-a-0", "return")
    wait_until(
        lambda: fleet.instance_report("s1-a-0")["started"] > before,
        5.0,
        "new work after the return",
    )
    check_guarantees(fleet, callers.stop())


def test_reboot_and_move_interrupt_no_run(fleet):
    callers = start_load(fleet, run_ms=200.0, pause_ms=2.0)
    time.sleep(0.5)
    request_vm_operation(fleet, "s1-a-0", "reboot", "op1")
    request_vm_operation(fleet, "s2-b-0", "move", "op2", pool="s1")
    wait_until(
        lambda: (
            fleet.vm_records()["s2-b-0"]["pool"] == "s1"
            and vm_state(fleet, "s2-b-0") == "active"
        ),
        15.0,
        "moved",
    )
    wait_until(lambda: vm_state(fleet, "s1-a-0") == "active", 10.0, "rebooted")
    verdict = check_guarantees(fleet, callers.stop())
    assert interrupted_runs(fleet) == 0
    assert verdict.outcomes["unknown"] == 0
    performed = fleet.platform_counts()["performed"]
    assert performed == {"op1": 1, "op2": 1}


def test_wave_survives_the_death_of_its_manager_and_reboots_each_vm_once(fleet):
    callers = start_load(fleet, run_ms=50.0)
    sampler = ActiveVmSampler(fleet)
    start_wave(fleet)
    wait_until(lambda: fleet.platform_counts()["performed"], 10.0, "a first reboot")
    current_manager(fleet).process.kill()
    wait_until(lambda: wave_state(fleet) == "done", 40.0, "the wave's end")
    verdict = check_guarantees(fleet, callers.stop())
    min_active = sampler.stop()
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"wave:{vm}": 1 for vm in fleet.vms}
    assert all(count >= 3 for count in min_active.values()), min_active
    assert interrupted_runs(fleet) == 0
    assert verdict.outcomes["answered"] > 0.95 * sum(verdict.outcomes.values())


def test_configured_wave_starts_automatically_and_once(fleet):
    callers = start_load(fleet, run_ms=50.0)
    sampler = ActiveVmSampler(fleet)
    plan = '[waves.upkeep]\nkind = "reboot"\npools = ["s1"]\nmax_concurrent = 2\n'
    fleet.apply_config(base_text("ab", 3) + plan, 1, "plan")
    wait_until(lambda: wave_state(fleet, "upkeep") == "done", 60.0, "the wave's end")
    fleet.apply_config(base_text("ab", 3, default_timeout_ms=700) + plan, 2, "again")
    time.sleep(WAVE_SCHEDULE_INTERVAL_MS / 1000.0)
    check_guarantees(fleet, callers.stop())
    min_active = sampler.stop()
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"upkeep:{vm}": 1 for vm in fleet.vms if vm[:2] == "s1"}
    assert all(count >= 3 for count in min_active.values()), min_active
    assert interrupted_runs(fleet) == 0


def test_manager_paused_past_its_lease_changes_nothing_when_resumed(fleet):
    start_wave(fleet, max_concurrent=1)
    wait_until(lambda: fleet.platform_counts()["performed"], 10.0, "a first reboot")
    old_manager = current_manager(fleet)
    old_manager.process.pause()
    wait_until(lambda: wave_state(fleet) == "done", 60.0, "the wave's end")
    old_manager.process.resume()
    time.sleep(2.0)
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"wave:{vm}": 1 for vm in fleet.vms}
    assert interrupted_runs(fleet) == 0
    status = fleet.send_operator_request("/v1/status")
    manager_names = [e["entry"] for e in status["entries"] if e["is_manager"]]
    assert len(manager_names) == 1
    assert manager_names != [old_manager.name]


def test_lost_commit_replies_and_outages_neither_stop_nor_repeat_a_wave(fleet):
    start_wave(fleet)
    for _ in range(6):
        fleet.control_platform(lose_answers=2)
        time.sleep(0.5)
        fleet.control_platform(is_down=True)
        time.sleep(0.3)
        fleet.control_platform(is_down=False)
    wait_until(lambda: wave_state(fleet) == "done", 60.0, "the wave's end")
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"wave:{vm}": 1 for vm in fleet.vms}
    assert interrupted_runs(fleet) == 0


def test_vm_of_an_unreachable_data_centre_is_not_rebooted(fleet):
    fleet.set_rules(*fleet.site_partition_rules("b"))
    time.sleep(4.0)
    request_vm_operation(fleet, "s1-b-0", "reboot")
    wait_until(
        lambda: fleet.vm_records()["s1-b-0"]["wait"] in ("cut_off", "budget"),
        15.0,
        "the reason is shown",
    )
    time.sleep(1.0)
    assert fleet.platform_counts()["performed"] == {}
    assert vm_state(fleet, "s1-b-0") == "active"
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 30.0, "the reboot")
    wait_until(lambda: vm_state(fleet, "s1-b-0") == "active", 10.0, "active")


def test_manager_of_an_unreachable_data_centre_is_replaced(fleet):
    """Guards against a second manager and against reboots in an isolated data centre.

    An entry of the other data centre becomes manager. A VM of the isolated data
    centre waits for its reboot, and the old manager isn't manager again once the
    partition ends.
    """
    old_manager = current_manager(fleet)
    other = "b" if old_manager.data_center == "a" else "a"
    fleet.set_rules(*fleet.site_partition_rules(old_manager.data_center))
    wait_until(lambda: has_lost_the_platform(fleet, old_manager), 10.0, "the partition")
    request_vm_operation(fleet, f"s1-{old_manager.data_center}-0", "reboot")
    remote_entry = fleet.entries[f"{other}0"]
    wait_until(lambda: managers_seen_by(fleet, remote_entry), 15.0, "a new manager")
    wait_until(
        lambda: not managers_seen_by(fleet, old_manager),
        10.0,
        "the old manager steps down",
    )
    wait_until(
        lambda: (
            fleet.vm_records()[f"s1-{old_manager.data_center}-0"]["wait"] == "cut_off"
        ),
        10.0,
        "the reason is shown",
    )
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 30.0, "the reboot")
    wait_until(
        lambda: len(managers_seen_by(fleet, old_manager)) == 1, 10.0, "one manager"
    )
    assert current_manager(fleet).data_center == other


def test_failed_vm_blocks_a_wave_until_it_recovers(fleet):
    fleet.set_listed_status("s1-a-1", "failed")
    wait_until(lambda: vm_state(fleet, "s1-a-1") == "failed", 10.0, "failed")
    start_wave(fleet, pools=["s1"])
    time.sleep(2.0)
    assert fleet.platform_counts()["performed"] == {}
    fleet.set_listed_status("s1-a-1", "live")
    wait_until(lambda: wave_state(fleet) == "done", 40.0, "the wave's end")


def test_vm_that_stops_answering_counts_as_unavailable(fleet):
    """Guards against reboots beyond the budget while a VM doesn't reply to requests.

    The platform still lists the VM as live; only the entries' requests to it fail.
    """
    callers = start_load(fleet, timeout_ms=400)
    vm = fleet.vms["s1-a-1"]
    rule = {"source": "", "maps": [vm.map_number], "mode": "cut"}
    fleet.set_rules(rule)
    time.sleep(1.5)
    request_vm_operation(fleet, "s1-b-0", "reboot")
    time.sleep(2.0)
    assert fleet.platform_counts()["performed"] == {}
    assert fleet.vm_records()["s1-b-0"]["wait"] == "budget"
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 20.0, "the reboot")
    check_guarantees(fleet, callers.stop())


def test_rebooting_every_vm_of_a_pool_at_once_keeps_the_budget(fleet):
    """Guards against an exceeded budget when operators ask for many reboots at once.

    Operators' requests aren't limited to one rack at a time, unlike waves.
    """
    fleet.control_platform(action_ms=400)
    sampler = ActiveVmSampler(fleet)
    pool = [vm_id for vm_id in fleet.vms if vm_id.startswith("s1")]
    for vm_id in pool:
        request_vm_operation(fleet, vm_id, "reboot", f"all:{vm_id}")
    wait_until(
        lambda: (
            len(fleet.platform_counts()["performed"]) == len(pool)
            and all_vms_active(fleet)
        ),
        40.0,
        "every reboot",
    )
    assert sampler.stop()["s1"] == 3


def test_concurrent_operators_get_one_operation_per_vm(fleet):
    """Guards against two operations on a VM by concurrent requests.

    Eight operators ask for a reboot of the same VM through different entries.
    """
    entries = list(fleet.entries.values()) * 2

    def ask(index):
        url = f"{entries[index].operator_url}/v1/vms/s1-a-0/reboot"
        body = {"operation_id": f"race{index}"}
        statuses.append(fleet.http.request("POST", url, json=body).status)

    statuses = []
    threads = [threading.Thread(target=ask, args=(i,)) for i in range(len(entries))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses.count(200) >= 1
    assert set(statuses) <= {200, 409}
    wait_until(lambda: fleet.platform_counts()["performed"], 10.0, "the reboot")
    wait_until(lambda: vm_state(fleet, "s1-a-0") == "active", 10.0, "active")
    performed = fleet.platform_counts()["performed"]
    assert len(performed) == statuses.count(200)


def test_spare_vms_are_lent_under_load_and_returned():
    """Guards against loans that interrupt runs or break the lender's budget.

    No run is interrupted when a VM is lent or returned.
    """
    with start_fleet(SITES, min_available=2, spare="s2") as fleet:
        callers = start_load(fleet, threads=48, run_ms=150.0, pause_ms=0.0)
        callers.services[:] = ["s1"]
        wait_until(
            lambda: any(r["lent_from"] == "s2" for r in fleet.vm_records().values()),
            20.0,
            "a loan",
        )
        time.sleep(2.0)
        spare = [r for r in fleet.vm_records().values() if r["pool"] == "s2"]
        assert len(spare) >= 2
        verdict = check_guarantees(fleet, callers.stop())
        assert verdict.outcomes["unknown"] == 0
        wait_until(
            lambda: (
                all(r["lent_from"] is None for r in fleet.vm_records().values())
                and all_vms_active(fleet)
            ),
            40.0,
            "every VM is returned",
        )
        assert interrupted_runs(fleet) == 0

"""VMs are drained, moved and rebooted in waves under load and failures."""

import threading
import time

import pytest
from fleets import all_active, base_text, cut_off, load, start_fleet, verdict

from corianderpitch.daemon.managers import WAVE_SCHEDULE_INTERVAL_MS
from corianderpitch_standins.localfleet import wait_until

SITES = ("a", "b")


@pytest.fixture
def fleet():
    fleet = start_fleet(SITES, min_available=3)
    yield fleet
    fleet.close()


def ask_vm(fleet, vm_id, verb, operation_id="op", pool=None):
    body = {"operation_id": operation_id, "target_pool": pool}
    return fleet.ask_operator(f"/v1/vms/{vm_id}/{verb}", body)


def state_of(fleet, vm_id):
    record = fleet.vm_records().get(vm_id)
    return record["state"] if record else None


def start_wave(fleet, name="wave", concurrent=4, **selectors):
    body = {"name": name, "kind": "reboot", "max_concurrent": concurrent} | selectors
    return fleet.ask_operator("/v1/waves", body)


def wave_state(fleet, name="wave"):
    wave = fleet.ask_operator(f"/v1/waves/{name}")
    return wave["state"] if wave else None


def manager_of(fleet):
    status = fleet.ask_operator("/v1/status") or {"entries": []}
    holders = [e["entry"] for e in status["entries"] if e["is_manager"]]
    return fleet.entries[holders[0]] if holders else None


def status_by(fleet, entry):
    status = fleet.ask_operator("/v1/status", entry=entry)
    return {e["entry"]: e for e in status["entries"]}


def has_lost_the_platform(fleet, entry):
    return status_by(fleet, entry)[entry.name]["platform_age_ms"] > 2500.0


def managers_by(fleet, entry):
    return [e for e in status_by(fleet, entry).values() if e["is_manager"]]


class BudgetWatch:
    """Samples how many VMs of each pool are active, until stopped."""

    def __init__(self, fleet):
        self.lowest = {}
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._stop.is_set():
            records = self._fleet.vm_records().values()
            for pool in {r["pool"] for r in records}:
                active = sum(
                    1 for r in records if r["pool"] == pool and r["state"] == "active"
                )
                self.lowest[pool] = min(active, self.lowest.get(pool, active))
            time.sleep(0.05)

    def stop(self):
        self._stop.set()
        self._thread.join()
        return self.lowest


def test_drained_vm_gets_no_new_work_within_two_seconds(fleet):
    callers = load(fleet, pause_ms=2.0)
    time.sleep(0.5)
    accepted_s = time.monotonic()
    ask_vm(fleet, "s1-a-0", "drain")
    wait_until(lambda: state_of(fleet, "s1-a-0") == "drained", 10.0, "drained")
    assert time.monotonic() - accepted_s < 2.0
    before = fleet.vm_log("s1-a-0")["started"]
    time.sleep(1.0)
    assert fleet.vm_log("s1-a-0")["started"] == before
    ask_vm(fleet, "s1-a-0", "return")
    wait_until(lambda: fleet.vm_log("s1-a-0")["started"] > before, 5.0, "work again")
    verdict(fleet, callers.stop())


def test_reboot_and_move_cut_nothing_off(fleet):
    callers = load(fleet, run_ms=200.0, pause_ms=2.0)
    time.sleep(0.5)
    ask_vm(fleet, "s1-a-0", "reboot", "op1")
    ask_vm(fleet, "s2-b-0", "move", "op2", pool="s1")
    wait_until(
        lambda: (
            fleet.vm_records()["s2-b-0"]["pool"] == "s1"
            and state_of(fleet, "s2-b-0") == "active"
        ),
        15.0,
        "moved",
    )
    wait_until(lambda: state_of(fleet, "s1-a-0") == "active", 10.0, "rebooted")
    found = verdict(fleet, callers.stop())
    assert cut_off(fleet) == 0
    assert found.outcomes["unknown"] == 0
    performed = fleet.platform_counts()["performed"]
    assert performed == {"op1": 1, "op2": 1}


def test_wave_survives_the_death_of_its_manager_and_reboots_each_vm_once(fleet):
    callers = load(fleet, run_ms=50.0)
    watch = BudgetWatch(fleet)
    start_wave(fleet)
    wait_until(lambda: fleet.platform_counts()["performed"], 10.0, "a first reboot")
    manager_of(fleet).process.kill()
    wait_until(lambda: wave_state(fleet) == "done", 40.0, "the wave's end")
    found = verdict(fleet, callers.stop())
    lowest = watch.stop()
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"wave:{vm}": 1 for vm in fleet.vms}
    assert all(count >= 3 for count in lowest.values()), lowest
    assert cut_off(fleet) == 0
    assert found.outcomes["answered"] > 0.95 * sum(found.outcomes.values())


def test_wave_of_the_fleet_file_starts_by_itself_and_once(fleet):
    callers = load(fleet, run_ms=50.0)
    watch = BudgetWatch(fleet)
    plan = '[waves.upkeep]\nkind = "reboot"\npools = ["s1"]\nmax_concurrent = 2\n'
    fleet.apply_config(base_text("ab", 3) + plan, 1, "plan")
    wait_until(lambda: wave_state(fleet, "upkeep") == "done", 60.0, "the wave's end")
    fleet.apply_config(base_text("ab", 3, default_timeout_ms=700) + plan, 2, "again")
    time.sleep(WAVE_SCHEDULE_INTERVAL_MS / 1000.0)
    verdict(fleet, callers.stop())
    lowest = watch.stop()
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"upkeep:{vm}": 1 for vm in fleet.vms if vm[:2] == "s1"}
    assert all(count >= 3 for count in lowest.values()), lowest
    assert cut_off(fleet) == 0


def test_manager_frozen_past_its_lease_changes_nothing_when_it_wakes(fleet):
    start_wave(fleet, concurrent=1)
    wait_until(lambda: fleet.platform_counts()["performed"], 10.0, "a first reboot")
    old = manager_of(fleet)
    old.process.pause()
    wait_until(lambda: wave_state(fleet) == "done", 60.0, "the wave's end")
    old.process.resume()
    time.sleep(2.0)
    performed = fleet.platform_counts()["performed"]
    assert performed == {f"wave:{vm}": 1 for vm in fleet.vms}
    assert cut_off(fleet) == 0
    status = fleet.ask_operator("/v1/status")
    holders = [e["entry"] for e in status["entries"] if e["is_manager"]]
    assert len(holders) == 1
    assert holders != [old.name]


def test_lost_table_answers_and_outages_do_not_stop_or_double_a_wave(fleet):
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
    assert cut_off(fleet) == 0


def test_vm_of_a_cut_off_data_centre_waits(fleet):
    fleet.set_rules(*fleet.cut_site("b"))
    time.sleep(4.0)
    ask_vm(fleet, "s1-b-0", "reboot")
    wait_until(
        lambda: fleet.vm_records()["s1-b-0"]["wait"] in ("cut_off", "budget"),
        15.0,
        "the reason is shown",
    )
    time.sleep(1.0)
    assert fleet.platform_counts()["performed"] == {}
    assert state_of(fleet, "s1-b-0") == "active"
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 30.0, "the reboot")
    wait_until(lambda: state_of(fleet, "s1-b-0") == "active", 10.0, "active")


def test_manager_of_a_cut_off_data_centre_is_replaced(fleet):
    """The others go on; the old manager's VMs wait, and it wakes as nobody."""
    old = manager_of(fleet)
    other = "b" if old.data_center == "a" else "a"
    fleet.set_rules(*fleet.cut_site(old.data_center))
    wait_until(lambda: has_lost_the_platform(fleet, old), 10.0, "the cut")
    ask_vm(fleet, f"s1-{old.data_center}-0", "reboot")
    seen_there = fleet.entries[f"{other}0"]
    wait_until(lambda: managers_by(fleet, seen_there), 15.0, "a new manager")
    wait_until(lambda: not managers_by(fleet, old), 10.0, "the old one gives up")
    wait_until(
        lambda: fleet.vm_records()[f"s1-{old.data_center}-0"]["wait"] == "cut_off",
        10.0,
        "the reason is shown",
    )
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 30.0, "the reboot")
    wait_until(lambda: len(managers_by(fleet, old)) == 1, 10.0, "one manager")
    assert manager_of(fleet).data_center == other


def test_failed_vm_holds_a_wave_until_it_is_back(fleet):
    fleet.list_vm("s1-a-1", "failed")
    wait_until(lambda: state_of(fleet, "s1-a-1") == "failed", 10.0, "failed")
    start_wave(fleet, pools=["s1"])
    time.sleep(2.0)
    assert fleet.platform_counts()["performed"] == {}
    fleet.list_vm("s1-a-1", "live")
    wait_until(lambda: wave_state(fleet) == "done", 40.0, "the wave's end")


def test_vm_that_stops_answering_counts_as_unavailable(fleet):
    """The budget is spent by a VM that only its callers know to be silent."""
    callers = load(fleet, timeout_ms=400)
    vm = fleet.vms["s1-a-1"]
    rule = {"source": "", "maps": [vm.map_number], "mode": "cut"}
    fleet.set_rules(rule)
    time.sleep(1.5)
    ask_vm(fleet, "s1-b-0", "reboot")
    time.sleep(2.0)
    assert fleet.platform_counts()["performed"] == {}
    assert fleet.vm_records()["s1-b-0"]["wait"] == "budget"
    fleet.set_rules()
    wait_until(lambda: fleet.platform_counts()["performed"], 20.0, "the reboot")
    verdict(fleet, callers.stop())


def test_asking_for_every_vm_at_once_does_not_break_the_budget(fleet):
    """Operators are not held to one rack at a time, only to the budget."""
    fleet.control_platform(action_ms=400)
    watch = BudgetWatch(fleet)
    pool = [vm_id for vm_id in fleet.vms if vm_id.startswith("s1")]
    for vm_id in pool:
        ask_vm(fleet, vm_id, "reboot", f"all:{vm_id}")
    wait_until(
        lambda: (
            len(fleet.platform_counts()["performed"]) == len(pool) and all_active(fleet)
        ),
        40.0,
        "every reboot",
    )
    assert watch.stop()["s1"] == 3


def test_racing_operators_get_one_operation_each_vm(fleet):
    """Eight operators ask for the same VM through different entries."""
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
    wait_until(lambda: state_of(fleet, "s1-a-0") == "active", 10.0, "active")
    performed = fleet.platform_counts()["performed"]
    assert len(performed) == statuses.count(200)


def test_spare_vms_are_lent_under_pressure_and_returned():
    """A lent VM cuts nothing off on either way, and the spare budget holds."""
    with start_fleet(SITES, min_available=2, spare="s2") as fleet:
        callers = load(fleet, threads=48, run_ms=150.0, pause_ms=0.0)
        callers.services[:] = ["s1"]
        wait_until(
            lambda: any(r["lent_from"] == "s2" for r in fleet.vm_records().values()),
            20.0,
            "a loan",
        )
        time.sleep(2.0)
        spare = [r for r in fleet.vm_records().values() if r["pool"] == "s2"]
        assert len(spare) >= 2
        found = verdict(fleet, callers.stop())
        assert found.outcomes["unknown"] == 0
        wait_until(
            lambda: (
                all(r["lent_from"] is None for r in fleet.vm_records().values())
                and all_active(fleet)
            ),
            40.0,
            "every VM is home",
        )
        assert cut_off(fleet) == 0

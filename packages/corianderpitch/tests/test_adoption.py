"""Records follow the platform's lagging list."""

import pytest
from fakes import BASE

from corianderpitch.domain.adoption import MISSING_MS, ListAdopter, adopt_listed
from corianderpitch.domain.fleetfile import check_fleet
from corianderpitch.domain.manager import SiteSnapshot, SiteStep, Snapshot
from corianderpitch.domain.platform import ListedVm, VmStatus
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmState,
)

REBOOT = VmOperation("op", OperationKind.REBOOT)
SPARE = """
[pools.spare]
vm_processors = 1
vm_memory_mb = 1
is_spare = true
"""
CONFIG = check_fleet(BASE + SPARE, {}).base


def listed(vm_id, status, pool="p"):
    return ListedVm(vm_id, "a", "rack", pool, "addr", status)


def adopted(vms, *items, missing=()):
    site = SiteSnapshot(SiteFleet(vms), 1, frozenset())
    snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
    steps = list(adopt_listed(snapshot, items, frozenset(missing)))
    return dict(steps[0].fleet.vms) if steps else vms


def test_list_adds_new_vms_to_their_pool_or_the_spare_one():
    vms = adopted({}, listed("x", VmStatus.LIVE), listed("y", VmStatus.LIVE, "none"))
    assert vms["x"].pool == "p"
    assert vms["y"].pool == "spare"


def test_listed_failure_and_recovery():
    failed = adopted({"x": VmRecord("p", "r", "addr")}, listed("x", VmStatus.FAILED))
    assert failed["x"].state is VmState.FAILED
    again = adopted(failed, listed("x", VmStatus.LIVE))
    assert again["x"].state is VmState.ACTIVE


def test_lagging_list_does_not_disturb_a_running_stop():
    record = VmRecord("p", "r", "addr", VmState.STOPPING, REBOOT)
    assert adopted({"x": record}, listed("x", VmStatus.LIVE)) == {"x": record}
    assert adopted({"x": record}) == {"x": record}
    assert adopted({"x": record}, missing={"x"}) == {"x": record}


def test_vm_missing_from_the_lagging_list_fails_only_after_long():
    """A list that comes back empty must not take the fleet out of service."""
    record = VmRecord("p", "r", "addr")
    assert adopted({"x": record}) == {"x": record}
    failed = adopted({"x": record}, missing={"x"})
    assert failed["x"].state is VmState.FAILED


def test_vm_listed_as_leaving_gets_no_work_until_it_is_live_again():
    leaving = adopted({"x": VmRecord("p", "r", "a")}, listed("x", VmStatus.LEAVING))
    assert leaving["x"].state is VmState.LEAVING
    assert not leaving["x"].is_open
    back = adopted(leaving, listed("x", VmStatus.LIVE))
    assert back["x"].is_open


def test_site_step_is_only_made_for_a_difference():
    record = VmRecord("p", "rack", "addr")
    site = SiteSnapshot(SiteFleet({"x": record}), 1, frozenset())
    snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
    steps = list(adopt_listed(snapshot, [listed("x", VmStatus.LIVE)]))
    assert not any(isinstance(step, SiteStep) for step in steps)


class Followed:
    """The adopter over time, with the record of one VM."""

    def __init__(self):
        self.adopter = ListAdopter()
        self.vms = {"x": VmRecord("p", "rack", "addr")}
        self.version = 1

    def look(self, items, now_ms, is_committed=True):
        site = SiteSnapshot(SiteFleet(self.vms), self.version, frozenset())
        snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
        versions = {"fleet/a": self.version}
        steps = self.adopter.steps(snapshot, items, versions, now_ms, 0)
        if steps and is_committed:
            self.vms = dict(steps[0].fleet.vms)
            self.version += 1
        return steps


@pytest.fixture
def followed():
    return Followed()


def test_step_that_was_not_committed_is_made_again(followed):
    failed = [listed("x", VmStatus.FAILED)]
    assert followed.look(failed, 0.0, is_committed=False)
    assert followed.look(failed, 2000.0)
    assert followed.vms["x"].state is VmState.FAILED
    assert followed.look(failed, 4000.0) == []


def test_list_that_changes_and_changes_back_is_compared_each_time(followed):
    live, failed = [listed("x", VmStatus.LIVE)], [listed("x", VmStatus.FAILED)]
    states = []
    for number, items in enumerate([live, failed, failed, live, failed]):
        followed.look(items, 2000.0 * number)
        states.append(followed.vms["x"].state)
    wanted = [VmState.ACTIVE, VmState.FAILED, VmState.FAILED]
    assert states == [*wanted, VmState.ACTIVE, VmState.FAILED]


def test_record_changed_by_others_is_compared_with_an_unchanged_list(followed):
    leaving = [listed("x", VmStatus.LEAVING)]
    followed.look(leaving, 0.0)
    followed.vms = {"x": VmRecord("p", "rack", "addr")}
    followed.version += 1
    followed.look(leaving, 2000.0)
    assert followed.vms["x"].state is VmState.LEAVING


def test_vm_that_stays_missing_fails_although_nothing_else_changes(followed):
    times = [2000.0 * n for n in range(int(MISSING_MS / 2000.0) + 1)]
    for now_ms in times[:-1]:
        assert followed.look([], now_ms) == []
    assert followed.look([], times[-1])
    assert followed.vms["x"].state is VmState.FAILED


def test_vm_that_is_listed_again_starts_to_be_missing_anew(followed):
    live = [listed("x", VmStatus.LIVE)]
    followed.look([], 0.0)
    followed.look(live, MISSING_MS - 1.0)
    assert followed.look([], MISSING_MS + 1.0) == []

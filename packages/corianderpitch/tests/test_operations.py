"""Operators' requests that conflict, are invalid or lose their answers."""

from types import SimpleNamespace

import pytest
from fakes import BASE_FLEET, LossyTable
from returns.result import Success

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.configoperations import ConfigChange, ConfigOperations
from corianderpitch.daemon.fleetoperations import FleetOperations, WaveRequest
from corianderpitch.domain.fleetfile import check_fleet
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmRefusal,
    VmState,
)
from corianderpitch.domain.waves import WaveState
from corianderpitch.errors import (
    ConfigConflict,
    ConfigInvalid,
    OutcomeLost,
    VmRefused,
    WaveRefusal,
    WaveRefused,
)
from corianderpitch.ports import Write
from corianderpitch.records import encode_row

FLEET = (
    BASE_FLEET
    + """
[pools.q]
vm_processors = 1
vm_memory_mb = 1
"""
)


@pytest.fixture
def table():
    table = LossyTable()
    fleet = SiteFleet({f"vm{n}": VmRecord("p", "r", "addr") for n in range(3)})
    table.commit((), (Write("fleet/a", encode_row(fleet)),))
    return table


@pytest.fixture
def operations(table):
    documents = SimpleNamespace(
        apply_rows=lambda rows: None, config=check_fleet(FLEET, {})
    )
    return FleetOperations(table, documents, ManualClock())


@pytest.fixture
def configs(table, operations):
    documents = SimpleNamespace(apply_rows=lambda rows: None)
    return ConfigOperations(table, documents, operations, ManualClock())


def change(based_on, operation_id, text=FLEET):
    return ConfigChange(based_on, operation_id, "me", text, {})


def test_change_to_an_outdated_revision_conflicts_and_shows_the_difference(configs):
    configs.apply_config(change(0, "first"))
    configs.apply_config(change(1, "second", FLEET.replace('"r"', '"r2"')))
    conflict = configs.apply_config(change(1, "third")).failure()
    assert isinstance(conflict, ConfigConflict)
    assert conflict.head_revision == 2
    assert '+region = "r2"' in conflict.difference


def test_retry_after_a_lost_answer_is_accepted_once(configs, table):
    table.lose = 1
    lost = configs.apply_config(change(0, "op"))
    assert isinstance(lost.failure(), OutcomeLost)
    assert configs.apply_config(change(0, "op")) == Success(1)
    assert configs.config_head().unwrap().revision == 1


def test_invalid_configuration_is_refused_with_all_its_problems(configs):
    refused = configs.apply_config(change(0, "op", "name = 1")).failure()
    assert isinstance(refused, ConfigInvalid)
    assert len(refused.problems) > 1
    assert configs.config_head() == Success(None)


def test_configuration_that_does_not_fit_the_fleet_is_refused(configs):
    without_pool = FLEET.replace("min_available = 1", "min_available = 4")
    without_pool = without_pool.replace("[pools.p]", "[pools.r]").replace(
        'pool = "p"', 'pool = "r"'
    )
    refused = configs.apply_config(change(0, "op", without_pool)).failure()
    assert [p.path for p in refused.problems] == ["pools.p"]
    excessive_budget = FLEET.replace("min_available = 1", "min_available = 4")
    refused = configs.apply_config(change(0, "op", excessive_budget)).failure()
    assert [p.path for p in refused.problems] == ["services.s.budget.min_available"]


def test_history_lists_the_latest_revision_first(configs):
    for revision in range(3):
        configs.apply_config(change(revision, f"op{revision}"))
    revisions = [r.revision for r in configs.config_history().unwrap()]
    assert revisions == [3, 2, 1]


REBOOT = VmOperation("op", OperationKind.REBOOT)


def test_repeated_vm_request_changes_nothing(operations, table):
    table.lose = 1
    lost = operations.request_vm_operation("vm0", REBOOT)
    assert isinstance(lost.failure(), OutcomeLost)
    again = operations.request_vm_operation("vm0", REBOOT).unwrap()
    assert again.record.operation == REBOOT
    other = VmOperation("op2", OperationKind.DRAIN)
    refused = operations.request_vm_operation("vm0", other).failure()
    assert refused.refusal is VmRefusal.OPERATION_PENDING


@pytest.mark.parametrize(
    ("vm", "operation", "refusal"),
    [
        ("vm9", REBOOT, VmRefusal.NO_SUCH_VM),
        ("vm0", VmOperation("o", OperationKind.MOVE, "qq"), VmRefusal.NO_SUCH_POOL),
        ("vm0", VmOperation("o", OperationKind.MOVE, "p"), VmRefusal.SAME_POOL),
    ],
)
def test_invalid_vm_requests_are_refused(operations, vm, operation, refusal):
    failure = operations.request_vm_operation(vm, operation).failure()
    assert isinstance(failure, VmRefused)
    assert failure.refusal is refusal


def test_return_is_refused_once_the_stop_has_begun(operations, table):
    record = VmRecord("p", "r", "addr", VmState.STOPPING, REBOOT)
    table.commit((), (Write("fleet/a", encode_row(SiteFleet({"vm0": record}))),))
    failure = operations.return_vm("vm0").failure()
    assert failure.refusal is VmRefusal.PAST_RETURN


def test_wave_is_created_once_and_cannot_resume_after_an_abort(operations):
    request = WaveRequest("w", OperationKind.REBOOT, 1, pools=("p",))
    assert len(operations.create_wave(request).unwrap().steps) == 3
    again = operations.create_wave(request).failure()
    assert again == WaveRefused("w", WaveRefusal.EXISTS)
    paused = operations.set_wave_state("w", WaveState.PAUSED).unwrap()
    assert paused.state is WaveState.PAUSED
    operations.set_wave_state("w", WaveState.ABORTED)
    over = operations.set_wave_state("w", WaveState.RUNNING).failure()
    assert over.refusal is WaveRefusal.IS_OVER


@pytest.mark.parametrize(
    ("request_", "refusal"),
    [
        (WaveRequest("w", OperationKind.REBOOT, 0), WaveRefusal.BAD_CONCURRENCY),
        (
            WaveRequest("w", OperationKind.REBOOT, 1, pools=("zz",)),
            WaveRefusal.NO_SUCH_POOL,
        ),
        (
            WaveRequest("w", OperationKind.REBOOT, 1, vm_ids=("zz",)),
            WaveRefusal.NO_VMS,
        ),
    ],
)
def test_invalid_wave_requests_are_refused(operations, request_, refusal):
    assert operations.create_wave(request_).failure().refusal is refusal

"""Manager task: plans and executes VM operations while it holds the role."""

import random
from collections.abc import Mapping

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.collectors import ReportCollector
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.managerview import ManagerView
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.domain.adoption import VmListReconciler
from corianderpitch.domain.lending import Lender
from corianderpitch.domain.loans import loan_step
from corianderpitch.domain.manager import (
    SiteSnapshot,
    SiteStep,
    Snapshot,
    Step,
    VmStep,
    WaitReason,
    WaveVmSkipped,
    plan_step,
)
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.platform import VmAction, VmActionState
from corianderpitch.domain.schedules import WaveStart, due_wave
from corianderpitch.domain.vms import VmState
from corianderpitch.domain.waves import Wave
from corianderpitch.ids import DataCenterId, OperationId, VmId
from corianderpitch.messages import Document, VmChange
from corianderpitch.ports import TableService, VmActions, VmList, Write
from corianderpitch.records import (
    encode_row,
    fleet_key,
    wave_key,
)

BUSY_TICK_MS = 200.0
IDLE_TICK_MS = 1000.0
ROLE_ACQUIRE_INTERVAL_MS = 2000.0
ROLE_RENEW_INTERVAL_MS = 2000.0
MANAGER_LEASE_MS = 6000.0
VM_LIST_INTERVAL_MS = 2000.0
WAVE_SCHEDULE_INTERVAL_MS = 10_000.0
REPORT_WAIT_MS = 50.0
MAX_STEPS_PER_ROUND = 32

log = logger("manager")


class ManagerTask:
    """Plans and commits VM operations while this entry holds the role."""

    def __init__(
        self,
        membership: Membership,
        members: MembershipTask,
        network: PeerNetwork,
        documents: DocumentTask,
        table: TableService,
        vm_list: VmList,
        vm_actions: VmActions,
        clock: Clock,
        rng: random.Random,
    ):
        self._lender: Lender | None = None
        self._membership = membership
        self._members = members
        self._network = network
        self._documents = documents
        self._table = table
        self._vm_list = vm_list
        self._vm_actions = vm_actions
        self._clock = clock
        self._view = ManagerView(membership, members, documents, table, clock)
        self._reconciler = VmListReconciler()
        self._report_collector = ReportCollector(membership, network, clock, rng)
        self._role = RoleLease(
            "manager",
            membership.local_member.entry,
            table,
            clock,
            ROLE_RENEW_INTERVAL_MS,
            MANAGER_LEASE_MS,
        )
        self._next_list_ms = 0.0
        self._next_schedule_ms = 0.0
        self._wait_reasons: Mapping[VmId, WaitReason] = {}

    @property
    def is_holder(self) -> bool:
        """Return whether this entry holds the role with a valid lease."""
        return self._role.has_valid_lease

    @property
    def wait_reasons(self) -> Mapping[VmId, WaitReason]:
        """Return the reasons why operations wait, by VM.

        The mapping is empty while another entry may hold the role.
        """
        return self._wait_reasons if self.is_holder else {}

    def run(self) -> None:
        """Try to acquire the role, and plan operations while holding it, for ever."""
        while True:
            self.run_round()
            eventlet.sleep(self._interval_ms() / 1000.0)

    def _interval_ms(self) -> float:
        if not self._documents.is_ready:
            return BUSY_TICK_MS
        if not self._role.is_held:
            return ROLE_ACQUIRE_INTERVAL_MS
        return BUSY_TICK_MS if self._view.has_work() else IDLE_TICK_MS

    def run_round(self) -> None:
        """Run one planning round if the role is held, or else try to acquire it."""
        if self._role.is_held:
            self._run_held_round()
        elif self._may_acquire_role() and self._role.try_acquire():
            self._start_term()

    def _may_acquire_role(self) -> bool:
        return self._documents.is_ready and self._members.is_deputy()

    def _start_term(self) -> None:
        """Discard the state of an earlier term."""
        self._view.clear()
        self._report_collector.start_term()
        self._reconciler = VmListReconciler()
        self._wait_reasons = {}

    def _run_held_round(self) -> None:
        if not self._role.renew() or not self._view.refresh():
            return
        if not self._view.is_complete:
            return
        # First, so that plans include the VM failures that the platform lists.
        self._reconcile_vm_list()
        self._start_due_wave()
        if self._needs_planning():
            self._plan()
        else:
            self._report_collector.mark_idle()
            self._lender = None
            self._wait_reasons = {}

    def _plan(self) -> None:
        """Plan and commit the steps that the entries' reports allow.

        A round commits at most ``MAX_STEPS_PER_ROUND`` steps.
        """
        self._report_collector.send_queries(self._view.fleets())
        eventlet.sleep(REPORT_WAIT_MS / 1000.0)
        sites = self._view.sites()
        sites_with_members = frozenset(
            name for name, site in sites.items() if site.members
        )
        if not self._report_collector.is_complete(sites_with_members):
            return
        actions = self._poll_actions(sites)
        for _ in range(MAX_STEPS_PER_ROUND):
            snapshot = self._snapshot(actions)
            plan = plan_step(snapshot, self._clock.wall_ms())
            self._wait_reasons = plan.waits
            step = plan.step or self._loan_step(snapshot)
            if step is None or not self._commit(step):
                return

    def _loan_step(self, snapshot: Snapshot) -> Step | None:
        """Return the first step of the next VM loan, if lending is enabled."""
        settings = snapshot.config.lending
        if not settings.is_enabled:
            self._lender = None
            return None
        now_ms = self._clock.now_ms()
        if self._lender is None or self._lender.policy != settings.policy():
            self._lender = Lender(settings.policy(), now_ms)
        return loan_step(snapshot, self._lender, now_ms, self._clock.wall_ms())

    def _snapshot(self, actions: Mapping[OperationId, VmActionState]) -> Snapshot:
        """Return a snapshot for the planner.

        ``actions`` are passed in because the platform is queried for them only once
        a round, while a round takes several snapshots.
        """
        config = self._documents.config
        sites, waves = self._view.sites(), self._view.waves()
        return Snapshot(
            config.base, sites, waves, self._report_collector.fresh_reports(), actions
        )

    def _poll_actions(
        self, sites: Mapping[DataCenterId, SiteSnapshot]
    ) -> dict[OperationId, VmActionState]:
        """Query the states of running VM actions; start those the platform lacks."""
        states = {}
        stopping = [
            pair
            for site in sites.values()
            for pair in site.fleet.in_state(VmState.STOPPING)
        ]
        for vm_id, record in stopping:
            if record.operation is None:
                continue
            operation_id = record.operation.operation_id
            match self._vm_actions.state(operation_id):
                case Success(VmActionState.UNKNOWN):
                    self._start_action(record.action(vm_id))
                case Success(state):
                    states[operation_id] = state
        return states

    def _start_action(self, action: VmAction) -> None:
        log.info("Starting {} of {}.", action.kind.value, action.vm_id)
        self._vm_actions.start(action)

    def _needs_planning(self) -> bool:
        """Return whether there are operations, waves or loans to plan."""
        return self._view.has_work() or self._documents.config.base.lending.is_enabled

    def _reconcile_vm_list(self) -> None:
        """Update the VM records from the platform's list of VMs, if that is due."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_list_ms:
            return
        self._next_list_ms = now_ms + VM_LIST_INTERVAL_MS
        match self._vm_list.list_vms():
            case Success(listed):
                snapshot, versions = self._snapshot({}), self._view.versions()
                wall_ms = self._clock.wall_ms()
                for step in self._reconciler.steps(
                    snapshot, listed, versions, now_ms, wall_ms
                ):
                    self._commit(step)

    def _start_due_wave(self) -> None:
        """Start the wave of the fleet file's schedule that is due, if there is one."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_schedule_ms or not self._documents.config.base.waves:
            return
        self._next_schedule_ms = now_ms + WAVE_SCHEDULE_INTERVAL_MS
        start = due_wave(self._snapshot({}), self._clock.wall_ms())
        if start is not None and self._commit(start):
            log.info("Started scheduled wave {}.", start.wave.name)

    def _commit(self, step: Step | WaveStart) -> bool:
        """Commit a step if the rows that it was planned from are unchanged."""
        writes = self._writes(step)
        checks = (self._role.fence(), *self._view.checks(writes))
        old_versions = self._view.versions()
        match self._table.commit(checks, writes):
            case Success(versions):
                self._view.apply_commit(writes, versions)
                self._after_commit(step, old_versions)
                return True
        self._role.verify_holder()
        return False

    def _writes(self, step: Step | WaveStart) -> tuple[Write, ...]:
        match step:
            case WaveStart(wave, pruned):
                deletions = tuple(Write(wave_key(name), None) for name in pruned)
                return (_wave_write(wave), *deletions)
            case WaveVmSkipped(wave):
                return (_wave_write(wave),)
            case SiteStep(data_center, fleet):
                return (Write(fleet_key(data_center), encode_row(fleet)),)
            case VmStep(data_center, vm_id, record, _, wave):
                fleet = self._view.fleet(data_center).with_vm(vm_id, record)
                fleet_write = Write(fleet_key(data_center), encode_row(fleet))
                return (fleet_write, _wave_write(wave)) if wave else (fleet_write,)

    def _after_commit(
        self, step: Step | WaveStart, old_versions: Mapping[str, int]
    ) -> None:
        match step:
            case VmStep(data_center, vm_id, record, action, _):
                log.info("VM {} of {} is {}.", vm_id, data_center, record.state.value)
                if action is not None:
                    self._start_action(action)
                key = fleet_key(data_center)
                base_version, version = old_versions[key], self._view.row(key).version
                change = VmChange(data_center, base_version, version, vm_id, record)
                self._notify_site(data_center, change)
            case SiteStep(data_center):
                row = self._view.row(fleet_key(data_center))
                document = Document(row.key, row.version, row.value)
                self._notify_site(data_center, document)

    def _notify_site(
        self, data_center: DataCenterId, message: VmChange | Document
    ) -> None:
        """Send a change of a data centre's fleet to the entries there."""
        for entry in self._membership.other_entries_in(data_center):
            self._network.send(entry, message)


def _wave_write(wave: Wave) -> Write:
    return Write(wave_key(wave.name), encode_row(wave))

"""Manager task: plans and carries out VM operations while it holds the role."""

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
SEEK_INTERVAL_MS = 2000.0
BEAT_INTERVAL_MS = 2000.0
MANAGER_LEASE_MS = 6000.0
LIST_INTERVAL_MS = 2000.0
SCHEDULE_INTERVAL_MS = 10_000.0
REPORT_WAIT_MS = 50.0
STEPS_PER_TICK = 32

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
        self._adopter = VmListReconciler()
        self._reports = ReportCollector(membership, network, clock, rng)
        self._role = RoleLease(
            "manager",
            membership.own.entry,
            table,
            clock,
            BEAT_INTERVAL_MS,
            MANAGER_LEASE_MS,
        )
        self._next_list_ms = 0.0
        self._next_schedule_ms = 0.0
        self._waits: Mapping[VmId, WaitReason] = {}

    @property
    def is_holder(self) -> bool:
        """Tell whether this entry holds the role by a lease that is valid."""
        return self._role.is_renewed

    @property
    def waits(self) -> Mapping[VmId, WaitReason]:
        """Return why operations wait; nothing while another entry may hold the role."""
        return self._waits if self.is_holder else {}

    def run(self) -> None:
        """Seek the role and act while holding it, for ever."""
        while True:
            self.act_once()
            eventlet.sleep(self._pause_ms() / 1000.0)

    def _pause_ms(self) -> float:
        if not self._documents.is_ready:
            return BUSY_TICK_MS
        if not self._role.is_held:
            return SEEK_INTERVAL_MS
        return BUSY_TICK_MS if self._view.has_work() else IDLE_TICK_MS

    def act_once(self) -> None:
        """Do one round with the role, or seek it."""
        if self._role.is_held:
            self._act()
        elif self._may_seek() and self._role.seek():
            self._start()

    def _may_seek(self) -> bool:
        return self._documents.is_ready and self._members.is_deputy()

    def _start(self) -> None:
        """Forget what an earlier term has left."""
        self._view.clear()
        self._reports.start_term()
        self._adopter = VmListReconciler()
        self._waits = {}

    def _act(self) -> None:
        if not self._role.renew() or not self._view.refresh():
            return
        if not self._view.is_complete:
            return
        self._adopt()  # first, so that plans know what the platform has seen fail
        self._start_due_wave()
        if self._must_decide():
            self._plan()
        else:
            self._reports.rest()
            self._lender = None
            self._waits = {}

    def _plan(self) -> None:
        """Take every step that the entries' reports allow."""
        self._reports.ask(self._view.fleets())
        eventlet.sleep(REPORT_WAIT_MS / 1000.0)
        sites = self._view.sites()
        staffed = frozenset(site for site, found in sites.items() if found.members)
        if not self._reports.has_heard(staffed):
            return
        actions = self._action_states(sites)
        for _ in range(STEPS_PER_TICK):
            snapshot = self._snapshot(actions)
            plan = plan_step(snapshot, self._clock.wall_ms())
            self._waits = plan.waits
            step = plan.step or self._loan_step(snapshot)
            if step is None or not self._commit(step):
                return

    def _loan_step(self, snapshot: Snapshot) -> Step | None:
        """Return the next loan's first step, if lending is switched on."""
        settings = snapshot.config.lending
        if not settings.is_enabled:
            self._lender = None
            return None
        now_ms = self._clock.now_ms()
        if self._lender is None or self._lender.policy != settings.policy():
            self._lender = Lender(settings.policy(), now_ms)
        return loan_step(snapshot, self._lender, now_ms, self._clock.wall_ms())

    def _snapshot(self, actions: Mapping[OperationId, VmActionState]) -> Snapshot:
        """Return what is known now; ``actions`` are asked for once a round."""
        config = self._documents.config
        sites, waves = self._view.sites(), self._view.waves()
        return Snapshot(config.base, sites, waves, self._reports.fresh(), actions)

    def _action_states(
        self, sites: Mapping[DataCenterId, SiteSnapshot]
    ) -> dict[OperationId, VmActionState]:
        """Ask the platform about running actions; start those it has not seen."""
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
        log.info("{} of {} starts.", action.kind.value, action.vm_id)
        self._vm_actions.start(action)

    def _must_decide(self) -> bool:
        """Tell whether there is anything to plan."""
        return self._view.has_work() or self._documents.config.base.lending.is_enabled

    def _adopt(self) -> None:
        """Bring the records into line with the platform's list of VMs."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_list_ms:
            return
        self._next_list_ms = now_ms + LIST_INTERVAL_MS
        match self._vm_list.list_vms():
            case Success(listed):
                snapshot, versions = self._snapshot({}), self._view.versions()
                wall_ms = self._clock.wall_ms()
                for step in self._adopter.steps(
                    snapshot, listed, versions, now_ms, wall_ms
                ):
                    self._commit(step)

    def _start_due_wave(self) -> None:
        """Start a wave that the fleet file plans, when its time has come."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_schedule_ms or not self._documents.config.base.waves:
            return
        self._next_schedule_ms = now_ms + SCHEDULE_INTERVAL_MS
        start = due_wave(self._snapshot({}), self._clock.wall_ms())
        if start is not None and self._commit(start):
            log.info("Wave {} starts.", start.wave.name)

    def _commit(self, step: Step | WaveStart) -> bool:
        """Commit a step on the condition that nothing it rests on has changed."""
        writes = self._writes(step)
        checks = (self._role.fence(), *self._view.checks(writes))
        before = self._view.versions()
        match self._table.commit(checks, writes):
            case Success(versions):
                self._view.take_in(writes, versions)
                self._after_commit(step, before)
                return True
        self._role.verify()
        return False

    def _writes(self, step: Step | WaveStart) -> tuple[Write, ...]:
        match step:
            case WaveStart(wave, dropped):
                outdated = tuple(Write(wave_key(name), None) for name in dropped)
                return (_wave_write(wave), *outdated)
            case WaveVmSkipped(wave):
                return (_wave_write(wave),)
            case SiteStep(data_center, fleet):
                return (Write(fleet_key(data_center), encode_row(fleet)),)
            case VmStep(data_center, vm_id, record, _, wave):
                fleet = self._view.fleet(data_center).with_vm(vm_id, record)
                fleet_write = Write(fleet_key(data_center), encode_row(fleet))
                return (fleet_write, _wave_write(wave)) if wave else (fleet_write,)

    def _after_commit(self, step: Step | WaveStart, before: Mapping[str, int]) -> None:
        match step:
            case VmStep(data_center, vm_id, record, action, _):
                log.info("{} of {} is {}.", vm_id, data_center, record.state.value)
                if action is not None:
                    self._start_action(action)
                key = fleet_key(data_center)
                base, version = before[key], self._view.row(key).version
                change = VmChange(data_center, base, version, vm_id, record)
                self._tell_site(data_center, change)
            case SiteStep(data_center):
                row = self._view.row(fleet_key(data_center))
                document = Document(row.key, row.version, row.value)
                self._tell_site(data_center, document)

    def _tell_site(
        self, data_center: DataCenterId, message: VmChange | Document
    ) -> None:
        """Send what has changed to the entries that it concerns."""
        for entry in self._membership.known_in(data_center):
            self._network.send(entry, message)


def _wave_write(wave: Wave) -> Write:
    return Write(wave_key(wave.name), encode_row(wave))

"""Manager task: plans and carries out VM operations while it holds the role."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.managerview import ManagerView
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.domain.adoption import adopt_listed
from corianderpitch.domain.lending import Lender
from corianderpitch.domain.loans import loan_step
from corianderpitch.domain.manager import (
    EntryReport,
    SiteSnapshot,
    SiteStep,
    Snapshot,
    Step,
    VmStep,
    Wait,
    WaveStepDropped,
    plan_step,
)
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.domain.waves import Wave, WaveState
from corianderpitch.ids import DataCenterId, EntryId, OperationId, VmId
from corianderpitch.messages import Document, Report, ReportQuery
from corianderpitch.ports import TableService, VmActions, VmList, Write
from corianderpitch.records import (
    encode_row,
    fleet_key,
    wave_key,
)

BUSY_TICK_MS = 200.0
IDLE_TICK_MS = 1000.0
SITE_QUERY_INTERVAL_MS = 1000.0
BEAT_INTERVAL_MS = 2000.0
MANAGER_LEASE_MS = 6000.0
LIST_INTERVAL_MS = 2000.0
REPORT_WAIT_MS = 50.0
REPORT_LIFETIME_MS = 3000.0
STEPS_PER_TICK = 32
MISSING_MS = 60_000.0

log = logger("manager")


@dataclass(frozen=True, slots=True)
class _Heard:
    report: EntryReport
    heard_ms: float


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
        self._rng = rng
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
        self._next_site_query_ms = 0.0
        self._missing_since_ms: dict[VmId, float] = {}
        self._reports: dict[EntryId, _Heard] = {}
        self._role = RoleLease(
            "manager",
            membership.own.entry,
            table,
            clock,
            BEAT_INTERVAL_MS,
            MANAGER_LEASE_MS,
        )
        self._next_list_ms = 0.0
        self._waits: Mapping[VmId, Wait] = {}
        network.handle(Report, self._on_report)

    @property
    def is_holder(self) -> bool:
        """Tell whether this entry holds the role by a lease that is valid."""
        return self._role.is_renewed

    @property
    def waits(self) -> Mapping[VmId, Wait]:
        """Return why operations wait; nothing while another entry may hold the role."""
        return self._waits if self.is_holder else {}

    def run(self) -> None:
        """Seek the role and act while holding it, for ever."""
        while True:
            self.act_once()
            is_busy = self._role.is_held and self._has_work()
            eventlet.sleep((BUSY_TICK_MS if is_busy else IDLE_TICK_MS) / 1000.0)

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
        self._reports.clear()
        self._waits = {}

    def _has_work(self) -> bool:
        """Tell whether an operation or a wave is under way."""
        if any(wave.state is WaveState.RUNNING for wave in self._view.waves().values()):
            return True
        return any(
            record.operation is not None
            for site in self._view.fleets().values()
            for record in site.vms.values()
        )

    def _act(self) -> None:
        if not self._role.renew() or not self._view.refresh():
            return
        self._query_entries()
        eventlet.sleep(REPORT_WAIT_MS / 1000.0)
        if not self._view.is_complete:
            return
        actions = self._action_states(self._view.sites())
        snapshot = self._snapshot(actions)
        if not self._has_heard_enough(snapshot):
            return
        self._adopt(snapshot)
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
        now_ms = self._clock.now_ms()
        reports = {
            entry: heard.report
            for entry, heard in self._reports.items()
            if now_ms - heard.heard_ms < REPORT_LIFETIME_MS
        }
        sites, waves = self._view.sites(), self._view.waves()
        return Snapshot(config.base, sites, waves, reports, actions)

    def _action_states(
        self, sites: Mapping[DataCenterId, SiteSnapshot]
    ) -> dict[OperationId, VmActionState]:
        """Ask the platform about running actions; start those it has not seen."""
        states = {}
        for vm_id, record in _records_in(sites, VmState.STOPPING):
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

    def _query_entries(self) -> None:
        """Ask every entry of sites with draining VMs, and one of each other site.

        The others are asked less often; any entry knows which VMs of its data
        centre do not answer.
        """
        now_ms = self._clock.now_ms()
        is_due = now_ms >= self._next_site_query_ms
        if is_due:
            self._next_site_query_ms = now_ms + SITE_QUERY_INTERVAL_MS
        by_site: dict[DataCenterId, list[EntryId]] = {}
        for info in [*self._membership.known(), self._membership.own]:
            by_site.setdefault(info.data_center, []).append(info.entry)
        for site, entries in by_site.items():
            vm_ids = _draining(self._view.fleet(site))
            if vm_ids:
                for entry in entries:
                    self._network.send(entry, ReportQuery(vm_ids))
            elif is_due:
                self._network.send(self._rng.choice(entries), ReportQuery(()))

    def _has_heard_enough(self, snapshot: Snapshot) -> bool:
        """Wait at first for every site, so that no plan is made half blind."""
        sites = {site for site, found in snapshot.sites.items() if found.members}
        heard = {report.data_center for report in snapshot.reports.values()}
        return sites <= heard or self._role.held_for_ms >= REPORT_LIFETIME_MS

    def _adopt(self, snapshot: Snapshot) -> None:
        """Bring the records into line with the platform's list of VMs."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_list_ms:
            return
        self._next_list_ms = now_ms + LIST_INTERVAL_MS
        match self._vm_list.list_vms():
            case Success(listed):
                long_missing = self._long_missing(snapshot, listed)
                for step in adopt_listed(snapshot, listed, long_missing):
                    self._commit(step)

    def _long_missing(
        self, snapshot: Snapshot, listed: list[ListedVm]
    ) -> frozenset[VmId]:
        """Return the VMs that the list has left out for long."""
        now_ms = self._clock.now_ms()
        here = {vm.vm_id for vm in listed}
        known = {v for site in snapshot.sites.values() for v in site.fleet.vms}
        missing = known - here
        self._missing_since_ms = {
            vm_id: self._missing_since_ms.get(vm_id, now_ms) for vm_id in missing
        }
        return frozenset(
            vm_id
            for vm_id, since_ms in self._missing_since_ms.items()
            if now_ms - since_ms >= MISSING_MS
        )

    def _commit(self, step: Step) -> bool:
        """Commit a step on the condition that nothing it rests on has changed."""
        writes = self._writes(step)
        checks = (self._role.fence(), *self._view.checks(writes))
        match self._table.commit(checks, writes):
            case Success(versions):
                self._view.take_in(writes, versions)
                self._after_commit(step)
                return True
        self._role.verify()
        return False

    def _writes(self, step: Step) -> tuple[Write, ...]:
        match step:
            case WaveStepDropped(wave):
                return (_wave_write(wave),)
            case SiteStep(data_center, fleet):
                return (Write(fleet_key(data_center), encode_row(fleet)),)
            case VmStep(data_center, vm_id, record, _, wave):
                fleet = self._view.fleet(data_center).with_vm(vm_id, record)
                fleet_write = Write(fleet_key(data_center), encode_row(fleet))
                return (fleet_write, _wave_write(wave)) if wave else (fleet_write,)

    def _after_commit(self, step: Step) -> None:
        match step:
            case VmStep(data_center, vm_id, record, action, _):
                log.info("{} of {} is {}.", vm_id, data_center, record.state.value)
                if action is not None:
                    self._start_action(action)
                self._tell_site(data_center)
            case SiteStep(data_center):
                self._tell_site(data_center)

    def _tell_site(self, data_center: DataCenterId) -> None:
        """Send the new record to the entries that it concerns."""
        row = self._view.row(fleet_key(data_center))
        document = Document(row.key, row.version, row.value)
        for info in self._membership.known():
            if info.data_center == data_center:
                self._network.send(info.entry, document)

    def _on_report(self, sender: EntryId, message: Report) -> None:
        self._reports[sender] = _Heard(message.report, self._clock.now_ms())


def _draining(fleet: SiteFleet) -> tuple[VmId, ...]:
    return tuple(
        vm_id for vm_id, record in fleet.vms.items() if record.state is VmState.DRAINING
    )


def _wave_write(wave: Wave) -> Write:
    return Write(wave_key(wave.name), encode_row(wave))


def _records_in(
    sites: Mapping[DataCenterId, SiteSnapshot], state: VmState
) -> list[tuple[VmId, VmRecord]]:
    return [
        (vm_id, record)
        for site in sites.values()
        for vm_id, record in site.fleet.vms.items()
        if record.state is state
    ]

"""Manager task: holds the manager role by lease and carries out the plans.

The role is a row with an epoch. Every transaction of the manager checks that
row, so that a holder which was paused past its lease can change nothing.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.domain.leases import LeaseBoard
from corianderpitch.domain.manager import (
    EntryReport,
    SiteSnapshot,
    SiteStep,
    Snapshot,
    Step,
    VmStep,
    Wait,
    WaveStepDropped,
    adopt_listed,
    plan_step,
)
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.platform import VmAction, VmActionState
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.domain.waves import Wave, WaveState
from corianderpitch.ids import DataCenterId, EntryId, OperationId, VmId, WaveName
from corianderpitch.messages import Document, Report, ReportQuery
from corianderpitch.ports import Check, Row, TableService, VmActions, VmList, Write
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    FLEET_PREFIX,
    MANAGER_BEAT_KEY,
    MANAGER_EPOCH_KEY,
    MEMBER_PREFIX,
    WAVE_PREFIX,
    ManagerBeat,
    ManagerEpoch,
    MemberRecord,
    RowValue,
    decode_row,
    encode_row,
    fleet_key,
    wave_key,
)

BUSY_TICK_MS = 200.0
IDLE_TICK_MS = 1000.0
SITE_QUERY_INTERVAL_MS = 1000.0
BEAT_INTERVAL_MS = 1000.0
MANAGER_LEASE_MS = 5000.0
LIST_INTERVAL_MS = 2000.0
MEMBER_SCAN_INTERVAL_MS = 2000.0
REPORT_WAIT_MS = 50.0
REPORT_LIFETIME_MS = 3000.0
STEPS_PER_TICK = 32

log = logger("manager")


@dataclass(frozen=True, slots=True)
class _Heard:
    report: EntryReport
    heard_ms: float


@dataclass(frozen=True, slots=True)
class _Decoded:
    version: int
    value: Any


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
        self._membership = membership
        self._members = members
        self._network = network
        self._documents = documents
        self._table = table
        self._vm_list = vm_list
        self._vm_actions = vm_actions
        self._clock = clock
        self._rows: dict[str, Row] = {}
        self._decoded: dict[str, _Decoded] = {}
        self._next_site_query_ms = 0.0
        self._board = LeaseBoard()
        self._reports: dict[EntryId, _Heard] = {}
        self._started: set[OperationId] = set()
        self._beat_version: int | None = None
        self._beat_seen_ms = clock.now_ms()
        self._beat_sequence = 0
        self._next_beat_ms = 0.0
        self._next_list_ms = 0.0
        self._next_scan_ms = 0.0
        self._holding_since_ms: float | None = None
        self.waits: Mapping[VmId, Wait] = {}
        network.handle(Report, self._on_report)

    @property
    def is_holder(self) -> bool:
        """Tell whether this entry believes that it holds the role."""
        return self._holding_since_ms is not None

    def run(self) -> None:
        """Seek the role and act while holding it, for ever."""
        while True:
            if self.is_holder:
                self._act()
                pause_ms = BUSY_TICK_MS if self._has_work() else IDLE_TICK_MS
                eventlet.sleep(pause_ms / 1000.0)
            else:
                self._seek()
                eventlet.sleep(BEAT_INTERVAL_MS / 1000.0)

    def _has_work(self) -> bool:
        """Tell whether an operation or a wave is under way."""
        if any(wave.state is WaveState.RUNNING for wave in self._waves().values()):
            return True
        return any(
            record.operation is not None
            for site in self._fleets().values()
            for record in site.vms.values()
        )

    def _seek(self) -> None:
        """Take the role over once the holder has not renewed it for its lease."""
        if not self._documents.is_ready or not self._members.is_representative():
            return
        match self._table.read({MANAGER_EPOCH_KEY: 0, MANAGER_BEAT_KEY: 0}):
            case Success(rows):
                self._consider(rows)

    def _consider(self, rows: Mapping[str, Row]) -> None:
        now_ms = self._clock.now_ms()
        beat = rows.get(MANAGER_BEAT_KEY)
        version = beat.version if beat else 0
        epoch_row = rows.get(MANAGER_EPOCH_KEY)
        if version != self._beat_version:
            self._beat_version = version
            self._beat_seen_ms = now_ms
        has_lapsed = now_ms - self._beat_seen_ms >= MANAGER_LEASE_MS
        if epoch_row is None or has_lapsed:
            self._take_role(epoch_row)

    def _take_role(self, epoch_row: Row | None) -> None:
        old = decode_row(ManagerEpoch, epoch_row.value) if epoch_row else None
        epoch = ManagerEpoch(self._membership.own.entry, old.epoch + 1 if old else 1)
        value = encode_row(epoch)
        check = Check(MANAGER_EPOCH_KEY, epoch_row.version if epoch_row else 0)
        write = Write(MANAGER_EPOCH_KEY, value)
        match self._table.commit((check,), (write,)):
            case Success(versions):
                version = versions[MANAGER_EPOCH_KEY]
                self._rows = {MANAGER_EPOCH_KEY: Row(check.key, version, value)}
                self._holding_since_ms = self._clock.now_ms()
                self._reports.clear()
                self._started.clear()
                self._next_beat_ms = 0.0
                log.info("Manager with epoch {}.", epoch.epoch)

    def _lose_role(self) -> None:
        log.info("No longer the manager.")
        self._holding_since_ms = None
        self._beat_version = None
        self._beat_seen_ms = self._clock.now_ms()
        self.waits = {}

    def _act(self) -> None:
        if not self._renew() or not self._refresh():
            return
        self._query_entries()
        eventlet.sleep(REPORT_WAIT_MS / 1000.0)
        snapshot = self._snapshot()
        if snapshot is None or not self._has_heard_enough(snapshot):
            return
        self._adopt(snapshot)
        for _ in range(STEPS_PER_TICK):
            snapshot = self._snapshot()
            plan = plan_step(snapshot, self._clock.wall_ms())
            self.waits = plan.waits
            if plan.step is None or not self._commit(plan.step):
                return

    def _renew(self) -> bool:
        """Renew the lease when due; returns whether the role is still held."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_beat_ms:
            return True
        epoch = decode_row(ManagerEpoch, self._rows[MANAGER_EPOCH_KEY].value)
        self._beat_sequence += 1
        beat = encode_row(ManagerBeat(epoch.epoch, self._beat_sequence))
        write = Write(MANAGER_BEAT_KEY, beat)
        match self._table.commit((self._fence(),), (write,)):
            case Success(_):
                self._next_beat_ms = now_ms + BEAT_INTERVAL_MS
                return True
            case Failure(error):
                return self._after_failure(error)

    def _after_failure(self, error: object) -> bool:
        """Give the role up if the epoch row has changed."""
        match self._table.read({MANAGER_EPOCH_KEY: 0}):
            case Success(rows):
                row = rows.get(MANAGER_EPOCH_KEY)
                if row is None or row.version != self._fence().version:
                    self._lose_role()
        return False

    def _fence(self) -> Check:
        return Check(MANAGER_EPOCH_KEY, self._rows[MANAGER_EPOCH_KEY].version)

    def _refresh(self) -> bool:
        """Read the rows that have changed since the last look."""
        config = self._documents.config
        if config is None:
            return False
        keys = [CONFIG_HEAD_KEY, *(fleet_key(site) for site in config.base.sites)]
        keys += [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        known = {k: self._rows[k].version if k in self._rows else 0 for k in keys}
        match self._table.read(known):
            case Success(rows):
                self._rows.update(rows)
            case _:
                return False
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_scan_ms:
            self._next_scan_ms = now_ms + MEMBER_SCAN_INTERVAL_MS
            return self._scan_members(now_ms) and self._scan_waves()
        return True

    def _scan_members(self, now_ms: float) -> bool:
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                records = [decode_row(MemberRecord, row.value) for row in rows]
                self._members.learn([record.info for record in records])
                versions = {
                    record.info.entry: row.version
                    for record, row in zip(records, rows, strict=True)
                }
                self._board.observe(versions, now_ms)
                return True
        return False

    def _scan_waves(self) -> bool:
        match self._table.scan(WAVE_PREFIX):
            case Success(rows):
                for key in [k for k in self._rows if k.startswith(WAVE_PREFIX)]:
                    del self._rows[key]
                self._rows.update({row.key: row for row in rows})
                return True
        return False

    def _snapshot(self) -> Snapshot | None:
        config = self._documents.config
        if config is None or CONFIG_HEAD_KEY not in self._rows:
            return None
        now_ms = self._clock.now_ms()
        valid = self._board.valid(now_ms)
        sites = {site: self._site_snapshot(site, valid) for site in config.base.sites}
        reports = {
            entry: heard.report
            for entry, heard in self._reports.items()
            if now_ms - heard.heard_ms < REPORT_LIFETIME_MS
        }
        actions = self._action_states(sites)
        return Snapshot(config.base, sites, self._waves(), reports, actions)

    def _value(self, row_type: type[RowValue], key: str) -> RowValue | None:
        """Return a row's value, decoded once for each version."""
        row = self._rows.get(key)
        if row is None:
            return None
        known = self._decoded.get(key)
        if known is None or known.version != row.version:
            known = _Decoded(row.version, decode_row(row_type, row.value))
            self._decoded[key] = known
        return known.value

    def _waves(self) -> dict[WaveName, Wave]:
        keys = [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        return {wave.name: wave for key in keys for wave in (self._value(Wave, key),)}

    def _fleets(self) -> dict[DataCenterId, SiteFleet]:
        return {
            DataCenterId(key.removeprefix(FLEET_PREFIX)): self._value(SiteFleet, key)
            for key in self._rows
            if key.startswith(FLEET_PREFIX)
        }

    def _site_snapshot(
        self, site: DataCenterId, valid: frozenset[EntryId]
    ) -> SiteSnapshot:
        row = self._rows.get(fleet_key(site))
        fleet = self._value(SiteFleet, fleet_key(site)) or SiteFleet({})
        infos = [*self._membership.known(), self._membership.own]
        members = {i.entry for i in infos if i.data_center == site}
        return SiteSnapshot(
            fleet, row.version if row else 0, frozenset(members & valid)
        )

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
        fleets = self._fleets()
        for site, entries in by_site.items():
            vm_ids = _draining(fleets.get(site, SiteFleet({})))
            if vm_ids:
                for entry in entries:
                    self._network.send(entry, ReportQuery(vm_ids))
            elif is_due:
                self._network.send(self._rng.choice(entries), ReportQuery(()))

    def _has_heard_enough(self, snapshot: Snapshot) -> bool:
        """Wait at first for every site, so that no plan is made half blind."""
        sites = {site for site, found in snapshot.sites.items() if found.members}
        heard = {report.data_center for report in snapshot.reports.values()}
        waited_ms = self._clock.now_ms() - (self._holding_since_ms or 0.0)
        return sites <= heard or waited_ms >= REPORT_LIFETIME_MS

    def _adopt(self, snapshot: Snapshot) -> None:
        """Bring the records into line with the platform's list of VMs."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_list_ms:
            return
        self._next_list_ms = now_ms + LIST_INTERVAL_MS
        match self._vm_list.list_vms():
            case Success(listed):
                for step in adopt_listed(snapshot, listed):
                    self._commit(step)

    def _commit(self, step: Step) -> bool:
        """Commit a step on the condition that nothing it rests on has changed."""
        writes = self._writes(step)
        rested_on = [
            key
            for key in self._rows
            if key == CONFIG_HEAD_KEY or key.startswith(FLEET_PREFIX)
        ]
        keys = dict.fromkeys([MANAGER_EPOCH_KEY, *rested_on, *(w.key for w in writes)])
        checks = tuple(Check(key, self._version(key)) for key in keys)
        match self._table.commit(checks, writes):
            case Success(versions):
                self._take_in(writes, versions)
                self._after_commit(step)
                return True
            case Failure(error):
                self._after_failure(error)
                return False

    def _version(self, key: str) -> int:
        return self._rows[key].version if key in self._rows else 0

    def _take_in(self, writes: tuple[Write, ...], versions: Mapping[str, int]) -> None:
        rows = {w.key: Row(w.key, versions[w.key], w.value) for w in writes}
        self._rows.update(rows)
        self._documents.offer(rows)

    def _writes(self, step: Step) -> tuple[Write, ...]:
        match step:
            case WaveStepDropped(wave):
                return (_wave_write(wave),)
            case SiteStep(data_center, fleet):
                return (Write(fleet_key(data_center), encode_row(fleet)),)
            case VmStep(data_center, vm_id, record, _, wave):
                key = fleet_key(data_center)
                fleet = self._value(SiteFleet, key).with_vm(vm_id, record)
                fleet_write = Write(key, encode_row(fleet))
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
        row = self._rows[fleet_key(data_center)]
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

"""Operators' requests, as functions with typed results.

Every change is one conditional transaction with an operation id, so that a
retry after a lost answer is harmless.
"""

import difflib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.fleetfile import (
    BASE_FILE,
    FleetConfig,
    FleetFile,
    check_fleet,
)
from corianderpitch.domain.problems import Problem, ProblemKind
from corianderpitch.domain.vms import (
    OperationKind,
    Refusal,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmState,
    request_operation,
    request_return,
)
from corianderpitch.domain.waves import Wave, WaveState, WaveStep
from corianderpitch.errors import (
    CommitError,
    ConfigConflict,
    ConfigInvalid,
    NoSuchRevision,
    OperationError,
    RowConflict,
    VmRefused,
    WaveRefusal,
    WaveRefused,
)
from corianderpitch.ids import (
    DataCenterId,
    OperationId,
    PoolName,
    RackId,
    Revision,
    VmId,
    WaveName,
)
from corianderpitch.ports import Check, Row, TableService, Write
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    FLEET_PREFIX,
    AcceptedOperation,
    ConfigRecord,
    config_revision_key,
    decode_row,
    encode_row,
    fleet_key,
    wave_key,
)

KEPT_OPERATIONS = 32
KEPT_REVISIONS = 1000
HISTORY_REVISIONS = 50
COMMIT_ATTEMPTS = 8

log = logger("operations")


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A proposed configuration, named after the revision it was made from."""

    based_on: Revision
    operation_id: OperationId
    author: str
    base_text: str
    overlay_texts: Mapping[DataCenterId, str]


@dataclass(frozen=True, slots=True)
class WaveRequest:
    """A proposed wave over the VMs that match every selector given.

    ``not_maintained_for_ms`` selects VMs whose last maintenance is at least
    that long ago, or that never had one.
    """

    name: WaveName
    kind: OperationKind
    max_concurrent: int
    pools: tuple[PoolName, ...] = ()
    racks: tuple[RackId, ...] = ()
    vm_ids: tuple[VmId, ...] = ()
    target_pool: PoolName | None = None
    not_maintained_for_ms: int = 0

    def selects(self, vm_id: VmId, record: VmRecord, wall_ms: int) -> bool:
        """Tell whether a VM belongs to the wave."""
        age_ms = wall_ms - record.last_maintained_ms
        return (
            age_ms >= self.not_maintained_for_ms
            and record.state is not VmState.RETIRED
            and (not self.pools or record.pool in self.pools)
            and (not self.racks or record.rack in self.racks)
            and (not self.vm_ids or vm_id in self.vm_ids)
        )


@dataclass(frozen=True, slots=True)
class FoundVm:
    """A VM and where it stands."""

    data_center: DataCenterId
    vm_id: VmId
    record: VmRecord


class Operations:
    """Reads and changes the state that all entries share."""

    def __init__(self, table: TableService, documents: DocumentTask, clock: Clock):
        self._table = table
        self._documents = documents
        self._clock = clock

    def apply_config(self, change: ConfigChange) -> Result[Revision, OperationError]:
        """Accept a configuration if it is valid and its base is the head."""
        problems = self.check_config(change.base_text, change.overlay_texts)
        if problems != Success([]):
            return problems.bind(lambda found: Failure(ConfigInvalid(tuple(found))))
        match self._table.read({CONFIG_HEAD_KEY: 0}):
            case Success(rows):
                return self._accept(change, rows.get(CONFIG_HEAD_KEY))
            case Failure(error):
                return Failure(error)

    def check_config(
        self, base_text: str, overlay_texts: Mapping[DataCenterId, str]
    ) -> Result[list[Problem], OperationError]:
        """Return the problems of a configuration, by itself and for the fleet."""
        checked = check_fleet(base_text, overlay_texts)
        if not isinstance(checked, FleetConfig):
            return Success(checked)
        return self.fleet().map(lambda found: _fleet_problems(checked.base, found))

    def _accept(
        self, change: ConfigChange, head_row: Row | None
    ) -> Result[Revision, OperationError]:
        head = decode_row(ConfigRecord, head_row.value) if head_row else None
        recent = head.recent if head else ()
        for accepted in recent:
            if accepted.operation_id == change.operation_id:
                return Success(accepted.revision)
        if change.based_on != (head.revision if head else 0):
            return Failure(self._conflict(change, head))
        record = self._next_record(change, recent)
        return self._commit_config(change, record, head_row)

    def _next_record(
        self, change: ConfigChange, recent: tuple[AcceptedOperation, ...]
    ) -> ConfigRecord:
        revision = Revision(change.based_on + 1)
        accepted = AcceptedOperation(change.operation_id, revision)
        return ConfigRecord(
            revision,
            change.based_on,
            change.operation_id,
            change.author,
            self._clock.wall_ms(),
            change.base_text,
            dict(change.overlay_texts),
            (*recent, accepted)[-KEPT_OPERATIONS:],
        )

    def _commit_config(
        self, change: ConfigChange, record: ConfigRecord, head_row: Row | None
    ) -> Result[Revision, OperationError]:
        check = Check(CONFIG_HEAD_KEY, head_row.version if head_row else 0)
        head_value = encode_row(record)
        kept = encode_row(replace(record, recent=()))
        writes = [
            Write(CONFIG_HEAD_KEY, head_value),
            Write(config_revision_key(record.revision), kept),
        ]
        if record.revision > KEPT_REVISIONS:
            oldest = Revision(record.revision - KEPT_REVISIONS)
            writes.append(Write(config_revision_key(oldest), None))
        match self._table.commit((check,), tuple(writes)):
            case Success(versions):
                row = Row(CONFIG_HEAD_KEY, versions[CONFIG_HEAD_KEY], head_value)
                self._documents.offer({row.key: row})
                log.info("Accepted revision {}.", record.revision)
                return Success(record.revision)
            case Failure(RowConflict()):
                return self.apply_config(change)
            case Failure(error):
                return Failure(error)

    def _conflict(
        self, change: ConfigChange, head: ConfigRecord | None
    ) -> ConfigConflict:
        if head is None:
            return ConfigConflict(Revision(0), change.based_on, "", "")
        match self.config_revision(change.based_on):
            case Success(base):
                difference = config_difference(base, head)
            case _:
                difference = ""
        return ConfigConflict(head.revision, change.based_on, head.author, difference)

    def config_head(self) -> Result[ConfigRecord | None, OperationError]:
        """Return the accepted configuration."""
        found = self._table.read({CONFIG_HEAD_KEY: 0})
        return found.map(
            lambda rows: (
                decode_row(ConfigRecord, rows[CONFIG_HEAD_KEY].value) if rows else None
            )
        )

    def config_revision(
        self, revision: Revision
    ) -> Result[ConfigRecord, OperationError]:
        """Return one accepted revision."""
        key = config_revision_key(revision)
        match self._table.read({key: 0}):
            case Success(rows) if key in rows:
                return Success(decode_row(ConfigRecord, rows[key].value))
            case Success(_):
                return Failure(NoSuchRevision(revision))
            case Failure(error):
                return Failure(error)

    def config_history(self) -> Result[list[ConfigRecord], OperationError]:
        """Return the latest revisions, the newest first."""
        match self.config_head():
            case Success(None):
                return Success([])
            case Success(head):
                first = max(1, head.revision - HISTORY_REVISIONS + 1)
                revisions = range(head.revision, first - 1, -1)
                keys = {config_revision_key(Revision(r)): 0 for r in revisions}
                found = self._table.read(keys)
                return found.map(
                    lambda rows: [
                        decode_row(ConfigRecord, rows[key].value)
                        for key in keys
                        if key in rows
                    ]
                )
            case Failure(error):
                return Failure(error)

    def fleet(self) -> Result[list[FoundVm], OperationError]:
        """Return every VM of the fleet."""
        return self._table.scan(FLEET_PREFIX).map(_found_vms)

    def find_vm(self, vm_id: VmId) -> Result[FoundVm, OperationError]:
        """Return one VM."""
        return self.fleet().bind(lambda found: _pick(found, vm_id))

    def request_vm(
        self, vm_id: VmId, operation: VmOperation
    ) -> Result[FoundVm, OperationError]:
        """Ask for an operation on a VM; the manager carries it out."""
        pool = operation.target_pool
        config = self._documents.config
        if pool is not None and config and pool not in config.base.pools:
            nearest = difflib.get_close_matches(pool, list(config.base.pools), n=1)
            hint = nearest[0] if nearest else ""
            return Failure(VmRefused(vm_id, Refusal.NO_SUCH_POOL, hint))
        return self._change_vm(vm_id, lambda r: request_operation(r, operation))

    def return_vm(self, vm_id: VmId) -> Result[FoundVm, OperationError]:
        """Take a planned operation back."""
        return self._change_vm(vm_id, request_return)

    def _change_vm(self, vm_id, change) -> Result[FoundVm, OperationError]:
        """Apply a change to a VM's record, again if another change came first."""
        failure: Result[FoundVm, CommitError] = Failure(RowConflict(()))
        for _ in range(COMMIT_ATTEMPTS):
            match self.find_vm(vm_id):
                case Success(found):
                    changed = change(found.record)
                case Failure(error):
                    return Failure(error)
            if isinstance(changed, Refusal):
                return Failure(VmRefused(vm_id, changed))
            if changed == found.record:
                return Success(found)
            failure = self._commit_vm(found, changed)
            if failure != Failure(RowConflict((fleet_key(found.data_center),))):
                return failure
        return failure

    def _commit_vm(
        self, found: FoundVm, changed: VmRecord
    ) -> Result[FoundVm, OperationError]:
        key = fleet_key(found.data_center)
        match self._table.read({key: 0}):
            case Success(rows):
                row = rows[key]
            case Failure(error):
                return Failure(error)
        fleet = decode_row(SiteFleet, row.value)
        if fleet.vms.get(found.vm_id) != found.record:
            return Failure(RowConflict((key,)))
        value = encode_row(fleet.with_vm(found.vm_id, changed))
        committed = self._table.commit((Check(key, row.version),), (Write(key, value),))
        return committed.map(lambda _: replace(found, record=changed))

    def create_wave(self, request: WaveRequest) -> Result[Wave, OperationError]:
        """Plan a wave over the VMs that the request selects."""
        refusal = self._wave_refusal(request)
        if refusal is not None:
            return Failure(WaveRefused(request.name, refusal))
        match self.fleet():
            case Success(found):
                wall_ms = self._clock.wall_ms()
                chosen = [
                    vm.vm_id
                    for vm in found
                    if request.selects(vm.vm_id, vm.record, wall_ms)
                ]
            case Failure(error):
                return Failure(error)
        if not chosen:
            return Failure(WaveRefused(request.name, WaveRefusal.NO_VMS))
        wave = Wave(
            request.name,
            request.kind,
            request.max_concurrent,
            dict.fromkeys(chosen, WaveStep.PENDING),
            target_pool=request.target_pool,
            created_ms=self._clock.wall_ms(),
        )
        return self._commit_wave(wave, 0, WaveRefusal.EXISTS)

    def _wave_refusal(self, request: WaveRequest) -> WaveRefusal | None:
        if request.max_concurrent < 1:
            return WaveRefusal.BAD_CONCURRENCY
        config = self._documents.config
        named = [
            *request.pools,
            *([request.target_pool] if request.target_pool else []),
        ]
        if config and any(pool not in config.base.pools for pool in named):
            return WaveRefusal.NO_SUCH_POOL
        return None

    def wave(self, name: WaveName) -> Result[Wave, OperationError]:
        """Return a wave."""
        return self._wave_row(name).map(lambda row: decode_row(Wave, row.value))

    def waves(self) -> Result[list[Wave], OperationError]:
        """Return every wave."""
        rows = self._table.scan(wave_key(WaveName("")))
        return rows.map(lambda found: [decode_row(Wave, row.value) for row in found])

    def set_wave_state(
        self, name: WaveName, state: WaveState
    ) -> Result[Wave, OperationError]:
        """Pause, resume or abort a wave that is not over."""
        for _ in range(COMMIT_ATTEMPTS):
            match self._wave_row(name):
                case Success(row):
                    wave = decode_row(Wave, row.value)
                case Failure(error):
                    return Failure(error)
            if wave.state in (WaveState.DONE, WaveState.ABORTED):
                return Failure(WaveRefused(name, WaveRefusal.IS_OVER))
            changed = replace(wave, state=state)
            committed = self._commit_wave(changed, row.version, WaveRefusal.IS_OVER)
            if isinstance(committed, Success):
                return committed
        return committed

    def _wave_row(self, name: WaveName) -> Result[Row, OperationError]:
        key = wave_key(name)
        match self._table.read({key: 0}):
            case Success(rows) if key in rows:
                return Success(rows[key])
            case Success(_):
                return Failure(WaveRefused(name, WaveRefusal.NO_SUCH_WAVE))
            case Failure(error):
                return Failure(error)

    def _commit_wave(
        self, wave: Wave, version: int, on_conflict: WaveRefusal
    ) -> Result[Wave, OperationError]:
        key = wave_key(wave.name)
        write = Write(key, encode_row(wave))
        match self._table.commit((Check(key, version),), (write,)):
            case Success(_):
                return Success(wave)
            case Failure(RowConflict()):
                return Failure(WaveRefused(wave.name, on_conflict))
            case Failure(error):
                return Failure(error)


def config_difference(old: ConfigRecord, new: ConfigRecord) -> str:
    """Return a unified diff between two revisions, file by file."""
    files = {"fleet.toml": (old.base_text, new.base_text)}
    for site in sorted({*old.overlay_texts, *new.overlay_texts}):
        texts = (old.overlay_texts.get(site, ""), new.overlay_texts.get(site, ""))
        files[f"sites/{site}.toml"] = texts
    lines: list[str] = []
    for name, (before, after) in files.items():
        lines += difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            f"{name} at {old.revision}",
            f"{name} at {new.revision}",
            lineterm="",
        )
    return "\n".join(lines)


def _fleet_problems(base: FleetFile, found: list[FoundVm]) -> list[Problem]:
    """Return where a configuration does not fit the VMs there are."""
    kept = [vm.record for vm in found if vm.record.state is not VmState.RETIRED]
    counts = Counter(record.pool for record in kept)
    problems = [
        _inconsistent(f"pools.{pool}", f"is needed: {count} VMs are in this pool")
        for pool, count in sorted(counts.items())
        if pool not in base.pools
    ]
    for name, service in base.services.items():
        count = counts[service.pool]
        if 0 < count < service.budget.min_available:
            path = f"services.{name}.budget.min_available"
            problems.append(_inconsistent(path, f"the pool has only {count} VMs"))
    return problems


def _inconsistent(path: str, detail: str) -> Problem:
    return Problem(BASE_FILE, path, ProblemKind.INCONSISTENT, detail)


def _found_vms(rows: list[Row]) -> list[FoundVm]:
    found = []
    for row in rows:
        data_center = DataCenterId(row.key.removeprefix(FLEET_PREFIX))
        fleet = decode_row(SiteFleet, row.value)
        for vm_id, record in sorted(fleet.vms.items()):
            found.append(FoundVm(data_center, vm_id, record))
    return found


def _pick(found: list[FoundVm], vm_id: VmId) -> Result[FoundVm, OperationError]:
    for vm in found:
        if vm.vm_id == vm_id:
            return Success(vm)
    close = difflib.get_close_matches(vm_id, [vm.vm_id for vm in found], n=1)
    return Failure(VmRefused(vm_id, Refusal.NO_SUCH_VM, close[0] if close else ""))

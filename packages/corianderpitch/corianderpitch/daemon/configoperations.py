"""Operators' requests about the configuration, with typed results.

A change is one conditional transaction with an operation id, so that an operator
whose answer was lost can safely retry it.
"""

import difflib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.fleetoperations import FleetOperations, FleetVm
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.fleetfile import (
    BASE_FILE,
    FleetConfig,
    check_fleet,
    overlay_file,
)
from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.problems import Problem, ProblemKind
from corianderpitch.domain.vms import VmState
from corianderpitch.errors import (
    ConfigConflict,
    ConfigInvalid,
    NoSuchRevision,
    OperationError,
    RowConflict,
)
from corianderpitch.ids import DataCenterId, OperationId, Revision
from corianderpitch.ports import Check, Row, TableService, Write, version_of
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    AcceptedOperation,
    ConfigRecord,
    config_revision_key,
    decode_row,
    encode_row,
)

MAX_RECENT_OPERATIONS = 32
MAX_REVISIONS = 1000
MAX_HISTORY_REVISIONS = 50

log = logger("operations")


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A proposed configuration; ``based_on`` is the revision that it changes."""

    based_on: Revision
    operation_id: OperationId
    author: str
    base_text: str
    overlay_texts: Mapping[DataCenterId, str]


class ConfigOperations:
    """Checks, accepts and returns configurations."""

    def __init__(
        self,
        table: TableService,
        documents: DocumentTask,
        fleet: FleetOperations,
        clock: Clock,
    ):
        self._table = table
        self._documents = documents
        self._fleet = fleet
        self._clock = clock

    def apply_config(self, change: ConfigChange) -> Result[Revision, OperationError]:
        """Accept a configuration if it is valid and based on the latest revision.

        A retry with the operation id of an accepted change returns the revision that
        the change led to.
        """
        problems = self.check_config(change.base_text, change.overlay_texts)
        if problems != Success([]):
            return problems.bind(lambda listed: Failure(ConfigInvalid(tuple(listed))))
        match self._table.read({CONFIG_HEAD_KEY: 0}):
            case Success(rows):
                return self._apply_to_head(change, rows.get(CONFIG_HEAD_KEY))
            case Failure(error):
                return Failure(error)

    def check_config(
        self, base_text: str, overlay_texts: Mapping[DataCenterId, str]
    ) -> Result[list[Problem], OperationError]:
        """Return the problems of a configuration.

        A configuration that is valid by itself is also checked against the VMs of
        the fleet.
        """
        checked = check_fleet(base_text, overlay_texts)
        if not isinstance(checked, FleetConfig):
            return Success(checked)
        return self._fleet.fleet().map(lambda vms: _fleet_problems(checked.base, vms))

    def _apply_to_head(
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
        return self._commit_revision(change, record, head_row)

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
            (*recent, accepted)[-MAX_RECENT_OPERATIONS:],
        )

    def _commit_revision(
        self, change: ConfigChange, record: ConfigRecord, head_row: Row | None
    ) -> Result[Revision, OperationError]:
        check = Check(CONFIG_HEAD_KEY, version_of(head_row))
        head_value = encode_row(record)
        archived_value = encode_row(replace(record, recent=()))
        writes = [
            Write(CONFIG_HEAD_KEY, head_value),
            Write(config_revision_key(record.revision), archived_value),
        ]
        if record.revision > MAX_REVISIONS:
            oldest = Revision(record.revision - MAX_REVISIONS)
            writes.append(Write(config_revision_key(oldest), None))
        match self._table.commit((check,), tuple(writes)):
            case Success(versions):
                row = Row(CONFIG_HEAD_KEY, versions[CONFIG_HEAD_KEY], head_value)
                self._documents.apply_rows({row.key: row})
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
        """Return the latest accepted revision, or ``None`` if there is none."""
        result = self._table.read({CONFIG_HEAD_KEY: 0})
        return result.map(
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
        """Return at most ``MAX_HISTORY_REVISIONS`` revisions, the latest first."""
        match self.config_head():
            case Success(None):
                return Success([])
            case Success(head):
                first = max(1, head.revision - MAX_HISTORY_REVISIONS + 1)
                revisions = range(head.revision, first - 1, -1)
                keys = {config_revision_key(Revision(r)): 0 for r in revisions}
                result = self._table.read(keys)
                return result.map(
                    lambda rows: [
                        decode_row(ConfigRecord, rows[key].value)
                        for key in keys
                        if key in rows
                    ]
                )
            case Failure(error):
                return Failure(error)


def config_difference(old: ConfigRecord, new: ConfigRecord) -> str:
    """Return a unified diff between two revisions, file by file."""
    files = {BASE_FILE: (old.base_text, new.base_text)}
    for site in sorted({*old.overlay_texts, *new.overlay_texts}):
        texts = (old.overlay_texts.get(site, ""), new.overlay_texts.get(site, ""))
        files[overlay_file(site)] = texts
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


def _fleet_problems(base: FleetFile, vms: list[FleetVm]) -> list[Problem]:
    """Return the problems of a configuration with the VMs that are in the fleet."""
    records = [vm.record for vm in vms if vm.record.state is not VmState.RETIRED]
    counts = Counter(record.pool for record in records)
    problems = [
        _inconsistency(
            f"pools.{pool}", f"is required, because {count} VMs are in this pool"
        )
        for pool, count in sorted(counts.items())
        if pool not in base.pools
    ]
    for name, service in base.services.items():
        count = counts[service.pool]
        if 0 < count < service.budget.min_available:
            path = f"services.{name}.budget.min_available"
            problems.append(
                _inconsistency(
                    path, f"must be at most {count}, the number of VMs in the pool"
                )
            )
    return problems


def _inconsistency(path: str, detail: str) -> Problem:
    return Problem(BASE_FILE, path, ProblemKind.INCONSISTENT, detail)

"""What the manager has read of the table, kept up to date by version."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.leases import record_member_rows
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import LeaseObserver
from corianderpitch.domain.manager import SiteSnapshot
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.vms import SiteFleet
from corianderpitch.domain.waves import Wave, WaveState
from corianderpitch.ids import DataCenterId, EntryId, WaveName
from corianderpitch.ports import Check, Row, TableService, Write, version_of
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    FLEET_PREFIX,
    MEMBER_PREFIX,
    WAVE_PREFIX,
    RowValue,
    decode_row,
    fleet_key,
)

WAVE_SCAN_INTERVAL_MS = 2000.0
MEMBER_SCAN_INTERVAL_MS = 5000.0


@dataclass(frozen=True, slots=True)
class _Decoded:
    version: int
    value: Any


class ManagerView:
    """Rows of the configuration, the fleets, the waves and the entries' leases."""

    def __init__(
        self,
        membership: Membership,
        members: MembershipTask,
        documents: DocumentTask,
        table: TableService,
        clock: Clock,
    ):
        self._membership = membership
        self._members = members
        self._documents = documents
        self._table = table
        self._clock = clock
        self._rows: dict[str, Row] = {}
        self._decoded: dict[str, _Decoded] = {}
        self._operations: dict[str, _Decoded] = {}
        self._leases = LeaseObserver()
        self._next_wave_scan_ms = 0.0
        self._next_member_scan_ms = 0.0

    def clear(self) -> None:
        """Forget every row, at the start of a term."""
        self._rows.clear()
        self._decoded.clear()
        self._operations.clear()
        self._next_wave_scan_ms = 0.0
        self._next_member_scan_ms = 0.0

    @property
    def is_complete(self) -> bool:
        """Tell whether the configuration has been read."""
        return CONFIG_HEAD_KEY in self._rows

    def refresh(self) -> bool:
        """Read the rows that have changed since the last look."""
        config = self._documents.config
        if config is None:
            return False
        keys = [CONFIG_HEAD_KEY, *(fleet_key(site) for site in config.base.sites)]
        keys += [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        known = {key: self._version(key) for key in keys}
        match self._table.read(known):
            case Success(rows):
                self._rows.update(rows)
                self._documents.offer(rows)  # plan with the version checked
            case _:
                return False
        now_ms = self._clock.now_ms()
        return self._scan_members(now_ms) and self._scan_waves(now_ms)

    def _scan_members(self, now_ms: float) -> bool:
        if now_ms < self._next_member_scan_ms:
            return True
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                record_member_rows(rows, self._members, self._leases, now_ms)
                self._next_member_scan_ms = now_ms + MEMBER_SCAN_INTERVAL_MS
                return True
        return False

    def _scan_waves(self, now_ms: float) -> bool:
        if now_ms < self._next_wave_scan_ms:
            return True
        match self._table.scan(WAVE_PREFIX):
            case Success(rows):
                for key in [k for k in self._rows if k.startswith(WAVE_PREFIX)]:
                    del self._rows[key]
                self._rows.update({row.key: row for row in rows})
                self._next_wave_scan_ms = now_ms + WAVE_SCAN_INTERVAL_MS
                return True
        return False

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

    def waves(self) -> dict[WaveName, Wave]:
        """Return every wave."""
        keys = [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        return {wave.name: wave for key in keys for wave in (self._value(Wave, key),)}

    def fleets(self) -> dict[DataCenterId, SiteFleet]:
        """Return the VMs of every data centre that has any."""
        return {
            DataCenterId(key.removeprefix(FLEET_PREFIX)): self._value(SiteFleet, key)
            for key in self._rows
            if key.startswith(FLEET_PREFIX)
        }

    def has_work(self) -> bool:
        """Tell whether an operation or a wave is under way."""
        if any(wave.state is WaveState.RUNNING for wave in self.waves().values()):
            return True
        fleet_keys = [key for key in self._rows if key.startswith(FLEET_PREFIX)]
        return any(self._has_operation(key) for key in fleet_keys)

    def _has_operation(self, key: str) -> bool:
        """Tell whether a data centre has an operation under way, once a version."""
        version = self._version(key)
        known = self._operations.get(key)
        if known is None or known.version != version:
            fleet = self._value(SiteFleet, key)
            found = any(record.has_active_operation for record in fleet.vms.values())
            known = _Decoded(version, found)
            self._operations[key] = known
        return known.value

    def sites(self) -> dict[DataCenterId, SiteSnapshot]:
        """Return every data centre with the entries whose leases are valid."""
        config = self._documents.config
        valid = self._leases.valid(self._clock.now_ms())
        return {site: self._site_snapshot(site, valid) for site in config.base.sites}

    def _site_snapshot(
        self, site: DataCenterId, valid: frozenset[EntryId]
    ) -> SiteSnapshot:
        infos = self._membership.everybody()
        members = {i.entry for i in infos if i.data_center == site}
        version = self._version(fleet_key(site))
        return SiteSnapshot(self.fleet(site), version, frozenset(members & valid))

    def fleet(self, site: DataCenterId) -> SiteFleet:
        """Return a data centre's VMs."""
        return self._value(SiteFleet, fleet_key(site)) or SiteFleet({})

    def versions(self) -> dict[str, int]:
        """Return the versions of the configuration and of every data centre's VMs."""
        return {
            key: row.version
            for key, row in self._rows.items()
            if key == CONFIG_HEAD_KEY or key.startswith(FLEET_PREFIX)
        }

    def row(self, key: str) -> Row:
        """Return a row that has been read."""
        return self._rows[key]

    def checks(self, writes: tuple[Write, ...]) -> tuple[Check, ...]:
        """Return the checks of a transaction: all that a plan rests on."""
        written = {write.key: self._version(write.key) for write in writes}
        rested_on = self.versions() | written
        return tuple(Check(key, version) for key, version in rested_on.items())

    def _version(self, key: str) -> int:
        return version_of(self._rows.get(key))

    def take_in(self, writes: tuple[Write, ...], versions: Mapping[str, int]) -> None:
        """Keep the rows that a transaction has written, and put them in force."""
        kept = [write for write in writes if write.value is not None]
        rows = {w.key: Row(w.key, versions[w.key], w.value) for w in kept}
        for write in writes:
            self._rows.pop(write.key, None)
        self._rows.update(rows)
        self._documents.offer(rows)

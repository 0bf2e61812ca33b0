"""The manager's copy of table rows, updated with the rows that have changed."""

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
class _CachedValue:
    version: int
    value: Any


class ManagerView:
    """Copy of the configuration, the fleets, the waves and the entries' leases.

    Values derived from a row are cached until the row's version changes.
    """

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
        self._decoded_values: dict[str, _CachedValue] = {}
        self._has_operation_by_key: dict[str, _CachedValue] = {}
        self._lease_observer = LeaseObserver()
        self._next_wave_scan_ms = 0.0
        self._next_member_scan_ms = 0.0

    def clear(self) -> None:
        """Discard every row, at the start of a term."""
        self._rows.clear()
        self._decoded_values.clear()
        self._has_operation_by_key.clear()
        self._next_wave_scan_ms = 0.0
        self._next_member_scan_ms = 0.0

    @property
    def is_complete(self) -> bool:
        """Return whether the configuration has been read."""
        return CONFIG_HEAD_KEY in self._rows

    def refresh(self) -> bool:
        """Read the rows that have changed since the last refresh.

        Return whether the table answered every read that was due.
        """
        config = self._documents.config
        if config is None:
            return False
        keys = [CONFIG_HEAD_KEY, *(fleet_key(site) for site in config.base.sites)]
        keys += [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        known_versions = {key: self._version(key) for key in keys}
        match self._table.read(known_versions):
            case Success(rows):
                self._rows.update(rows)
                # Plans must use the same version as the checks of their commits.
                self._documents.apply_rows(rows)
            case _:
                return False
        now_ms = self._clock.now_ms()
        return self._scan_members(now_ms) and self._scan_waves(now_ms)

    def _scan_members(self, now_ms: float) -> bool:
        if now_ms < self._next_member_scan_ms:
            return True
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                record_member_rows(rows, self._members, self._lease_observer, now_ms)
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
        """Return a row's value, which is decoded once for each version."""
        row = self._rows.get(key)
        if row is None:
            return None
        cached = self._decoded_values.get(key)
        if cached is None or cached.version != row.version:
            cached = _CachedValue(row.version, decode_row(row_type, row.value))
            self._decoded_values[key] = cached
        return cached.value

    def waves(self) -> dict[WaveName, Wave]:
        """Return every wave, by name."""
        keys = [key for key in self._rows if key.startswith(WAVE_PREFIX)]
        return {wave.name: wave for key in keys for wave in (self._value(Wave, key),)}

    def fleets(self) -> dict[DataCenterId, SiteFleet]:
        """Return the fleet of every data centre that has a fleet row."""
        return {
            DataCenterId(key.removeprefix(FLEET_PREFIX)): self._value(SiteFleet, key)
            for key in self._rows
            if key.startswith(FLEET_PREFIX)
        }

    def has_work(self) -> bool:
        """Return whether an operation is in progress or a wave is running."""
        if any(wave.state is WaveState.RUNNING for wave in self.waves().values()):
            return True
        fleet_keys = [key for key in self._rows if key.startswith(FLEET_PREFIX)]
        return any(self._has_operation(key) for key in fleet_keys)

    def _has_operation(self, key: str) -> bool:
        """Return whether a data centre has an operation in progress.

        This is computed once for each version of the row.
        """
        version = self._version(key)
        cached = self._has_operation_by_key.get(key)
        if cached is None or cached.version != version:
            fleet = self._value(SiteFleet, key)
            is_active = any(
                record.has_active_operation for record in fleet.vms.values()
            )
            cached = _CachedValue(version, is_active)
            self._has_operation_by_key[key] = cached
        return cached.value

    def sites(self) -> dict[DataCenterId, SiteSnapshot]:
        """Return every data centre, with the entries whose leases are valid."""
        config = self._documents.config
        valid = self._lease_observer.valid_entries(self._clock.now_ms())
        return {site: self._site_snapshot(site, valid) for site in config.base.sites}

    def _site_snapshot(
        self, site: DataCenterId, valid: frozenset[EntryId]
    ) -> SiteSnapshot:
        infos = self._membership.all_members()
        entries = {i.entry for i in infos if i.data_center == site}
        version = self._version(fleet_key(site))
        return SiteSnapshot(self.fleet(site), version, frozenset(entries & valid))

    def fleet(self, site: DataCenterId) -> SiteFleet:
        """Return a data centre's fleet, empty if it has no row."""
        return self._value(SiteFleet, fleet_key(site)) or SiteFleet({})

    def versions(self) -> dict[str, int]:
        """Return the versions of the configuration row and of every fleet row."""
        return {
            key: row.version
            for key, row in self._rows.items()
            if key == CONFIG_HEAD_KEY or key.startswith(FLEET_PREFIX)
        }

    def row(self, key: str) -> Row:
        """Return a row that has been read; raise ``KeyError`` for any other."""
        return self._rows[key]

    def checks(self, writes: tuple[Write, ...]) -> tuple[Check, ...]:
        """Return the checks of a transaction.

        They cover the rows that are written and all rows that a plan depends on.
        """
        written = {write.key: self._version(write.key) for write in writes}
        checked = self.versions() | written
        return tuple(Check(key, version) for key, version in checked.items())

    def _version(self, key: str) -> int:
        return version_of(self._rows.get(key))

    def apply_commit(
        self, writes: tuple[Write, ...], versions: Mapping[str, int]
    ) -> None:
        """Store the rows that a transaction has written, and put them in force."""
        kept = [write for write in writes if write.value is not None]
        rows = {w.key: Row(w.key, versions[w.key], w.value) for w in kept}
        for write in writes:
            self._rows.pop(write.key, None)
        self._rows.update(rows)
        self._documents.apply_rows(rows)

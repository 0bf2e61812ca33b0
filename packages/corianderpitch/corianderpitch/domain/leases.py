"""Observation of leases: a lease whose row stays unchanged for too long has lapsed.

The observer measures, on its own monotonic clock, the time since it first saw the
current version of a row. Clocks of different machines are therefore never compared.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderpitch.ids import EntryId

LEASE_MS = 15_000.0
ABANDONED_AFTER_MS = 60_000.0  # since the last renewal; the row may then be deleted
# Entries of other data centres may then delete the lease rows of a silent one.
SILENT_DATA_CENTER_AFTER_MS = 300_000.0


@dataclass(frozen=True, slots=True)
class _Observation:
    version: int
    unchanged_since_ms: float


class LeaseObserver:
    """Records when each entry's lease was last seen to be renewed."""

    def __init__(self):
        self._observations: dict[EntryId, _Observation] = {}

    def observe(self, versions: Mapping[EntryId, int], now_ms: float) -> None:
        """Record the row versions of one scan; drop entries that have no row."""
        for entry, version in versions.items():
            previous = self._observations.get(entry)
            if previous is None or previous.version != version:
                self._observations[entry] = _Observation(version, now_ms)
        for entry in list(self._observations):
            if entry not in versions:
                del self._observations[entry]

    def valid_entries(self, now_ms: float) -> frozenset[EntryId]:
        """Return the entries whose leases have not lapsed."""
        return frozenset(
            entry
            for entry, observation in self._observations.items()
            if now_ms - observation.unchanged_since_ms < LEASE_MS
        )

    def has_row(self, entry: EntryId) -> bool:
        """Tell whether the last scan found the row of an entry."""
        return entry in self._observations

    def is_abandoned(self, entry: EntryId, now_ms: float) -> bool:
        """Tell whether a lease has lapsed for so long that its row may be deleted."""
        observation = self._observations.get(entry)
        return (
            observation is not None
            and now_ms - observation.unchanged_since_ms >= ABANDONED_AFTER_MS
        )

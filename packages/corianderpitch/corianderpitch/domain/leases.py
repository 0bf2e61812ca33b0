"""Leases seen from outside: a row that stays unchanged for long has lapsed.

The observer uses its own monotonic clock from when it first saw a version, so
that no two clocks are ever compared.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderpitch.ids import EntryId

LEASE_MS = 15_000.0
ABANDONED_MS = 60_000.0
SILENT_SITE_MS = 300_000.0


@dataclass(frozen=True, slots=True)
class _Seen:
    version: int
    since_ms: float


class LeaseObserver:
    """When each entry's lease was last seen to be renewed."""

    def __init__(self):
        self._seen: dict[EntryId, _Seen] = {}

    def observe(self, versions: Mapping[EntryId, int], now_ms: float) -> None:
        """Take in the row versions of one scan."""
        for entry, version in versions.items():
            known = self._seen.get(entry)
            if known is None or known.version != version:
                self._seen[entry] = _Seen(version, now_ms)
        for entry in list(self._seen):
            if entry not in versions:
                del self._seen[entry]

    def valid(self, now_ms: float) -> frozenset[EntryId]:
        """Return the entries whose leases have not lapsed."""
        return frozenset(
            entry
            for entry, seen in self._seen.items()
            if now_ms - seen.since_ms < LEASE_MS
        )

    def has_row(self, entry: EntryId) -> bool:
        """Tell whether the last scan found a row of an entry."""
        return entry in self._seen

    def is_abandoned(self, entry: EntryId, now_ms: float) -> bool:
        """Tell whether a lease has lapsed so long ago that its row can go."""
        seen = self._seen.get(entry)
        return seen is not None and now_ms - seen.since_ms >= ABANDONED_MS

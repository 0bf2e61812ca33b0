"""Which entries seek a scheduler's role, and how eagerly.

The load it answers: entries are of unlike size, and a turn's peak asks more of a
holder than a small entry has. Entries with nearly as much room as the largest one
seek at once; the others look rarely, and step in only when a role has stayed free
for a while longer. A holder that is much smaller than a live candidate yields.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderpitch.ids import EntryId

PEER_SHARE = 0.7  # of the largest candidate's room, from which on an entry is its peer
LIVE_MS = 25_000.0  # a candidate that has not renewed its row for so long is gone
EAGER_INTERVAL_MS = 400.0
RESERVE_INTERVAL_MS = 2000.0
RESERVE_PATIENCE_MS = 1200.0  # three looks of an eager candidate


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that may hold the role; ``sent_ms`` is the store's time."""

    processors: float
    sent_ms: float


@dataclass(frozen=True, slots=True)
class Standing:
    """How an entry stands among the candidates.

    ``larger_sent_ms`` is when a candidate with much more room was last heard of.
    """

    is_eager: bool
    larger_sent_ms: float = 0.0

    @property
    def interval_ms(self) -> float:
        """Return how often the entry looks whether the role is free."""
        return EAGER_INTERVAL_MS if self.is_eager else RESERVE_INTERVAL_MS

    @property
    def patience_ms(self) -> float:
        """Return how much longer than its lease a role must have been free."""
        return 0.0 if self.is_eager else RESERVE_PATIENCE_MS


def standing_of(
    own_processors: float, others: Mapping[EntryId, Candidate], now_ms: float
) -> Standing:
    """Compare an entry with the live candidates.

    >>> large, small = Candidate(2.0, 0.0), Candidate(0.5, 0.0)
    >>> standing_of(0.5, {EntryId("e1"): large}, 1000.0).is_eager
    False
    >>> standing_of(0.5, {EntryId("e1"): small}, 1000.0).is_eager
    True
    """
    larger_ms = [
        other.sent_ms
        for other in others.values()
        if now_ms - other.sent_ms < LIVE_MS
        and own_processors < PEER_SHARE * other.processors
    ]
    return Standing(not larger_ms, max(larger_ms, default=0.0))

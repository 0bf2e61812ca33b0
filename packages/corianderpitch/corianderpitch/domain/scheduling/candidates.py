"""Election of the entry that holds the scheduler's role, by size.

Entries differ in size, and a small entry cannot serve the peak load of a queue as
the holder. Entries with nearly as many processors as the largest one are preferred:
they try to acquire a free role at once. The others check rarely, and acquire the role
only after it has been free for a while longer. A holder that is much smaller than a
live candidate yields the role.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderpitch.ids import EntryId

MIN_PEER_SHARE = 0.7  # of a candidate's processors; smaller entries defer to it
CANDIDATE_TIMEOUT_MS = 25_000.0  # a candidate is dead if its row is older
PREFERRED_INTERVAL_MS = 400.0
STANDBY_INTERVAL_MS = 2000.0
STANDBY_EXTRA_WAIT_MS = 1200.0  # three intervals of a preferred candidate


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that may hold the role.

    ``sent_ms`` is the store's time of the last renewal of its row.
    """

    processors: float
    sent_ms: float


@dataclass(frozen=True, slots=True)
class ElectionPriority:
    """Priority of an entry among the candidates.

    ``larger_candidate_sent_ms`` is the time of the last renewal by a candidate with
    far more processors, 0 if there is none.
    """

    is_preferred: bool
    larger_candidate_sent_ms: float = 0.0

    @property
    def interval_ms(self) -> float:
        """Return the interval at which the entry checks whether the role is free."""
        return PREFERRED_INTERVAL_MS if self.is_preferred else STANDBY_INTERVAL_MS

    @property
    def extra_wait_ms(self) -> float:
        """Return how long a role must stay free after its lease has expired."""
        return 0.0 if self.is_preferred else STANDBY_EXTRA_WAIT_MS


def election_priority(
    own_processors: float, others: Mapping[EntryId, Candidate], now_ms: float
) -> ElectionPriority:
    """Compare an entry with the live candidates.

    >>> large, small = Candidate(2.0, 0.0), Candidate(0.5, 0.0)
    >>> election_priority(0.5, {EntryId("e1"): large}, 1000.0).is_preferred
    False
    >>> election_priority(0.5, {EntryId("e1"): small}, 1000.0).is_preferred
    True
    """
    larger_sent_ms = [
        other.sent_ms
        for other in others.values()
        if now_ms - other.sent_ms < CANDIDATE_TIMEOUT_MS
        and own_processors < MIN_PEER_SHARE * other.processors
    ]
    return ElectionPriority(not larger_sent_ms, max(larger_sent_ms, default=0.0))

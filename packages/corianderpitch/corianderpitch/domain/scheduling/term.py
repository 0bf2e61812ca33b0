"""Terms of the scheduler's role, and the numbers that are issued in them."""

from dataclasses import dataclass

FENCES_PER_TERM = 1_000_000  # fence numbers available within one term
RUNS_PER_TERM = 1_000_000  # the run numbers of a later term are always higher
DEFAULT_STOP_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Term:
    """One term of the scheduler's role, from its acquisition to its loss.

    ``number`` counts the terms. ``version`` is the store's version of the row
    that began the term, so it is larger than that of any earlier term, of any role.
    ``leases_end_ms`` is the time at which all leases that earlier holders granted
    to workers have expired. ``max_lease_ms`` is the longest lease that a worker grants
    itself, whatever end it was told. ``stop_ms`` is the longest time that a worker
    takes to end a run after an order to stop it.
    """

    number: int
    version: int
    leases_end_ms: float
    max_lease_ms: float = 0.0
    stop_ms: float = DEFAULT_STOP_MS

    @property
    def fence(self) -> int:
        """Return the lowest fence number of the term."""
        return self.version * FENCES_PER_TERM

    @property
    def first_run_number(self) -> int:
        """Return a number below those of all runs of the term."""
        return self.number * RUNS_PER_TERM

"""Quotas: limits on the resources that a team's jobs use in one data centre."""

import math
from dataclasses import dataclass

from corianderpitch.domain.jobs import Shape

UNLIMITED = math.inf


@dataclass(frozen=True, slots=True)
class Quota:
    """Limits on the sum of the declared sizes of a team's running jobs.

    >>> Quota(8.0, max_accelerators=2).admits(Shape(8.0, 1024, 3))
    False
    """

    max_processors: float
    max_memory_mb: float = UNLIMITED
    max_accelerators: float = UNLIMITED

    def admits(self, used: Shape) -> bool:
        """Return whether a usage is within all limits."""
        return (
            used.processors <= self.max_processors
            and used.memory_mb <= self.max_memory_mb
            and used.accelerators <= self.max_accelerators
        )

    def dominant_share(self, used: Shape) -> float:
        """Return the largest share of a limit that the usage takes up.

        The scheduler serves the team with the smallest dominant share first, as
        in dominant resource fairness (Ghodsi et al., 2011).
        """
        return max(
            _share(used.processors, self.max_processors),
            _share(used.memory_mb, self.max_memory_mb),
            _share(used.accelerators, self.max_accelerators),
        )


def _share(used: float, limit: float) -> float:
    if used == 0:
        return 0.0
    return used / limit if limit > 0 else math.inf

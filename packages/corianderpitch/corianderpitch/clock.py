"""Clocks that return milliseconds."""

import abc
import time


class Clock(abc.ABC):
    """Source of the current time in milliseconds.

    ``now_ms`` is monotonic from an arbitrary start, and is used for deadlines and
    leases. ``wall_ms`` is Unix time and is used for display only.
    """

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(time.time() * 1000)


class BootClock(SystemClock):
    """Clock that includes the time during which the machine was suspended.

    A lease continues to expire while its holder is suspended, so leases are
    measured with this clock.
    """

    def now_ms(self) -> float:
        """Return time since boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock(Clock):
    """Clock for tests that changes only by :meth:`advance`.

    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now_ms()
    250.0
    """

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current time of this clock."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current time of this clock, rounded down."""
        return int(self._now_ms)

    def advance(self, step_ms: float) -> None:
        """Advance the clock by ``step_ms``."""
        self._now_ms += step_ms

"""The store as callers' calls see it: refused at once while it does not answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.breaker import REST_MS, Breaker
from corianderpitch.errors import (
    CommitError,
    OutcomeLost,
    PlatformError,
    PlatformUnavailable,
    RateLimited,
)
from corianderpitch.ports import Check, RowStore, Snapshot, Write

SILENT_MS = 1500.0  # followers hear of a quiet store each second
BREAKER_OPEN = PlatformUnavailable("breaker open")

log = logger("intake")

Answer = TypeVar("Answer")
Error = TypeVar("Error")


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The last call about a partition that failed; it may have been answered."""

    began_ms: float
    was_answered: bool


class GuardedStore:
    """Reads and commits behind circuit breakers, one for each partition.

    The store may not answer for some of its partitions only. That it is silent as a
    whole shows where nothing of it has been heard, also by those who follow it.
    """

    def __init__(self, store: RowStore, clock: Clock):
        self._store = store
        self._clock = clock
        self._breakers: dict[str, Breaker] = {}
        self._failures: dict[str, CallFailure] = {}
        self._next_probe_ms = 0.0

    def time_ms(self) -> float:
        """Return the store's steady clock, as estimated."""
        return self._store.time_ms()

    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition."""
        return self._guard(part, lambda: self._store.read(table, part, first, end))

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds."""
        part = checks[0].key.part
        return self._guard(part, lambda: self._store.commit(checks, writes))

    def _guard(self, part: str, call: Callable[[], Result[Answer, Error]]) -> Result:
        now_ms = self._clock.now_ms()
        breaker = self._breakers.setdefault(part, Breaker())
        if self._is_silent(now_ms) or not breaker.allows(now_ms):
            return Failure(BREAKER_OPEN)
        was_open = breaker.is_open
        result = call()
        match result:
            case Failure(
                OutcomeLost() | PlatformUnavailable() | RateLimited() as error
            ):
                was_answered = (
                    isinstance(error, PlatformUnavailable) and error.was_answered
                )
                self._failures[part] = CallFailure(now_ms, was_answered)
                breaker.fail(self._clock.now_ms())
                self._next_probe_ms = self._clock.now_ms() + REST_MS
            case _:
                breaker.succeed()
        if breaker.is_open != was_open:
            log.warning(
                "Store.", partition=part, away=not was_open, detail=repr(result)
            )
        return result

    def answers_elsewhere(self, part: str) -> bool:
        """Tell whether it was not the whole store that a call last failed for.

        A store that cannot be reached answers for none of its partitions; asking
        for another one would only let a caller wait longer.
        """
        failure = self._failures.get(part)
        if failure is None or failure.was_answered:
            return True
        answered_ms = self._store.answered_ms
        return answered_ms is not None and answered_ms > failure.began_ms

    def _is_silent(self, now_ms: float) -> bool:
        """Tell whether the store is silent; one call a rest finds out more."""
        answered_ms = self._store.answered_ms
        if answered_ms is None or now_ms - answered_ms < SILENT_MS:
            return False
        if now_ms < self._next_probe_ms:
            return True
        self._next_probe_ms = now_ms + REST_MS
        return False

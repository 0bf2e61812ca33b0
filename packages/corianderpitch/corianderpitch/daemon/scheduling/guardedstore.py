"""Store access behind circuit breakers, so that calls fail fast in an outage."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.breaker import PROBE_INTERVAL_MS, CircuitBreaker
from corianderpitch.errors import (
    CommitError,
    OutcomeLost,
    PlatformError,
    PlatformUnavailable,
    RateLimited,
)
from corianderpitch.ports import Check, RowStore, Snapshot, Write

STORE_SILENT_AFTER_MS = 1500.0  # tasks that follow the store get an answer each second
BREAKER_OPEN = PlatformUnavailable("breaker open")

log = logger("intake")

Answer = TypeVar("Answer")
Error = TypeVar("Error")


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The last failed call to a partition, and whether the store answered it."""

    began_ms: float
    was_answered: bool


class GuardedStore:
    """Reads and commits behind one circuit breaker per partition.

    An outage may affect only some of the partitions. The whole store counts as
    silent when this entry has had no answer from it for ``STORE_SILENT_AFTER_MS``,
    including the answers to tasks that follow its changes.
    """

    def __init__(self, store: RowStore, clock: Clock):
        self._store = store
        self._clock = clock
        self._breakers: dict[str, CircuitBreaker] = {}
        self._failures: dict[str, CallFailure] = {}
        self._next_probe_ms = 0.0

    @property
    def max_value_bytes(self) -> int:
        """Return how long the value of a row may be."""
        return self._store.max_value_bytes

    def time_ms(self) -> float:
        """Return the estimated time of the store's steady clock in milliseconds."""
        return self._store.time_ms()

    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition from ``first`` up to ``end`` (excluded)."""
        return self._guard(part, lambda: self._store.read(table, part, first, end))

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds; returns the new version."""
        part = checks[0].key.part
        return self._guard(part, lambda: self._store.commit(checks, writes))

    def _guard(self, part: str, call: Callable[[], Result[Answer, Error]]) -> Result:
        """Make a call unless the store is silent or the partition's breaker is open."""
        now_ms = self._clock.now_ms()
        breaker = self._breakers.setdefault(part, CircuitBreaker())
        if self._is_silent(now_ms) or not breaker.allows_call(now_ms):
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
                breaker.record_failure(self._clock.now_ms())
                self._next_probe_ms = self._clock.now_ms() + PROBE_INTERVAL_MS
            case _:
                breaker.record_success()
        if breaker.is_open != was_open:
            # An answer may hold all rows of a partition: only errors are logged.
            detail = repr(result) if isinstance(result, Failure) else "answered"
            log.warning(
                "Circuit breaker changed state.",
                partition=part,
                away=not was_open,
                detail=detail,
            )
        return result

    def can_try_other_partition(self, part: str) -> bool:
        """Tell whether a failed call may be retried in another partition.

        This is so if the store answered the failed call or any call since. A store
        that cannot be reached answers for no partition, and a retry would only
        make the caller wait longer.
        """
        failure = self._failures.get(part)
        if failure is None or failure.was_answered:
            return True
        answered_ms = self._store.last_answered_ms
        return answered_ms is not None and answered_ms > failure.began_ms

    def _is_silent(self, now_ms: float) -> bool:
        """Tell whether the store is silent; allows one probe per ``REST_MS``."""
        answered_ms = self._store.last_answered_ms
        if answered_ms is None or now_ms - answered_ms < STORE_SILENT_AFTER_MS:
            return False
        if now_ms < self._next_probe_ms:
            return True
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return False

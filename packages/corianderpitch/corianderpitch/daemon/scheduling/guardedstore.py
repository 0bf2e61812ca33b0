"""The store as callers' calls see it: refused at once while it does not answer."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.breaker import Breaker
from corianderpitch.errors import (
    CommitError,
    OutcomeLost,
    PlatformError,
    PlatformUnavailable,
    RateLimited,
)
from corianderpitch.ports import Check, RowStore, Snapshot, Write

BREAKER_OPEN = PlatformUnavailable("breaker open")

log = logger("intake")

Answer = TypeVar("Answer")
Error = TypeVar("Error")


class GuardedStore:
    """Reads and commits behind a circuit breaker."""

    def __init__(self, store: RowStore, clock: Clock):
        self._store = store
        self._clock = clock
        self._breaker = Breaker()

    def time_ms(self) -> float:
        """Return the store's steady clock, as estimated."""
        return self._store.time_ms()

    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition."""
        return self._guard(lambda: self._store.read(table, part, first, end))

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds."""
        return self._guard(lambda: self._store.commit(checks, writes))

    def _guard(self, call: Callable[[], Result[Answer, Error]]) -> Result:
        if not self._breaker.allows(self._clock.now_ms()):
            return Failure(BREAKER_OPEN)
        was_open = self._breaker.is_open
        result = call()
        match result:
            case Failure(OutcomeLost() | PlatformUnavailable() | RateLimited()):
                self._breaker.fail(self._clock.now_ms())
            case _:
                self._breaker.succeed()
        if self._breaker.is_open != was_open:
            log.warning("Store.", away=self._breaker.is_open, detail=repr(result))
        return result

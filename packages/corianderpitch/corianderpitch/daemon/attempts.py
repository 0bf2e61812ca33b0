"""Attempts of a request; each uses one permit for one exchange with an instance."""

from collections.abc import Callable

import eventlet
from eventlet.queue import LightQueue
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from corianderpitch.domain.slots import RunResult
from corianderpitch.errors import (
    InstanceDisconnected,
    InstanceError,
    InstanceRefused,
    InstanceTimedOut,
    InstanceUnreachable,
)
from corianderpitch.ports import Call, Endpoint, Exchange

RETRY_AFTER_FAILURE_MS = 500


class Attempt:
    """One exchange with an instance under a permit, which is released exactly once.

    The outcome ``NotRun`` means that the instance did not run the request.
    """

    def __init__(
        self, permits: PermitClient, endpoint: Endpoint, clock: Clock, offer: Offer
    ):
        self._permits = permits
        self._endpoint = endpoint
        self._clock = clock
        self._offer = offer
        self._started_ms = clock.now_ms()
        self._exchange: Exchange | None = None
        self.run_ms = 0.0

    def start(self, call: Call) -> NotRun | Unknown | None:
        """Send the request to the instance.

        Returns ``None`` if the request was sent, or the outcome of the attempt if
        it has already ended. The permit is released in the latter case.
        """
        result = RunResult.ABANDONED
        try:
            if not self._permits.may_start(self._offer):
                result = RunResult.UNUSED
                return NotRun(Reason.DEADLINE, RETRY_AFTER_FAILURE_MS)
            offer = self._offer
            match self._endpoint.start(offer.vm_id, offer.address, call):
                case Success(exchange):
                    self._exchange = exchange
                    return None
                case Failure(error):
                    result, outcome = _classify_error(error)
                    return outcome
        finally:
            if self._exchange is None:
                self._release(result)

    def is_silent(self, within_ms: float) -> bool:
        """Return whether the connection may be dead.

        Waits up to ``within_ms`` for the first byte of the answer. Only a reused
        connection can count as silent. On a new connection the method returns
        ``False`` at once, because the instance has just accepted it.
        """
        exchange = self._exchange
        return exchange.is_reused and not exchange.wait_for_first_byte(within_ms)

    def finish(self) -> Outcome:
        """Wait for the whole answer and release the permit."""
        result = RunResult.ABANDONED
        try:
            match self._exchange.finish():
                case Success(answered):
                    result = RunResult.COMPLETED
                    return answered
                case Failure(error):
                    result, outcome = _classify_error(error)
                    return outcome
        finally:
            self._release(result)

    def _release(self, result: RunResult) -> None:
        self.run_ms = self._clock.now_ms() - self._started_ms
        self._permits.release(self._offer, result, self.run_ms)


def race(*attempts: Callable[[], Outcome]) -> Outcome:
    """Run several attempts of one request concurrently and return the first answer.

    The other attempts are killed as soon as one is answered. If none is answered,
    the outcome is ``Unknown`` if an instance may have run any of the attempts,
    and that of the first attempt to end otherwise. An exception of an attempt is
    raised after all attempts are killed.
    """
    threads = [eventlet.spawn(attempt) for attempt in attempts]
    finished_threads = LightQueue()
    for thread in threads:
        thread.link(finished_threads.put)
    failures: list[Outcome] = []
    try:
        for _ in threads:
            outcome = finished_threads.get().wait()
            if isinstance(outcome, Answered):
                return outcome
            failures.append(outcome)
    finally:
        for thread in threads:
            thread.kill()
    unknowns = (outcome for outcome in failures if isinstance(outcome, Unknown))
    return next(unknowns, failures[0])


def _classify_error(error: InstanceError) -> tuple[RunResult, NotRun | Unknown]:
    """Return the result for the slot and the outcome for the request."""
    not_run = NotRun(Reason.NO_INSTANCE, RETRY_AFTER_FAILURE_MS)
    match error:
        case InstanceUnreachable():
            return RunResult.UNREACHABLE, not_run
        case InstanceRefused(is_leaving=True):
            return RunResult.LEAVING, not_run
        case InstanceRefused():
            return RunResult.BUSY, not_run
        case InstanceTimedOut():
            return RunResult.ABANDONED, Unknown(Reason.INSTANCE_SILENT)
        case InstanceDisconnected():
            return RunResult.ABANDONED, Unknown(Reason.INSTANCE_BROKE_OFF)

"""Attempts: one permit each, used for one exchange with an instance."""

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
    InstanceBrokeOff,
    InstanceError,
    InstanceRefused,
    InstanceSilent,
    InstanceUnreachable,
)
from corianderpitch.ports import Call, Endpoint, Exchange

RETRY_AFTER_FAILURE_MS = 500


class Attempt:
    """A permit from its grant to its release, which happens once in every case.

    An outcome ``NotRun`` means that the instance ran nothing.
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
        """Send the request; an outcome means that the attempt is already over."""
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
                    result, outcome = _judge(error)
                    return outcome
        finally:
            if self._exchange is None:
                self._release(result)

    def is_silent(self, within_ms: float) -> bool:
        """Wait for the answer to begin; tell whether its connection may be dead.

        A new connection is never silent: its other end has just confirmed it.
        """
        exchange = self._exchange
        return exchange.is_reused and not exchange.has_begun(within_ms)

    def finish(self) -> Outcome:
        """Wait for the whole answer, and give the permit back."""
        result = RunResult.ABANDONED
        try:
            match self._exchange.finish():
                case Success(answered):
                    result = RunResult.COMPLETED
                    return answered
                case Failure(error):
                    result, outcome = _judge(error)
                    return outcome
        finally:
            self._release(result)

    def _release(self, result: RunResult) -> None:
        self.run_ms = self._clock.now_ms() - self._started_ms
        self._permits.release(self._offer, result, self.run_ms)


def race(*attempts: Callable[[], Outcome]) -> Outcome:
    """Run attempts at one request side by side; the first answer ends the others.

    Without an answer the outcome is ``Unknown`` if any attempt may have run.
    """
    threads = [eventlet.spawn(attempt) for attempt in attempts]
    ended = LightQueue()
    for thread in threads:
        thread.link(ended.put)
    failures: list[Outcome] = []
    try:
        for _ in threads:
            outcome = ended.get().wait()
            if isinstance(outcome, Answered):
                return outcome
            failures.append(outcome)
    finally:
        for thread in threads:
            thread.kill()
    lost = (outcome for outcome in failures if isinstance(outcome, Unknown))
    return next(lost, failures[0])


def _judge(error: InstanceError) -> tuple[RunResult, NotRun | Unknown]:
    """Return what a failed attempt means for the slot and for the request."""
    not_run = NotRun(Reason.NO_INSTANCE, RETRY_AFTER_FAILURE_MS)
    match error:
        case InstanceUnreachable():
            return RunResult.UNREACHABLE, not_run
        case InstanceRefused(is_leaving=True):
            return RunResult.LEAVING, not_run
        case InstanceRefused():
            return RunResult.BUSY, not_run
        case InstanceSilent():
            return RunResult.ABANDONED, Unknown(Reason.INSTANCE_SILENT)
        case InstanceBrokeOff():
            return RunResult.ABANDONED, Unknown(Reason.INSTANCE_BROKE_OFF)

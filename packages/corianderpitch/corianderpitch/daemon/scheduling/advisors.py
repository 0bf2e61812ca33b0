"""Requests from the advice service which workers may run a step, call by call."""

from collections.abc import Callable

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.scheduling.advice import apply_advice, next_request
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ports import AdviceService

CALL_INTERVAL_S = 0.02
POLICY_CHECK_S = 0.2
RETRY_S = 0.1

log = logger("advice")


class AdviceTask:
    """Fetches the tickets that steps need to start, during a term."""

    def __init__(
        self,
        service: AdviceService,
        scheduler: Scheduler,
        clock: Clock,
        wake: Callable[[], None],
    ):
        self._service = service
        self._scheduler = scheduler
        self._clock = clock
        self._wake = wake

    def run(self) -> None:
        """Request advice until the thread is killed."""
        while True:
            if self._has_policies():
                eventlet.sleep(CALL_INTERVAL_S if self.request_advice() else RETRY_S)
            else:
                eventlet.sleep(POLICY_CHECK_S)

    def _has_policies(self) -> bool:
        return any(queue.advice for queue in self._scheduler.queues.values())

    def request_advice(self) -> bool:
        """Make the next call; returns ``False`` if it failed.

        Without an open question no call is made and the result is ``True``.
        """
        asked_ms = self._clock.now_ms()
        question = next_request(self._scheduler, asked_ms, self._clock.wall_ms())
        if question is None:
            return True
        match self._service.advise(question):
            case Success(advice):
                until_ms = asked_ms + advice.validity_ms
                apply_advice(self._scheduler, question, advice.allowed, until_ms)
                log.info(
                    "Advice received.",
                    job=question.job_id,
                    step=question.step,
                    asked=len(question.workers),
                    allowed=len(advice.allowed),
                    took_ms=round(self._clock.now_ms() - asked_ms, 1),
                )
                self._wake()
                return True
            case Failure(error):
                log.warning(
                    "Could not get advice.",
                    job=question.job_id,
                    step=question.step,
                    cause=repr(error),
                )
        return False

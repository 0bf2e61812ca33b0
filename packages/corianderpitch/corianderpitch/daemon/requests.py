"""Request runner: takes one request through permits and attempts to its outcome."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from corianderpitch.clock import Clock
from corianderpitch.daemon.attempts import Attempt, race
from corianderpitch.daemon.logs import is_debugging, logger
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.permits import PermitClient, Wanted
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    kind_of,
)
from corianderpitch.domain.retries import RetryBudget
from corianderpitch.domain.runtimes import RunTimeEstimator
from corianderpitch.ids import ClassName, RequestId, ServiceName, TenantName, VmId
from corianderpitch.ports import Call, Endpoint

MAX_ATTEMPTS = 3
MIN_SILENCE_MS = 250.0
SILENCE_QUANTILE = 0.99
SILENCE_FACTOR = 3.0
SILENCE_SHARE = 0.5

log = logger("requests")


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request; ``timeout_ms`` counts from when it was read whole."""

    request_id: RequestId
    service: ServiceName
    tenant: TenantName
    class_name: ClassName
    timeout_ms: float
    is_idempotent: bool
    content_type: str
    body: bytes


class RequestRunner:
    """Runs requests on instances, with retries where they are harmless."""

    def __init__(
        self,
        permits: PermitClient,
        endpoint: Endpoint,
        metrics: Metrics,
        clock: Clock,
        idle_limit: Callable[[ServiceName], int],
    ):
        self._idle_limit = idle_limit
        self._permits = permits
        self._endpoint = endpoint
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget()
        self._run_times: defaultdict[ServiceName, RunTimeEstimator] = defaultdict(
            RunTimeEstimator
        )

    def run(self, request: Request) -> Outcome:
        """Return the request's one outcome, by its deadline."""
        started_ms = self._clock.now_ms()
        outcome = self._attempts(request, started_ms + request.timeout_ms)
        self._metrics.record_outcome(
            request.service,
            request.tenant,
            request.class_name,
            outcome,
            self._clock.now_ms() - started_ms,
        )
        if is_debugging():
            log.debug(
                "Request {request_id} ended: {outcome}.",
                request_id=request.request_id,
                outcome=kind_of(outcome).value,
            )
        return outcome

    def _attempts(self, request: Request, deadline_ms: float) -> Outcome:
        """Try until there is an outcome that another attempt may not change.

        Once an attempt may have run, no later failure is reported as "not
        run", and connections are not reused: what broke one may have broken
        others.
        """
        self._budget.record_first_attempt()
        tried: set[VmId] = set()
        lost: Unknown | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            offer = self._acquire(request, deadline_ms, tried)
            if isinstance(offer, NotRun):
                return lost or offer
            may_reuse = request.is_idempotent and lost is None
            outcome = self._attempt(request, offer, deadline_ms, may_reuse, tried)
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, Unknown):
                lost = outcome
            may_repeat = request.is_idempotent or isinstance(outcome, NotRun)
            is_last = attempt == MAX_ATTEMPTS
            if not may_repeat or is_last or not self._budget.try_spend():
                break
        return lost or outcome

    def _acquire(
        self, request: Request, deadline_ms: float, tried: set[VmId]
    ) -> Offer | NotRun:
        """Get a permit for an instance that was not tried yet."""
        asked_ms = self._clock.now_ms()
        wanted = Wanted(
            request.request_id,
            request.service,
            request.tenant,
            request.class_name,
            deadline_ms,
            frozenset(tried),
        )
        offer = self._permits.acquire(wanted)
        if isinstance(offer, Offer):
            tried.add(offer.vm_id)
            wait_ms = self._clock.now_ms() - asked_ms
            self._metrics.record_permit(request.service, request.class_name, wait_ms)
        return offer

    def _attempt(
        self,
        request: Request,
        offer: Offer,
        deadline_ms: float,
        may_reuse: bool,
        tried: set[VmId],
    ) -> Outcome:
        """Use one permit, and a second one beside it if the first stays silent.

        A silent connection may have lost its other end, or the run may just be
        slow: the first attempt goes on, and whichever answers first wins.
        """
        attempt = Attempt(self._permits, self._endpoint, self._clock, offer)
        outcome = self._start(attempt, request, offer, deadline_ms, may_reuse)
        if outcome is not None:
            return outcome
        silence_ms = self._silence_ms(request.service, deadline_ms)
        if attempt.is_silent(silence_ms) and self._budget.try_spend():
            return race(
                lambda: self._finish(attempt, request),
                lambda: self._second_attempt(request, deadline_ms, tried),
            )
        return self._finish(attempt, request)

    def _second_attempt(
        self, request: Request, deadline_ms: float, tried: set[VmId]
    ) -> Outcome:
        """Try another instance over a new connection."""
        offer = self._acquire(request, deadline_ms, tried)
        if isinstance(offer, NotRun):
            return offer
        attempt = Attempt(self._permits, self._endpoint, self._clock, offer)
        outcome = self._start(attempt, request, offer, deadline_ms, may_reuse=False)
        return outcome or self._finish(attempt, request)

    def _start(
        self,
        attempt: Attempt,
        request: Request,
        offer: Offer,
        deadline_ms: float,
        may_reuse: bool,
    ) -> NotRun | Unknown | None:
        if is_debugging():
            log.debug(
                "Request {request_id} goes to {vm_id}.",
                request_id=request.request_id,
                vm_id=offer.vm_id,
            )
        call = Call(
            request.request_id,
            request.content_type,
            request.body,
            deadline_ms - self._clock.now_ms(),
            self._idle_limit(request.service),
            is_once=not may_reuse,
        )
        return attempt.start(call)

    def _finish(self, attempt: Attempt, request: Request) -> Outcome:
        """Wait for an attempt's answer and learn from its run time."""
        outcome = attempt.finish()
        if isinstance(outcome, Answered):
            self._run_times[request.service].add(attempt.run_ms)
            self._metrics.record_run(
                request.service, request.class_name, attempt.run_ms
            )
        return outcome

    def _silence_ms(self, service: ServiceName, deadline_ms: float) -> float:
        """Return after which time a reused connection counts as silent.

        At most half of the time left, so that a second attempt can be in time.
        """
        slow_run_ms = self._run_times[service].quantile_ms(SILENCE_QUANTILE)
        remaining_ms = deadline_ms - self._clock.now_ms()
        silence_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * slow_run_ms)
        return max(0.0, min(silence_ms, SILENCE_SHARE * remaining_ms))

"""Request runner: acquires permits for a request and attempts it until its outcome."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from corianderpitch.clock import Clock
from corianderpitch.daemon.attempts import Attempt, race
from corianderpitch.daemon.logs import is_debug_enabled, logger
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.permits import PermitClient, PermitDemand
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    outcome_kind,
)
from corianderpitch.domain.retries import RetryBudget
from corianderpitch.domain.runtimes import RunTimeEstimator
from corianderpitch.ids import ClassName, RequestId, ServiceName, TenantName, VmId
from corianderpitch.ports import Call, Endpoint

MAX_ATTEMPTS = 3
MIN_SILENCE_MS = 250.0
SILENCE_QUANTILE = 0.99
SILENCE_FACTOR = 3.0
MAX_SILENCE_SHARE = 0.5

log = logger("requests")


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request; ``timeout_ms`` counts from when it was read completely."""

    request_id: RequestId
    service: ServiceName
    tenant: TenantName
    class_name: ClassName
    timeout_ms: float
    is_idempotent: bool
    content_type: str
    body: bytes


class RequestRunner:
    """Runs requests on instances and retries them where that is safe."""

    def __init__(
        self,
        permits: PermitClient,
        endpoint: Endpoint,
        metrics: Metrics,
        clock: Clock,
        idle_connection_limit: Callable[[ServiceName], int],
    ):
        self._idle_connection_limit = idle_connection_limit
        self._permits = permits
        self._endpoint = endpoint
        self._metrics = metrics
        self._clock = clock
        self._retry_budget = RetryBudget()
        self._run_times: defaultdict[ServiceName, RunTimeEstimator] = defaultdict(
            RunTimeEstimator
        )

    def run(self, request: Request) -> Outcome:
        """Run a request and return its only outcome, by its deadline."""
        started_ms = self._clock.now_ms()
        outcome = self._run_attempts(request, started_ms + request.timeout_ms)
        self._metrics.record_outcome(
            request.service,
            request.tenant,
            request.class_name,
            outcome,
            self._clock.now_ms() - started_ms,
        )
        if is_debug_enabled():
            log.debug(
                "Request {request_id} ended: {outcome}.",
                request_id=request.request_id,
                outcome=outcome_kind(outcome).value,
            )
        return outcome

    def _run_attempts(self, request: Request, deadline_ms: float) -> Outcome:
        """Attempt a request until it is answered or may not be retried.

        Once an attempt may have run, a later failure is never reported as "not
        run". Connections are not reused from then on, because the fault that broke
        one may have broken others.
        """
        self._retry_budget.record_first_attempt()
        tried_vms: set[VmId] = set()
        unknown: Unknown | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            offer = self._acquire(request, deadline_ms, tried_vms)
            if isinstance(offer, NotRun):
                return unknown or offer
            may_reuse_connection = request.is_idempotent and unknown is None
            outcome = self._run_attempt(
                request, offer, deadline_ms, may_reuse_connection, tried_vms
            )
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, Unknown):
                unknown = outcome
            may_retry = request.is_idempotent or isinstance(outcome, NotRun)
            is_last_attempt = attempt == MAX_ATTEMPTS
            if not may_retry or is_last_attempt or not self._retry_budget.try_spend():
                break
        return unknown or outcome

    def _acquire(
        self, request: Request, deadline_ms: float, tried_vms: set[VmId]
    ) -> Offer | NotRun:
        """Acquire a permit, if possible for an instance that was not tried yet."""
        requested_ms = self._clock.now_ms()
        demand = PermitDemand(
            request.request_id,
            request.service,
            request.tenant,
            request.class_name,
            deadline_ms,
            frozenset(tried_vms),
        )
        offer = self._permits.acquire(demand)
        if isinstance(offer, Offer):
            tried_vms.add(offer.vm_id)
            wait_ms = self._clock.now_ms() - requested_ms
            self._metrics.record_permit(request.service, request.class_name, wait_ms)
        return offer

    def _run_attempt(
        self,
        request: Request,
        offer: Offer,
        deadline_ms: float,
        may_reuse_connection: bool,
        tried_vms: set[VmId],
    ) -> Outcome:
        """Run one attempt, and a concurrent second one if the first stays silent.

        The other end of a silent connection may have exited, or the run may only
        be slow. The first attempt therefore continues, and the first answer of the
        two is returned.
        """
        attempt = Attempt(self._permits, self._endpoint, self._clock, offer)
        outcome = self._start_attempt(
            attempt, request, offer, deadline_ms, may_reuse_connection
        )
        if outcome is not None:
            return outcome
        silence_ms = self._silence_ms(request.service, deadline_ms)
        if attempt.is_silent(silence_ms) and self._retry_budget.try_spend():
            return race(
                lambda: self._finish_attempt(attempt, request),
                lambda: self._run_second_attempt(request, deadline_ms, tried_vms),
            )
        return self._finish_attempt(attempt, request)

    def _run_second_attempt(
        self, request: Request, deadline_ms: float, tried_vms: set[VmId]
    ) -> Outcome:
        """Try another instance over a new connection."""
        offer = self._acquire(request, deadline_ms, tried_vms)
        if isinstance(offer, NotRun):
            return offer
        attempt = Attempt(self._permits, self._endpoint, self._clock, offer)
        outcome = self._start_attempt(
            attempt, request, offer, deadline_ms, may_reuse_connection=False
        )
        return outcome or self._finish_attempt(attempt, request)

    def _start_attempt(
        self,
        attempt: Attempt,
        request: Request,
        offer: Offer,
        deadline_ms: float,
        may_reuse_connection: bool,
    ) -> NotRun | Unknown | None:
        if is_debug_enabled():
            log.debug(
                "Sending request {request_id} to {vm_id}.",
                request_id=request.request_id,
                vm_id=offer.vm_id,
            )
        call = Call(
            request.request_id,
            request.content_type,
            request.body,
            deadline_ms - self._clock.now_ms(),
            self._idle_connection_limit(request.service),
            needs_new_connection=not may_reuse_connection,
        )
        return attempt.start(call)

    def _finish_attempt(self, attempt: Attempt, request: Request) -> Outcome:
        """Wait for an attempt's answer and record its run time."""
        outcome = attempt.finish()
        if isinstance(outcome, Answered):
            self._run_times[request.service].add(attempt.run_ms)
            self._metrics.record_run(
                request.service, request.class_name, attempt.run_ms
            )
        return outcome

    def _silence_ms(self, service: ServiceName, deadline_ms: float) -> float:
        """Return the time, in ms, after which a reused connection counts as silent.

        It is at most ``MAX_SILENCE_SHARE`` of the time until the deadline, so that
        a second attempt can still be answered in time.
        """
        slow_run_ms = self._run_times[service].quantile_ms(SILENCE_QUANTILE)
        remaining_ms = deadline_ms - self._clock.now_ms()
        silence_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * slow_run_ms)
        return max(0.0, min(silence_ms, MAX_SILENCE_SHARE * remaining_ms))

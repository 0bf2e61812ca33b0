"""Request runner: takes one request through permits and attempts to its outcome."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import is_debugging, logger
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.permits import PermitClient, Wanted
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    kind_of,
)
from corianderpitch.domain.retries import RetryBudget
from corianderpitch.domain.runtimes import RunTimeEstimator
from corianderpitch.domain.slots import RunResult
from corianderpitch.errors import (
    InstanceBrokeOff,
    InstanceError,
    InstanceRefused,
    InstanceSilent,
    InstanceUnreachable,
)
from corianderpitch.ids import ClassName, RequestId, ServiceName, TenantName, VmId
from corianderpitch.ports import Call, Endpoint

RETRY_AFTER_FAILURE_MS = 500
MAX_ATTEMPTS = 3
MIN_SILENCE_MS = 250.0
SILENCE_QUANTILE = 0.99
SILENCE_FACTOR = 3.0

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
        run".
        """
        self._budget.record_first_attempt()
        retries = _Retries(self._budget)
        excluded: frozenset[VmId] = frozenset()
        lost: Unknown | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            offer = self._acquire(request, deadline_ms, excluded)
            if isinstance(offer, NotRun):
                return lost or offer
            outcome = self._attempt(
                request, offer, deadline_ms, retries if lost is None else None
            )
            if isinstance(outcome, Answered):
                return outcome
            if isinstance(outcome, Unknown):
                lost = outcome
            may_repeat = request.is_idempotent or isinstance(outcome, NotRun)
            is_last = attempt == MAX_ATTEMPTS
            if not may_repeat or is_last or not retries.take():
                return lost or outcome
            excluded |= {offer.vm_id}
        return lost or NotRun(Reason.NO_INSTANCE, RETRY_AFTER_FAILURE_MS)

    def _acquire(
        self, request: Request, deadline_ms: float, excluded: frozenset[VmId]
    ) -> Offer | NotRun:
        asked_ms = self._clock.now_ms()
        wanted = Wanted(
            request.request_id,
            request.service,
            request.tenant,
            request.class_name,
            deadline_ms,
            excluded,
        )
        offer = self._permits.acquire(wanted)
        if isinstance(offer, Offer):
            wait_ms = self._clock.now_ms() - asked_ms
            self._metrics.record_permit(request.service, request.class_name, wait_ms)
        return offer

    def _attempt(
        self,
        request: Request,
        offer: Offer,
        deadline_ms: float,
        retries: "_Retries | None",
    ) -> Outcome:
        """Use one permit; ``NotRun`` means that the instance ran nothing.

        Without ``retries``, after an attempt that was lost, connections are not
        reused: what broke one may have broken others.
        """
        started_ms = self._clock.now_ms()
        if is_debugging():
            log.debug(
                "Request {request_id} goes to {vm_id}.",
                request_id=request.request_id,
                vm_id=offer.vm_id,
            )
        if not self._permits.may_start(offer):
            self._permits.release(offer, RunResult.UNUSED, 0.0)
            return NotRun(Reason.DEADLINE, RETRY_AFTER_FAILURE_MS)
        remaining_ms = deadline_ms - started_ms
        silence_ms = self._silence_ms(request.service)
        has_time_for_another = silence_ms < remaining_ms / 2.0
        may_reuse = request.is_idempotent and retries is not None
        call = Call(
            request.request_id,
            request.content_type,
            request.body,
            remaining_ms,
            silence_ms,
            self._idle_limit(request.service),
            is_once=not may_reuse,
            may_give_up=lambda: (
                may_reuse and has_time_for_another and retries.reserve()
            ),
        )
        result = RunResult.ABANDONED
        run_ms = 0.0
        try:
            answer = self._endpoint.run(offer.vm_id, offer.address, call)
            run_ms = self._clock.now_ms() - started_ms
            match answer:
                case Success(answered):
                    result = RunResult.COMPLETED
                    self._run_times[request.service].add(run_ms)
                    self._metrics.record_run(
                        request.service, request.class_name, run_ms
                    )
                    return answered
                case Failure(error):
                    result, outcome = _judge(error)
                    return outcome
        finally:
            self._permits.release(offer, result, run_ms)

    def _silence_ms(self, service: ServiceName) -> float:
        """Return after which time a reused connection counts as silent."""
        slow_run_ms = self._run_times[service].quantile_ms(SILENCE_QUANTILE)
        return max(MIN_SILENCE_MS, SILENCE_FACTOR * slow_run_ms)


class _Retries:
    """The retries of one request, taken from the budget of all."""

    def __init__(self, budget: RetryBudget):
        self._budget = budget
        self._is_reserved = False

    def reserve(self) -> bool:
        """Take a retry before an attempt is given up for it."""
        if not self._is_reserved:
            self._is_reserved = self._budget.try_spend()
        return self._is_reserved

    def take(self) -> bool:
        """Use the reserved retry, or take one."""
        if self._is_reserved:
            self._is_reserved = False
            return True
        return self._budget.try_spend()


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

"""Rate limit and backoff for a daemon's requests to the platform.

The platform's rate limits apply to all entries together, so each daemon limits
itself to a share, by a token bucket. After a failed request it waits with
exponential backoff and full jitter (Brooker, 2015) before it sends another.
"""

import random
from collections.abc import Callable
from typing import TypeVar

import eventlet
from returns.result import Failure, Result

from corianderpitch.clock import Clock
from corianderpitch.domain.jobs import Worker
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState
from corianderpitch.errors import PlatformError, PlatformUnavailable
from corianderpitch.ids import DataCenterId, OperationId, TaskId
from corianderpitch.ports import (
    Check,
    Row,
    TableService,
    TaskChanges,
    TaskSpec,
    VmActions,
    VmList,
    Workers,
    Write,
)

RATE_PER_S = 50.0
BURST_REQUESTS = 25.0
BACKOFF_MIN_MS = 100.0
BACKOFF_MAX_MS = 5000.0

Value = TypeVar("Value")


class RateLimitedPlatform(TableService, VmList, VmActions, Workers):
    """The platform's services, limited to this daemon's share of the request rate.

    A call that exceeds the rate waits. During a backoff, calls fail at once with
    ``PlatformUnavailable``.
    """

    def __init__(
        self,
        table: TableService,
        vm_list: VmList,
        vm_actions: VmActions,
        workers: Workers,
        clock: Clock,
        rng: random.Random,
    ):
        self._table = table
        self._vm_list = vm_list
        self._vm_actions = vm_actions
        self._workers = workers
        self._clock = clock
        self._rng = rng
        self._tokens = BURST_REQUESTS
        self._last_refill_ms = clock.now_ms()
        self._backoff_until_ms = 0.0
        self._consecutive_failures = 0
        self._last_success_ms: float | None = None
        self.request_count = 0

    @property
    def last_answer_age_ms(self) -> float | None:
        """Return the time since the last call without a platform error.

        Returns ``None`` if there was no such call.
        """
        if self._last_success_ms is None:
            return None
        return self._clock.now_ms() - self._last_success_ms

    @property
    def is_reachable(self) -> bool:
        """Return whether the last call ended without a platform error."""
        return self._last_success_ms is not None and self._consecutive_failures == 0

    def read(
        self, known_versions: dict[str, int]
    ) -> Result[dict[str, Row], PlatformError]:
        """Read several rows."""
        return self._call_platform(lambda: self._table.read(known_versions))

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows under a prefix."""
        return self._call_platform(lambda: self._table.scan(prefix))

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], object]:
        """Write all rows if every check holds."""
        return self._call_platform(lambda: self._table.commit(checks, writes))

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM that the platform lists."""
        return self._call_platform(self._vm_list.list_vms)

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Start a VM action."""
        return self._call_platform(lambda: self._vm_actions.start(action))

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the current state of a VM action."""
        return self._call_platform(lambda: self._vm_actions.state(operation_id))

    def list_workers(
        self, data_center: DataCenterId
    ) -> Result[list[Worker], PlatformError]:
        """Return the workers of a data centre."""
        return self._call_platform(lambda: self._workers.list_workers(data_center))

    def changed_tasks(
        self, data_center: DataCenterId, cursor: int
    ) -> Result[TaskChanges, PlatformError]:
        """Return the tasks that changed after ``cursor``."""
        return self._call_platform(
            lambda: self._workers.changed_tasks(data_center, cursor)
        )

    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task under a lease."""
        return self._call_platform(lambda: self._workers.start_task(spec))

    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Renew the leases of tasks."""
        return self._call_platform(
            lambda: self._workers.renew_tasks(task_ids, lease_ms)
        )

    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a task."""
        return self._call_platform(
            lambda: self._workers.stop_task(task_id, has_checkpoint)
        )

    def _call_platform(
        self, call: Callable[[], Result[Value, object]]
    ) -> Result[Value, object]:
        if self._clock.now_ms() < self._backoff_until_ms:
            return Failure(PlatformUnavailable("backing off"))
        self._acquire_token()
        self.request_count += 1
        result = call()
        match result:
            case Failure(error) if isinstance(error, PlatformError):
                self._back_off()
            case _:
                self._consecutive_failures = 0
                self._last_success_ms = self._clock.now_ms()
        return result

    def _acquire_token(self) -> None:
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._last_refill_ms) * RATE_PER_S / 1000.0
        self._tokens = min(BURST_REQUESTS, self._tokens + refill) - 1.0
        self._last_refill_ms = now_ms
        if self._tokens < 0.0:
            eventlet.sleep(-self._tokens / RATE_PER_S)

    def _back_off(self) -> None:
        self._consecutive_failures += 1
        max_delay_ms = min(
            BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2**self._consecutive_failures
        )
        delay_ms = self._rng.uniform(0.0, max_delay_ms)
        self._backoff_until_ms = self._clock.now_ms() + delay_ms

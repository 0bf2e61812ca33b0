"""Pace of a daemon's platform traffic: a rate share and a backoff.

The platform's limits are for all entries together, so each daemon keeps to a
share. After a failure it waits with exponential backoff and full jitter
(Brooker, 2015) before it asks again.
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
BURST = 25.0
BACKOFF_MIN_MS = 100.0
BACKOFF_MAX_MS = 5000.0

Value = TypeVar("Value")


class PacedPlatform(TableService, VmList, VmActions, Workers):
    """The platform's services behind this daemon's share of the rate.

    While the backoff lasts, calls fail at once with ``PlatformUnavailable``.
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
        self._tokens = BURST
        self._refilled_ms = clock.now_ms()
        self._blocked_until_ms = 0.0
        self._failures = 0
        self._last_success_ms: float | None = None
        self.requests = 0

    @property
    def age_ms(self) -> float | None:
        """Return the time since the platform last answered."""
        if self._last_success_ms is None:
            return None
        return self._clock.now_ms() - self._last_success_ms

    @property
    def is_reachable(self) -> bool:
        """Tell whether the last call was answered."""
        return self._last_success_ms is not None and self._failures == 0

    def read(self, known: dict[str, int]) -> Result[dict[str, Row], PlatformError]:
        """Read several rows."""
        return self._paced(lambda: self._table.read(known))

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows under a prefix."""
        return self._paced(lambda: self._table.scan(prefix))

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], object]:
        """Write all rows if every check holds."""
        return self._paced(lambda: self._table.commit(checks, writes))

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM that the platform knows."""
        return self._paced(self._vm_list.list_vms)

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Start a VM action."""
        return self._paced(lambda: self._vm_actions.start(action))

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return how far a VM action has come."""
        return self._paced(lambda: self._vm_actions.state(operation_id))

    def list_workers(
        self, data_center: DataCenterId
    ) -> Result[list[Worker], PlatformError]:
        """Return the workers of a data centre."""
        return self._paced(lambda: self._workers.list_workers(data_center))

    def changed_tasks(
        self, data_center: DataCenterId, cursor: int
    ) -> Result[TaskChanges, PlatformError]:
        """Return the tasks that have changed since ``cursor``."""
        return self._paced(lambda: self._workers.changed_tasks(data_center, cursor))

    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task under a lease."""
        return self._paced(lambda: self._workers.start_task(spec))

    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Renew the leases of tasks."""
        return self._paced(lambda: self._workers.renew_tasks(task_ids, lease_ms))

    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a task."""
        return self._paced(lambda: self._workers.stop_task(task_id, has_checkpoint))

    def _paced(
        self, call: Callable[[], Result[Value, object]]
    ) -> Result[Value, object]:
        if self._clock.now_ms() < self._blocked_until_ms:
            return Failure(PlatformUnavailable("backing off"))
        self._take_token()
        self.requests += 1
        result = call()
        match result:
            case Failure(error) if isinstance(error, PlatformError):
                self._back_off()
            case _:
                self._failures = 0
                self._last_success_ms = self._clock.now_ms()
        return result

    def _take_token(self) -> None:
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._refilled_ms) * RATE_PER_S / 1000.0
        self._tokens = min(BURST, self._tokens + earned) - 1.0
        self._refilled_ms = now_ms
        if self._tokens < 0.0:
            eventlet.sleep(-self._tokens / RATE_PER_S)

    def _back_off(self) -> None:
        self._failures += 1
        ceiling_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2**self._failures)
        pause_ms = self._rng.uniform(0.0, ceiling_ms)
        self._blocked_until_ms = self._clock.now_ms() + pause_ms

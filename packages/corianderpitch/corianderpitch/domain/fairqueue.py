"""Queue of requests: fair shares between flows, earliest deadline first in a flow.

Each pair of tenant and class is a flow. Flows share the service in proportion to
their weights by start-time fair queueing (Goyal, Vin and Cheng, 1996). Within a
flow, the request with the earliest deadline is served first.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from corianderpitch.ids import ClassName, EntryId, RequestId, TenantName, VmId

FlowKey = tuple[TenantName, ClassName]


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a permit.

    ``deadline_ms`` and ``arrived_ms`` are on the clock of the queue's owner.
    ``excluded`` holds the VMs whose instances failed an earlier attempt.
    """

    request_id: RequestId
    member: EntryId
    tenant: TenantName
    class_name: ClassName
    deadline_ms: float
    arrived_ms: float
    excluded: frozenset[VmId] = frozenset()

    @property
    def flow_key(self) -> FlowKey:
        """Return the flow that the request belongs to."""
        return (self.tenant, self.class_name)


@dataclass(slots=True)
class _Flow:
    weight: float
    finish_tag: float = 0.0
    heap: list[tuple[float, int, QueuedRequest]] = field(default_factory=list)


class FairQueue:
    """Queued requests in the order in which they should start."""

    def __init__(self):
        self._flows: dict[FlowKey, _Flow] = {}
        self._index: dict[RequestId, QueuedRequest] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._index)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._index

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._index.values())

    def push(self, request: QueuedRequest, weight: float = 1.0) -> None:
        """Add a request to its flow and set the flow's weight."""
        flow = self._flows.setdefault(request.flow_key, _Flow(weight))
        flow.weight = weight
        if not flow.heap:
            flow.finish_tag = max(flow.finish_tag, self._virtual_time)
        entry = (request.deadline_ms, next(self._sequence), request)
        heapq.heappush(flow.heap, entry)
        self._index[request.request_id] = request

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, or ``None`` if the queue is empty."""
        next_key = self._next_flow()
        if next_key is None:
            return None
        flow = self._flows[next_key]
        request = heapq.heappop(flow.heap)[2]
        self._virtual_time = flow.finish_tag
        flow.finish_tag += 1.0 / flow.weight
        del self._index[request.request_id]
        self._delete_if_idle(next_key)
        return request

    def peek(self) -> QueuedRequest | None:
        """Return the next request without removing it, or ``None`` if there is none."""
        next_key = self._next_flow()
        return self._flows[next_key].heap[0][2] if next_key is not None else None

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove and return a request, or return ``None`` if its id is unknown.

        The request stays in the heap of its flow until it reaches the head.
        """
        return self._index.pop(request_id, None)

    def estimate_ahead(self, flow_key: FlowKey, deadline_ms: float) -> float:
        """Estimate how many queued requests start before one with this deadline.

        The estimate counts the requests of the same flow that are due no later.
        For every other flow, it adds as many requests as the flow's weight allows
        in the meantime.
        """
        own = self._flows.get(flow_key)
        own_weight = own.weight if own else 1.0
        own_ahead = 0
        if own:
            own_ahead = sum(
                1
                for due_ms, _, request in own.heap
                if due_ms <= deadline_ms and request.request_id in self._index
            )
        total = float(own_ahead)
        for key, flow in self._flows.items():
            if key != flow_key:
                share = (own_ahead + 1) * flow.weight / own_weight
                total += min(float(len(flow.heap)), share)
        return total

    def _next_flow(self) -> FlowKey | None:
        best: tuple[float, FlowKey] | None = None
        for key in list(self._flows):
            flow = self._flows[key]
            self._drop_removed(flow)
            if not flow.heap:
                self._delete_if_idle(key)
                continue
            if best is None or (flow.finish_tag, key) < best:
                best = (flow.finish_tag, key)
        return best[1] if best else None

    def _drop_removed(self, flow: _Flow) -> None:
        while (
            flow.heap
            and self._index.get(flow.heap[0][2].request_id) is not (flow.heap[0][2])
        ):
            heapq.heappop(flow.heap)

    def _delete_if_idle(self, key: FlowKey) -> None:
        flow = self._flows[key]
        if not flow.heap and flow.finish_tag <= self._virtual_time:
            del self._flows[key]

"""Queue of waiting requests: earliest deadline first within fair shares.

Each (tenant, class) pair is a flow. Flows share the service in proportion to
their weights by start-time fair queueing (Goyal, Vin and Cheng, 1996); inside
a flow the earliest deadline goes first.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from corianderpitch.ids import ClassName, EntryId, RequestId, TenantName, VmId

FlowKey = tuple[TenantName, ClassName]


@dataclass(slots=True)
class Waiting:
    """A request that waits for a permit.

    ``deadline_ms`` is on the clock of the queue's owner. ``excluded`` holds
    instances that failed an earlier attempt.
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
    heap: list[tuple[float, int, Waiting]] = field(default_factory=list)


class FairQueue:
    """Waiting requests in the order in which they should start."""

    def __init__(self):
        self._flows: dict[FlowKey, _Flow] = {}
        self._index: dict[RequestId, Waiting] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._index)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._index

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._index.values())

    def push(self, waiting: Waiting, weight: float = 1.0) -> None:
        """Add a request to its flow; ``weight`` is the flow's share."""
        flow = self._flows.setdefault(waiting.flow_key, _Flow(weight))
        flow.weight = weight
        if not flow.heap:
            flow.finish_tag = max(flow.finish_tag, self._virtual_time)
        entry = (waiting.deadline_ms, next(self._sequence), waiting)
        heapq.heappush(flow.heap, entry)
        self._index[waiting.request_id] = waiting

    def pop(self) -> Waiting | None:
        """Remove and return the next request, or ``None`` when empty."""
        best_key = self._next_flow()
        if best_key is None:
            return None
        flow = self._flows[best_key]
        waiting = heapq.heappop(flow.heap)[2]
        self._virtual_time = flow.finish_tag
        flow.finish_tag += 1.0 / flow.weight
        del self._index[waiting.request_id]
        self._forget_if_idle(best_key)
        return waiting

    def peek(self) -> Waiting | None:
        """Return the next request without removing it."""
        best_key = self._next_flow()
        return self._flows[best_key].heap[0][2] if best_key is not None else None

    def remove(self, request_id: RequestId) -> Waiting | None:
        """Remove a request wherever it stands; unknown ids are ignored."""
        return self._index.pop(request_id, None)

    def ahead_of(self, flow_key: FlowKey, deadline_ms: float) -> float:
        """Estimate how many requests start before a new one would.

        Counts the flow's own requests that are due no later, and as many of
        every other flow as its weight allows in the meantime.
        """
        own = self._flows.get(flow_key)
        own_weight = own.weight if own else 1.0
        own_ahead = 0
        if own:
            own_ahead = sum(
                1
                for due_ms, _, waiting in own.heap
                if due_ms <= deadline_ms and waiting.request_id in self._index
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
                self._forget_if_idle(key)
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

    def _forget_if_idle(self, key: FlowKey) -> None:
        flow = self._flows[key]
        if not flow.heap and flow.finish_tag <= self._virtual_time:
            del self._flows[key]

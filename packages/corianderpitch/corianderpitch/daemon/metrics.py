"""Metrics of an entry, in the Prometheus text format."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, render
from aioprometheus.collectors import Registry

from corianderpitch.domain.outcomes import Outcome, outcome_kind
from corianderpitch.ids import ClassName, ServiceName, TenantName
from corianderpitch.messages import ServiceStatus

PREFIX = "corianderpitch"
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class MeterSet:
    """Counters, gauges and histograms of one registry."""

    def __init__(self):
        self._registry = Registry()

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f"{PREFIX}_{name}", help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"{PREFIX}_{name}", help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            f"{PREFIX}_{name}", help_text, registry=self._registry, buckets=BUCKETS_MS
        )

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text and their content type."""
        body, headers = render(self._registry, [])
        return body, headers["Content-Type"]


class Metrics(MeterSet):
    """Metrics of one entry.

    Functions registered with ``on_render`` set the gauges just before the metrics
    are rendered.
    """

    def __init__(self):
        super().__init__()
        self._outcomes = self._counter("outcomes_total", "Requests by outcome.")
        self._wait_ms = self._histogram("wait_ms", "Time until a permit.")
        self._run_ms = self._histogram("run_ms", "Time on an instance.")
        self._total_ms = self._histogram("total_ms", "Time to the outcome.")
        self._tenant_ms = self._histogram(
            "tenant_total_ms", "Time to the outcome, by tenant."
        )
        self._queue = self._gauge("queue_requests", "Requests that wait.")
        self._slots = self._gauge("slots", "Slots by service and state.")
        self._peer_bytes = self._gauge(
            "peer_sent_bytes", "Bytes sent to other entries."
        )
        self._platform_requests = self._gauge(
            "platform_requests", "Requests sent to the platform."
        )
        self._refreshers: list[Callable[[], None]] = []

    def on_render(self, refresh: Callable[[], None]) -> None:
        """Register a function that is called before each rendering."""
        self._refreshers.append(refresh)

    def record_permit(
        self, service: ServiceName, class_name: ClassName, wait_ms: float
    ) -> None:
        """Record how long a request waited for its permit, in milliseconds."""
        self._wait_ms.add({"service": service, "class": class_name}, wait_ms)

    def record_run(
        self, service: ServiceName, class_name: ClassName, run_ms: float
    ) -> None:
        """Record how long an instance ran a request, in milliseconds."""
        self._run_ms.add({"service": service, "class": class_name}, run_ms)

    def record_outcome(
        self,
        service: ServiceName,
        tenant: TenantName,
        class_name: ClassName,
        outcome: Outcome,
        total_ms: float,
    ) -> None:
        """Record the outcome of a request and its total time in milliseconds."""
        kind = outcome_kind(outcome).value
        self._outcomes.inc({"service": service, "outcome": kind})
        self._total_ms.add({"service": service, "class": class_name}, total_ms)
        self._tenant_ms.add({"service": service, "tenant": tenant}, total_ms)

    def set_service(self, status: ServiceStatus) -> None:
        """Set the gauges of a service that this entry owns."""
        service = status.service
        self._queue.set({"service": service}, status.waiting)
        self._slots.set({"service": service, "state": "held"}, status.held_slots)
        self._slots.set({"service": service, "state": "free"}, status.free_slots)

    def set_traffic(self, peer_bytes: int, platform_requests: int) -> None:
        """Set the gauges of bytes sent to peers and requests sent to the platform."""
        self._peer_bytes.set({}, peer_bytes)
        self._platform_requests.set({}, platform_requests)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text and their content type."""
        for refresh in self._refreshers:
            refresh()
        return super().render()

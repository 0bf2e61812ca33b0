"""Metrics in the Prometheus text format."""

from collections.abc import Callable

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

from corianderpitch.domain.outcomes import Outcome, kind_of
from corianderpitch.ids import ClassName, ServiceName, TenantName
from corianderpitch.messages import ServiceStatus

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class Metrics:
    """Counters and histograms of one entry.

    ``refresh`` functions set gauges just before the metrics are rendered.
    """

    def __init__(self):
        self._outcomes = Counter(
            "corianderpitch_outcomes_total", "Requests by service and outcome."
        )
        self._wait_ms = Histogram(
            "corianderpitch_wait_ms", "Time until a permit.", buckets=BUCKETS_MS
        )
        self._run_ms = Histogram(
            "corianderpitch_run_ms", "Time on an instance.", buckets=BUCKETS_MS
        )
        self._total_ms = Histogram(
            "corianderpitch_total_ms", "Time to the outcome.", buckets=BUCKETS_MS
        )
        self._tenant_ms = Histogram(
            "corianderpitch_tenant_total_ms",
            "Time to the outcome, by tenant.",
            buckets=BUCKETS_MS,
        )
        self._queue = Gauge("corianderpitch_queue_requests", "Requests that wait.")
        self._slots = Gauge("corianderpitch_slots", "Slots by service and state.")
        self._peer_bytes = Gauge(
            "corianderpitch_peer_sent_bytes", "Bytes sent to other entries."
        )
        self._platform_requests = Gauge(
            "corianderpitch_platform_requests", "Requests sent to the platform."
        )
        self._refreshers: list[Callable[[], None]] = []

    def on_render(self, refresh: Callable[[], None]) -> None:
        """Call a function before each rendering."""
        self._refreshers.append(refresh)

    def record_permit(
        self, service: ServiceName, class_name: ClassName, wait_ms: float
    ) -> None:
        """Record how long a request waited for its permit."""
        self._wait_ms.add({"service": service, "class": class_name}, wait_ms)

    def record_run(
        self, service: ServiceName, class_name: ClassName, run_ms: float
    ) -> None:
        """Record how long an instance took."""
        self._run_ms.add({"service": service, "class": class_name}, run_ms)

    def record_outcome(
        self,
        service: ServiceName,
        tenant: TenantName,
        class_name: ClassName,
        outcome: Outcome,
        total_ms: float,
    ) -> None:
        """Record the end of a request."""
        kind = kind_of(outcome).value
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
        """Set the gauges of control traffic."""
        self._peer_bytes.set({}, peer_bytes)
        self._platform_requests.set({}, platform_requests)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        for refresh in self._refreshers:
            refresh()
        body, headers = render(REGISTRY, [])
        return body, headers["Content-Type"]

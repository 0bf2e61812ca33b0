"""The operators' configuration of queues, services and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.teams import KeyDigest, Team
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.ids import QueueName, ServiceName, TeamName, VmId


@dataclass(frozen=True, slots=True)
class Route:
    """Assignment of calls to a queue, by requested host and prefix of the path.

    Calls on a public route carry no key.
    """

    host: str
    prefix: str
    queue: QueueName
    is_public: bool = True


@dataclass(frozen=True, slots=True)
class ServicePool:
    """The pool of VMs of a service; the VMs of a standby pool are off."""

    name: ServiceName
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    ``teams_by_key`` holds the team of each key, by the key's digest.
    """

    version: int
    queues: Mapping[QueueName, Queue]
    routes: tuple[Route, ...]
    pools: Mapping[ServiceName, ServicePool]
    limits: CallerLimits = CallerLimits()
    teams: Mapping[TeamName, Team] = field(default_factory=dict)
    teams_by_key: Mapping[KeyDigest, TeamName] = field(default_factory=dict)
    by_host: Mapping[str, tuple[Route, ...]] = field(init=False)

    def __post_init__(self):
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            by_host.setdefault(route.host, []).append(route)
        frozen = {host: tuple(routes) for host, routes in by_host.items()}
        object.__setattr__(self, "by_host", frozen)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if there is one."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """Operators' order to maintain VMs before a deadline.

    At most ``max_concurrent`` VMs are down for it at a time. ``version`` is the
    store's version of the order.
    """

    number: int
    vms: tuple[VmId, ...]
    deadline_ms: float
    max_concurrent: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class OperatorChanges:
    """Changes that operators have written since an earlier version of the store."""

    catalog: Catalog | None
    waves: tuple[WaveOrder, ...]
    version: int

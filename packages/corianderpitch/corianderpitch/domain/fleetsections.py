"""Schemas of the fleet file's sections; key names include their units."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from corianderpitch.domain.lending import LendingPolicy
from corianderpitch.domain.quotas import UNLIMITED, Quota
from corianderpitch.domain.vms import OperationKind
from corianderpitch.ids import (
    ClassName,
    DataCenterId,
    PoolName,
    RackId,
    ServiceName,
    TeamName,
    TenantName,
    WaveName,
)

MAX_ENTRIES_PER_INSTANCE = 8  # entries that may connect to one instance
PositiveInt = Annotated[int, Field(gt=0, strict=True)]
Fraction = Annotated[float, Field(gt=0, lt=1)]
PositiveFloat = Annotated[float, Field(gt=0)]
NonNegativeInt = Annotated[int, Field(ge=0, strict=True)]


class Section(BaseModel):
    """Base class of all sections: it rejects unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SiteSettings(Section):
    """A data centre and its region."""

    region: str


class PoolSettings(Section):
    """A pool of VMs; at most one pool is the spare pool."""

    vm_processors: PositiveInt
    vm_memory_mb: PositiveInt
    is_spare: bool = False


class BudgetSettings(Section):
    """Availability budget: the number of VMs that planned disruptions must leave."""

    min_available: NonNegativeInt


class ServiceSettings(Section):
    """A service, the pool that its instances run on, and its limits."""

    pool: PoolName
    instance_slots: PositiveInt
    instance_connections: PositiveInt
    budget: BudgetSettings
    default_timeout_ms: PositiveInt = 2000
    run_quantile: Fraction = 0.95
    spill_wait_ms: NonNegativeInt = 0
    max_body_bytes: PositiveInt = 1_048_576

    @property
    def idle_connections_per_entry(self) -> int:
        """Return how many idle connections an entry may keep to an instance.

        The connections that exceed the instance's slots are divided equally
        among the entries. Each entry reserves one of its share for probes.
        """
        surplus = self.instance_connections - self.instance_slots
        return max(0, surplus // MAX_ENTRIES_PER_INSTANCE - 1)


class LendingSettings(Section):
    """Conditions for lending VMs of the spare pool to pools under pressure.

    Each share is a ratio of the slots that requests need to the slots that the
    pool has.
    """

    is_enabled: bool = False
    pressure_share: PositiveFloat = 1.0
    slack_share: PositiveFloat = 0.5
    pressure_hold_ms: NonNegativeInt = 1_000
    slack_hold_ms: NonNegativeInt = 120_000
    max_moves_per_hour: PositiveFloat = 300.0

    def policy(self) -> LendingPolicy:
        """Return the thresholds for the lender."""
        return LendingPolicy(
            self.pressure_share,
            self.slack_share,
            float(self.pressure_hold_ms),
            float(self.slack_hold_ms),
            self.max_moves_per_hour,
        )


class TeamSettings(Section):
    """A team and the resources that its jobs may use in one data centre."""

    max_processors: PositiveFloat
    max_memory_mb: PositiveInt | None = None
    max_accelerators: NonNegativeInt | None = None

    def quota(self) -> Quota:
        """Return the team's quota; a resource that is not set has no limit."""
        return _make_quota(
            self.max_processors, self.max_memory_mb, self.max_accelerators
        )


class JobsSettings(Section):
    """Lease of tasks, and the quota of teams that are not named.

    A worker stops a task whose lease is not renewed within ``lease_ms``.
    """

    lease_ms: PositiveInt = 60_000
    default_max_processors: PositiveFloat = 16.0
    default_max_memory_mb: PositiveInt | None = None
    default_max_accelerators: NonNegativeInt | None = None

    def default_quota(self) -> Quota:
        """Return the quota of a team that the fleet file does not name."""
        return _make_quota(
            self.default_max_processors,
            self.default_max_memory_mb,
            self.default_max_accelerators,
        )


def _make_quota(
    processors: float, memory_mb: int | None, accelerators: int | None
) -> Quota:
    return Quota(
        processors,
        UNLIMITED if memory_mb is None else memory_mb,
        UNLIMITED if accelerators is None else accelerators,
    )


class TenantSettings(Section):
    """A tenant and its share of each service's slots."""

    weight: PositiveFloat = 1.0


class ClassSettings(Section):
    """A class of requests and its share within a tenant."""

    weight: PositiveFloat = 1.0


class WaveSettings(Section):
    """A plan for maintenance waves that the manager starts automatically.

    It selects the VMs that match both ``pools`` and ``racks``; an empty selector
    matches every VM. A VM is due again ``period_days`` after its last
    maintenance. Without a period, the wave runs once.
    """

    kind: OperationKind
    pools: tuple[PoolName, ...] = ()
    racks: tuple[RackId, ...] = ()
    target_pool: PoolName | None = None
    max_concurrent: PositiveInt = 1
    period_days: PositiveInt | None = None


class FleetFile(Section):
    """The merged configuration of one site."""

    name: str
    sites: dict[DataCenterId, SiteSettings]
    pools: dict[PoolName, PoolSettings]
    services: dict[ServiceName, ServiceSettings]
    tenants: dict[TenantName, TenantSettings] = {}
    classes: dict[ClassName, ClassSettings] = {}
    lending: LendingSettings = LendingSettings()
    teams: dict[TeamName, TeamSettings] = {}
    jobs: JobsSettings = JobsSettings()
    waves: dict[WaveName, WaveSettings] = {}

    def quotas(self) -> dict[TeamName, Quota]:
        """Return the quota of each named team in a data centre."""
        return {name: team.quota() for name, team in self.teams.items()}

    def quota(self, team: TeamName) -> Quota:
        """Return the quota of one team in a data centre."""
        settings = self.teams.get(team)
        return settings.quota() if settings else self.jobs.default_quota()

    def other_sites_in_region(self, site: DataCenterId) -> frozenset[DataCenterId]:
        """Return the other data centres of a site's region."""
        if site not in self.sites:
            return frozenset()
        region = self.sites[site].region
        return frozenset(
            other
            for other, settings in self.sites.items()
            if settings.region == region and other != site
        )

    def service_of_pool(self, pool: PoolName) -> ServiceName | None:
        """Return the service whose instances run on a pool's VMs."""
        for name, service in self.services.items():
            if service.pool == pool:
                return name
        return None

    def spare_pool(self) -> PoolName | None:
        """Return the pool that lends VMs to the others."""
        for name, pool in self.pools.items():
            if pool.is_spare:
                return name
        return None


SECTIONS: dict[str, type[Section]] = {
    "sites": SiteSettings,
    "pools": PoolSettings,
    "services": ServiceSettings,
    "tenants": TenantSettings,
    "classes": ClassSettings,
    "lending": LendingSettings,
    "teams": TeamSettings,
    "jobs": JobsSettings,
    "waves": WaveSettings,
}

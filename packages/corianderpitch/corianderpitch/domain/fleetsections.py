"""Sections of the fleet file: what each may say, with units in the names."""

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

MAX_ENTRIES = 8  # that can send to one instance
Positive = Annotated[int, Field(gt=0, strict=True)]
Fraction = Annotated[float, Field(gt=0, lt=1)]
Weight = Annotated[float, Field(gt=0)]
NotNegative = Annotated[int, Field(ge=0, strict=True)]


class Section(BaseModel):
    """Base of all sections: unknown keys are refused, nothing changes."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SiteSettings(Section):
    """A data centre and its region."""

    region: str


class PoolSettings(Section):
    """A pool of VMs; at most one pool is the spare one."""

    vm_processors: Positive
    vm_memory_mb: Positive
    is_spare: bool = False


class BudgetSettings(Section):
    """Availability that planned disruptions must leave."""

    min_available: NotNegative


class ServiceSettings(Section):
    """A service, the pool that its instances run on, and its limits."""

    pool: PoolName
    instance_slots: Positive
    instance_connections: Positive
    budget: BudgetSettings
    default_timeout_ms: Positive = 2000
    run_quantile: Fraction = 0.95
    spill_wait_ms: NotNegative = 0
    max_body_bytes: Positive = 1_048_576

    @property
    def idle_connections_per_entry(self) -> int:
        """Return how many idle connections an entry may keep to an instance.

        Beside the slots in use, one connection per entry is left for probes.
        """
        spare = self.instance_connections - self.instance_slots
        return max(0, spare // MAX_ENTRIES - 1)


class LendingSettings(Section):
    """When VMs of the spare pool are lent to pools under pressure.

    Shares compare the slots needed with the slots there are.
    """

    is_enabled: bool = False
    pressure_share: Weight = 1.0
    slack_share: Weight = 0.5
    pressure_hold_ms: NotNegative = 1_000
    slack_hold_ms: NotNegative = 120_000
    max_moves_per_hour: Weight = 300.0

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
    """A team and what its jobs may use in one data centre."""

    max_processors: Weight
    max_memory_mb: Positive | None = None
    max_accelerators: NotNegative | None = None

    def quota(self) -> Quota:
        """Return the team's quota; what is not named has no limit."""
        return _quota(self.max_processors, self.max_memory_mb, self.max_accelerators)


class JobsSettings(Section):
    """Limits of jobs.

    A task whose lease of ``lease_ms`` is not renewed stops by itself.
    """

    lease_ms: Positive = 60_000
    default_max_processors: Weight = 16.0
    default_max_memory_mb: Positive | None = None
    default_max_accelerators: NotNegative | None = None

    def default_quota(self) -> Quota:
        """Return the quota of a team that is not named."""
        return _quota(
            self.default_max_processors,
            self.default_max_memory_mb,
            self.default_max_accelerators,
        )


def _quota(processors: float, memory_mb: int | None, accelerators: int | None) -> Quota:
    return Quota(
        processors,
        UNLIMITED if memory_mb is None else memory_mb,
        UNLIMITED if accelerators is None else accelerators,
    )


class TenantSettings(Section):
    """A tenant and its share of each service's slots."""

    weight: Weight = 1.0


class ClassSettings(Section):
    """A class of requests and its share within a tenant."""

    weight: Weight = 1.0


class WaveSettings(Section):
    """A maintenance wave that the manager starts by itself.

    It takes in the VMs of the pools and racks named, or all. ``period_days``
    is how long after its maintenance a VM is due again; without it the wave
    runs once.
    """

    kind: OperationKind
    pools: tuple[PoolName, ...] = ()
    racks: tuple[RackId, ...] = ()
    target_pool: PoolName | None = None
    max_concurrent: Positive = 1
    period_days: Positive | None = None


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
        """Return what each named team may use in a data centre."""
        return {name: team.quota() for name, team in self.teams.items()}

    def quota(self, team: TeamName) -> Quota:
        """Return what one team may use in a data centre."""
        settings = self.teams.get(team)
        return settings.quota() if settings else self.jobs.default_quota()

    def same_region(self, site: DataCenterId) -> frozenset[DataCenterId]:
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

"""Views of a data centre's services, from its configuration and its fleet."""

from dataclasses import dataclass

from corianderpitch.domain.dispatch import DispatchPolicy
from corianderpitch.domain.fleetsections import FleetFile, ServiceSettings
from corianderpitch.domain.slots import InstanceSpec
from corianderpitch.domain.vms import SiteFleet, VmState
from corianderpitch.ids import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service in one data centre: its dispatch policy and its instances there."""

    service: ServiceName
    policy: DispatchPolicy
    instances: tuple[InstanceSpec, ...]


def service_views(config: FleetFile, fleet: SiteFleet) -> list[ServiceView]:
    """Return the view of every service.

    Each VM of a service's pool runs one instance, unless the VM is retired.
    """
    return [
        ServiceView(name, _policy(config, service), _instances(service, fleet))
        for name, service in config.services.items()
    ]


def _instances(service: ServiceSettings, fleet: SiteFleet) -> tuple[InstanceSpec, ...]:
    return tuple(
        InstanceSpec(
            vm_id, record.address, service.instance_slots, record.is_schedulable
        )
        for vm_id, record in sorted(fleet.vms.items())
        if record.pool == service.pool and record.state is not VmState.RETIRED
    )


def _policy(config: FleetFile, service: ServiceSettings) -> DispatchPolicy:
    return DispatchPolicy(
        service.run_quantile,
        float(service.spill_wait_ms),
        {name: tenant.weight for name, tenant in config.tenants.items()},
        {name: item.weight for name, item in config.classes.items()},
    )

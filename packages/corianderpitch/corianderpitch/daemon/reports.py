"""Reporter: answers the manager's report queries about VMs and this entry."""

from collections.abc import Callable

from corianderpitch.clock import Clock
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.daemon.owners import OwnerTask
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.domain.manager import DrainReport, EntryReport
from corianderpitch.domain.membership import Membership
from corianderpitch.ids import EntryId, VmId
from corianderpitch.messages import Report, ReportQuery


class Reporter:
    """Reports the requests in flight on VMs, from this entry's point of view.

    ``fleet_version`` returns the fleet version that the dispatchers apply. It is
    called before any request is counted, so that the counts are at least as recent
    as the version in the report.
    """

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        members: MembershipTask,
        owners: OwnerTask,
        permits: PermitClient,
        clock: Clock,
        fleet_version: Callable[[], int],
    ):
        self._membership = membership
        self._network = network
        self._members = members
        self._owners = owners
        self._permits = permits
        self._clock = clock
        self._fleet_version = fleet_version
        network.handle(ReportQuery, self._on_query)

    def report(self, vm_ids: tuple[VmId, ...]) -> EntryReport:
        """Return this entry's report, with the requests in flight on ``vm_ids``."""
        fleet_version = self._fleet_version()
        drains = tuple(
            DrainReport(vm_id, self._in_flight_requests(vm_id)) for vm_id in vm_ids
        )
        return EntryReport(
            self._membership.local_member.entry,
            self._membership.local_member.data_center,
            fleet_version,
            drains,
            self._members.unavailable_vms(),
            self._membership.live_entries(self._clock.now_ms()),
            self._members.service_needs(),
        )

    def _in_flight_requests(self, vm_id: VmId) -> int:
        granted = sum(
            dispatcher.ledger.in_flight(vm_id)
            for dispatcher in self._owners.owned_dispatchers().values()
        )
        return granted + self._permits.in_flight(vm_id)

    def _on_query(self, sender: EntryId, query: ReportQuery) -> None:
        self._network.send(sender, Report(self.report(query.vm_ids)))

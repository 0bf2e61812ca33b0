"""Membership task: sends heartbeats, adds and removes members, replaces dead links."""

import random
from collections.abc import Callable

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.network import Lane, PeerNetwork
from corianderpitch.domain.lending import ServiceNeed
from corianderpitch.domain.membership import (
    HEARTBEAT_INTERVAL_MS,
    MemberInfo,
    Membership,
)
from corianderpitch.ids import EntryId, VmId
from corianderpitch.messages import Heartbeat, Leaving, Members, MembersQuery

CROSS_SITE_INTERVAL_MS = 1000.0
MAX_UNACKED_HEARTBEATS = 4

log = logger("members")


class MembershipTask:
    """Exchanges heartbeats with the other entries and keeps the list of members.

    Every entry sends heartbeats to the entries of its own data centre. The
    representative of a data centre, its live entry with the lowest name, also
    sends heartbeats to one random entry of every other data centre.
    """

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
        peers: tuple[str, ...] = (),
    ):
        self._peers = peers
        self._membership = membership
        self._network = network
        self._clock = clock
        self._rng = rng
        self._sent_sequence: dict[EntryId, int] = {}
        self._received_sequence: dict[EntryId, int] = {}
        self._acked_sequence: dict[EntryId, int] = {}
        self._next_cross_site_ms = 0.0
        self._unavailable_vms: dict[EntryId, tuple[VmId, ...]] = {}
        self._service_needs: dict[EntryId, tuple[ServiceNeed, ...]] = {}
        self.versions: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.on_versions: Callable[[EntryId, int, int], None] = (
            lambda entry, config, fleet: None
        )
        self.on_new_member: Callable[[MemberInfo], None] = lambda info: None
        self.own_unavailable_vms: Callable[[], tuple[VmId, ...]] = lambda: ()
        self.own_service_needs: Callable[[], tuple[ServiceNeed, ...]] = lambda: ()
        network.find_member = membership.member_info
        network.on_hello = self._on_hello
        network.on_refused = self._on_refused
        network.handle(Heartbeat, self._on_heartbeat)
        network.handle(Leaving, self._on_leaving)
        network.handle(Members, self._on_members)
        network.handle(MembersQuery, self._on_query)

    def run(self) -> None:
        """Send heartbeats periodically until killed."""
        while True:
            self.send_heartbeat_round()
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1000.0)

    def send_heartbeat_round(self) -> None:
        """Send one round of heartbeats and replace links that are silent.

        An entry without other members first queries its configured peers.
        """
        if not self._membership.other_members():
            for address in self._peers:
                self._network.send_to_address(address, MembersQuery())
        now_ms = self._clock.now_ms()
        site_members = self._membership.other_entries_in(
            self._membership.local_member.data_center
        )
        for entry in self._membership.other_live_entries(now_ms):
            self._replace_silent_link(entry)
        self._send_heartbeats(site_members)
        if now_ms >= self._next_cross_site_ms and self.is_representative():
            self._next_cross_site_ms = now_ms + CROSS_SITE_INTERVAL_MS
            self.send_cross_site_heartbeats()

    def send_cross_site_heartbeats(self) -> None:
        """Send a heartbeat to a random entry of every other data centre."""
        sites = self._membership.other_data_centers()
        chosen = [
            self._rng.choice(self._membership.other_entries_in(site)) for site in sites
        ]
        self._send_heartbeats(chosen)

    def is_representative(self) -> bool:
        """Return whether this entry is the representative of its data centre."""
        live = self._membership.live_entries(self._clock.now_ms())
        return min(live) == self._membership.local_member.entry

    def is_deputy(self) -> bool:
        """Return whether this entry has the second-lowest name of the live ones.

        An entry that is alone is its own deputy. The deputy manages the fleet,
        because that work would overload the representative.
        """
        live = sorted(self._membership.live_entries(self._clock.now_ms()))
        return live[:2][-1] == self._membership.local_member.entry

    def has_highest_name(self) -> bool:
        """Return whether this entry has the highest name of the live ones.

        That entry does work that need not fall on the representative as well.
        """
        live = self._membership.live_entries(self._clock.now_ms())
        return max(live) == self._membership.local_member.entry

    def add_members(self, infos: list[MemberInfo]) -> None:
        """Add entries that were found in the table or named by a peer."""
        self._handle_new_members(
            self._membership.add_reported_members(infos, self._clock.now_ms())
        )

    def _handle_new_members(self, new_members: list[MemberInfo]) -> None:
        """Send heartbeats to new entries and announce the entries.

        The representative forwards new entries to the entries of its data centre,
        so that any owner of a service there can borrow slots from other data
        centres.
        """
        for info in new_members:
            log.info("Added {} in {} to the members.", info.entry, info.data_center)
            self.on_new_member(info)
            self._reset_counters(info.entry)
            if info.data_center == self._membership.local_member.data_center:
                self._send_heartbeat(info.entry)
        if new_members and self.is_representative():
            for entry in self._membership.other_live_entries(self._clock.now_ms()):
                self._network.send(entry, Members(tuple(new_members)))

    def remove_member(self, entry: EntryId) -> None:
        """Remove an entry that no longer exists, and close the links to it."""
        self._membership.remove_member(entry)
        self._reset_counters(entry)
        self._unavailable_vms.pop(entry, None)
        self._service_needs.pop(entry, None)
        for lane in Lane:
            self._network.reset(entry, lane)

    def unavailable_vms(self) -> tuple[VmId, ...]:
        """Return the VMs that do not answer at least one live entry of this site."""
        live = self._membership.live_entries(self._clock.now_ms())
        reported = {
            vm_id for entry in live for vm_id in self._unavailable_vms.get(entry, ())
        }
        return tuple(sorted(reported | set(self.own_unavailable_vms())))

    def service_needs(self) -> tuple[ServiceNeed, ...]:
        """Return the slots that the services of this site need, by owner and service.

        They count the running and the queued requests.
        """
        others = self._membership.other_live_entries(self._clock.now_ms())
        reported = (
            need
            for entry in sorted(others)
            for need in self._service_needs.get(entry, ())
        )
        return (*self.own_service_needs(), *reported)

    def announce_leaving(self) -> None:
        """Announce to every entry that this one is about to exit."""
        for info in self._membership.other_members():
            self._network.send(info.entry, Leaving())

    def _send_heartbeat(self, entry: EntryId) -> None:
        self._send_heartbeats([entry])

    def _send_heartbeats(self, entries: list[EntryId]) -> None:
        """Send heartbeats with the same contents but the counters of each link."""
        config_version, fleet_version = self.versions()
        unavailable, needs = self.own_unavailable_vms(), self.own_service_needs()
        for entry in entries:
            self._sent_sequence[entry] = self._sent_sequence.get(entry, 0) + 1
            heartbeat = Heartbeat(
                self._sent_sequence[entry],
                self._received_sequence.get(entry, 0),
                config_version,
                fleet_version,
                unavailable,
                needs,
            )
            self._network.send(entry, heartbeat)

    def _replace_silent_link(self, entry: EntryId) -> None:
        """Replace the link to a live entry that does not acknowledge heartbeats."""
        sent_sequence = self._sent_sequence.get(entry, 0)
        unacked = sent_sequence - self._acked_sequence.get(entry, sent_sequence)
        if unacked > MAX_UNACKED_HEARTBEATS:
            log.warning("Link to {} is silent; replacing it.", entry)
            self._network.reset(entry)
            self._acked_sequence[entry] = sent_sequence

    def _reset_counters(self, entry: EntryId) -> None:
        for counters in (
            self._sent_sequence,
            self._received_sequence,
            self._acked_sequence,
        ):
            counters.pop(entry, None)

    def _on_hello(self, info: MemberInfo) -> None:
        is_new = self._membership.member_info(info.entry) != info
        self._handle_new_members(self._membership.add_members([info]))
        self._membership.record_contact(info.entry, self._clock.now_ms())
        if is_new:
            self._network.send(info.entry, Members(self._all_members()))

    def _on_heartbeat(self, sender: EntryId, heartbeat: Heartbeat) -> None:
        self._membership.record_contact(sender, self._clock.now_ms())
        self._received_sequence[sender] = heartbeat.sequence
        self._acked_sequence[sender] = max(
            heartbeat.echo, self._acked_sequence.get(sender, 0)
        )
        self._unavailable_vms[sender] = heartbeat.unavailable
        self._service_needs[sender] = heartbeat.needs
        info = self._membership.member_info(sender)
        if info is None:
            return
        is_same_site = info.data_center == self._membership.local_member.data_center
        fleet_version = heartbeat.fleet_version if is_same_site else 0
        self.on_versions(sender, heartbeat.config_version, fleet_version)
        is_behind = heartbeat.config_version < self.versions()[0]
        if is_behind and not is_same_site:
            self._send_heartbeat(sender)

    def _on_leaving(self, sender: EntryId, message: Leaving) -> None:
        log.info("{} is shutting down.", sender)
        self._membership.mark_left(sender)

    def _on_members(self, sender: EntryId, message: Members) -> None:
        self.add_members(list(message.members))

    def _on_query(self, sender: EntryId, message: MembersQuery) -> None:
        self._network.send(sender, Members(self._all_members()))

    def _all_members(self) -> tuple[MemberInfo, ...]:
        return tuple(self._membership.all_members())

    def _on_refused(self, entry: EntryId) -> None:
        self._membership.mark_failed(entry)

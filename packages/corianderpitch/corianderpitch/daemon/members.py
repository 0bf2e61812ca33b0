"""Membership task: heartbeats, leases in the table, detection of silent links."""

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
SILENT_HEARTBEATS = 4

log = logger("members")


class MembershipTask:
    """Sends heartbeats to the entries of its data centre and samples of others.

    The representative of a data centre, its live entry with the lowest name,
    exchanges heartbeats with one random entry of every other data centre.
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
        self._sequence: dict[EntryId, int] = {}
        self._echo: dict[EntryId, int] = {}
        self._acked: dict[EntryId, int] = {}
        self._next_cross_site_ms = 0.0
        self._unavailable: dict[EntryId, tuple[VmId, ...]] = {}
        self._needs: dict[EntryId, tuple[ServiceNeed, ...]] = {}
        self.versions: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.on_versions: Callable[[EntryId, int, int], None] = (
            lambda entry, config, fleet: None
        )
        self.on_new_member: Callable[[MemberInfo], None] = lambda info: None
        self.own_unavailable: Callable[[], tuple[VmId, ...]] = lambda: ()
        self.own_needs: Callable[[], tuple[ServiceNeed, ...]] = lambda: ()
        network.find = membership.info
        network.on_hello = self._on_hello
        network.on_refused = self._on_refused
        network.handle(Heartbeat, self._on_heartbeat)
        network.handle(Leaving, self._on_leaving)
        network.handle(Members, self._on_members)
        network.handle(MembersQuery, self._on_query)

    def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.beat()
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1000.0)

    def beat(self) -> None:
        """Send one round of heartbeats; an entry that knows nobody asks its peers."""
        if not self._membership.known():
            for address in self._peers:
                self._network.send_to_address(address, MembersQuery())
        now_ms = self._clock.now_ms()
        neighbours = self._membership.known_in(self._membership.own.data_center)
        for entry in self._membership.live_others(now_ms):
            self._check_silence(entry)
        self._send_heartbeats(neighbours)
        if now_ms >= self._next_cross_site_ms and self.is_representative():
            self._next_cross_site_ms = now_ms + CROSS_SITE_INTERVAL_MS
            self.send_cross_site_heartbeats()

    def send_cross_site_heartbeats(self) -> None:
        """Send a heartbeat to a random entry of every other data centre."""
        sites = self._membership.data_centers()
        chosen = [self._rng.choice(self._membership.known_in(site)) for site in sites]
        self._send_heartbeats(chosen)

    def is_representative(self) -> bool:
        """Tell whether this entry speaks for its data centre."""
        live = self._membership.live(self._clock.now_ms())
        return min(live) == self._membership.own.entry

    def is_deputy(self) -> bool:
        """Tell whether this entry comes next to the representative, or is alone.

        It takes the fleet's work, which would be too much for the
        representative as well.
        """
        live = sorted(self._membership.live(self._clock.now_ms()))
        return live[:2][-1] == self._membership.own.entry

    def is_last(self) -> bool:
        """Tell whether this entry has the highest name of the live ones.

        It takes work that need not fall on the representative as well.
        """
        live = self._membership.live(self._clock.now_ms())
        return max(live) == self._membership.own.entry

    def learn(self, infos: list[MemberInfo]) -> None:
        """Take in entries found in the table or named by a peer."""
        self._welcome(self._membership.hear_of(infos, self._clock.now_ms()))

    def _welcome(self, fresh: list[MemberInfo]) -> None:
        """Get in touch with new entries.

        The representative passes on what is new to its data centre, so that
        any entry there that owns a service can borrow slots elsewhere.
        """
        for info in fresh:
            log.info("Learnt of {} in {}.", info.entry, info.data_center)
            self.on_new_member(info)
            self._reset_counters(info.entry)
            if info.data_center == self._membership.own.data_center:
                self._send_heartbeat(info.entry)
        if fresh and self.is_representative():
            for entry in self._membership.live_others(self._clock.now_ms()):
                self._network.send(entry, Members(tuple(fresh)))

    def forget(self, entry: EntryId) -> None:
        """Drop an entry that is gone, and the links to it."""
        self._membership.forget(entry)
        self._reset_counters(entry)
        self._unavailable.pop(entry, None)
        self._needs.pop(entry, None)
        for lane in Lane:
            self._network.reset(entry, lane)

    def unavailable(self) -> tuple[VmId, ...]:
        """Return the VMs that do not answer some live entry of this site."""
        live = self._membership.live(self._clock.now_ms())
        named = {v for e in live for v in self._unavailable.get(e, ())}
        return tuple(sorted(named | set(self.own_unavailable())))

    def needs(self) -> tuple[ServiceNeed, ...]:
        """Return what the services of this site run and keep waiting."""
        others = self._membership.live_others(self._clock.now_ms())
        heard = (need for e in sorted(others) for need in self._needs.get(e, ()))
        return (*self.own_needs(), *heard)

    def announce_leaving(self) -> None:
        """Tell every entry that this one is about to exit."""
        for info in self._membership.known():
            self._network.send(info.entry, Leaving())

    def _send_heartbeat(self, entry: EntryId) -> None:
        self._send_heartbeats([entry])

    def _send_heartbeats(self, entries: list[EntryId]) -> None:
        """Send every entry the same news, with the counters of its link."""
        config_version, fleet_version = self.versions()
        unavailable, needs = self.own_unavailable(), self.own_needs()
        for entry in entries:
            self._sequence[entry] = self._sequence.get(entry, 0) + 1
            beat = Heartbeat(
                self._sequence[entry],
                self._echo.get(entry, 0),
                config_version,
                fleet_version,
                unavailable,
                needs,
            )
            self._network.send(entry, beat)

    def _check_silence(self, entry: EntryId) -> None:
        """Replace a link whose heartbeats a live entry does not confirm."""
        sent = self._sequence.get(entry, 0)
        unconfirmed = sent - self._acked.get(entry, sent)
        if unconfirmed > SILENT_HEARTBEATS:
            log.warning("Link to {} is silent; opening a new one.", entry)
            self._network.reset(entry)
            self._acked[entry] = sent

    def _reset_counters(self, entry: EntryId) -> None:
        for counters in (self._sequence, self._echo, self._acked):
            counters.pop(entry, None)

    def _on_hello(self, info: MemberInfo) -> None:
        is_new = self._membership.info(info.entry) != info
        self._welcome(self._membership.learn([info]))
        self._membership.heard(info.entry, self._clock.now_ms())
        if is_new:
            self._network.send(info.entry, Members(self._everybody()))

    def _on_heartbeat(self, sender: EntryId, beat: Heartbeat) -> None:
        self._membership.heard(sender, self._clock.now_ms())
        self._echo[sender] = beat.sequence
        self._acked[sender] = max(beat.echo, self._acked.get(sender, 0))
        self._unavailable[sender] = beat.unavailable
        self._needs[sender] = beat.needs
        info = self._membership.info(sender)
        if info is None:
            return
        is_same_site = info.data_center == self._membership.own.data_center
        fleet_version = beat.fleet_version if is_same_site else 0
        self.on_versions(sender, beat.config_version, fleet_version)
        is_behind = beat.config_version < self.versions()[0]
        if is_behind and not is_same_site:
            self._send_heartbeat(sender)

    def _on_leaving(self, sender: EntryId, message: Leaving) -> None:
        log.info("{} is leaving.", sender)
        self._membership.left(sender)

    def _on_members(self, sender: EntryId, message: Members) -> None:
        self.learn(list(message.members))

    def _on_query(self, sender: EntryId, message: MembersQuery) -> None:
        self._network.send(sender, Members(self._everybody()))

    def _everybody(self) -> tuple[MemberInfo, ...]:
        return tuple(self._membership.everybody())

    def _on_refused(self, entry: EntryId) -> None:
        self._membership.lost(entry)

"""Collection of the statuses of all entries, on demand."""

from collections.abc import Callable

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.ids import EntryId
from corianderpitch.messages import EntryStatus, Status, StatusQuery

COLLECT_TIMEOUT_MS = 500.0
COLLECT_POLL_INTERVAL_MS = 5.0


class StatusCollector:
    """Answers status queries, and collects the statuses of the other entries."""

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        clock: Clock,
        own_status: Callable[[], EntryStatus],
    ):
        self._membership = membership
        self._network = network
        self._clock = clock
        self._own_status = own_status
        self._received: dict[EntryId, EntryStatus] = {}
        network.handle(StatusQuery, self._on_query)
        network.handle(Status, self._on_status)

    def own(self) -> EntryStatus:
        """Return this entry's status."""
        return self._own_status()

    def collect(self) -> tuple[list[EntryStatus], list[MemberInfo]]:
        """Return the entries' statuses, and the entries that did not answer.

        Wait for the answers, but at most ``COLLECT_TIMEOUT_MS``.
        """
        self._received.clear()
        known = self._membership.other_members()
        for info in known:
            self._network.send(info.entry, StatusQuery())
        deadline_ms = self._clock.now_ms() + COLLECT_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            if all(info.entry in self._received for info in known):
                break
            eventlet.sleep(COLLECT_POLL_INTERVAL_MS / 1000.0)
        silent = [info for info in known if info.entry not in self._received]
        return [self.own(), *self._received.values()], silent

    def _on_query(self, sender: EntryId, query: StatusQuery) -> None:
        self._network.send(sender, Status(self._own_status()))

    def _on_status(self, sender: EntryId, message: Status) -> None:
        self._received[sender] = message.status

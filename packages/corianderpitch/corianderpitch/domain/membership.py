"""Membership: the known entries, and the live ones of the local data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from corianderpitch.domain.rendezvous import choose_owner
from corianderpitch.ids import DataCenterId, EntryId, ServiceName

HEARTBEAT_INTERVAL_MS = 330.0
SUSPECT_AFTER_MS = 1000.0
SETTLE_MS = 700.0


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """Address of an entry; ``incarnation`` differs after every start of its process."""

    entry: EntryId
    incarnation: str
    data_center: DataCenterId
    peer_address: str


@dataclass(slots=True)
class _Member:
    info: MemberInfo
    last_contact_ms: float | None = None
    has_left: bool = False
    has_failed: bool = False


class Membership:
    """Known entries and their heartbeats, as one entry, the local member, sees them.

    An entry of the same data centre is live while its heartbeats arrive. An entry of
    another data centre is taken as reachable until it has left or failed; a caller
    that cannot reach one tries the next.
    """

    def __init__(self, local_member: MemberInfo, now_ms: float = 0.0):
        self._local_member = local_member
        self._started_ms = now_ms
        self._settled_from_ms = now_ms + SETTLE_MS
        self._members: dict[EntryId, _Member] = {}
        self._by_data_center: dict[DataCenterId, dict[EntryId, _Member]] = {}

    @property
    def local_member(self) -> MemberInfo:
        """Return the entry that holds this view."""
        return self._local_member

    def start_settling(self, now_ms: float) -> None:
        """Give up ownership for ``SETTLE_MS``, after a pause of this process.

        During a pause other entries may have taken over the services. The local
        member owns nothing until heartbeats have brought its view up to date, so that
        it does not act on the state from before the pause.
        """
        self._settled_from_ms = now_ms + SETTLE_MS

    def is_settled(self, now_ms: float) -> bool:
        """Tell whether heartbeats of the other entries have had time to arrive."""
        return now_ms >= self._settled_from_ms

    def add_reported_members(
        self, infos: Iterable[MemberInfo], now_ms: float
    ) -> list[MemberInfo]:
        """Add entries that others report; return those that are new or changed.

        Reports on an entry that was itself in contact within ``SUSPECT_AFTER_MS`` are
        ignored, as they may be older than what the entry has sent.
        """
        return self.add_members(
            info
            for info in infos
            if not self.has_recent_contact(info.entry, now_ms, SUSPECT_AFTER_MS)
        )

    def add_members(self, infos: Iterable[MemberInfo]) -> list[MemberInfo]:
        """Add or replace entries; return those that are new or changed."""
        updated = []
        for info in infos:
            known = self._members.get(info.entry)
            is_unchanged = known is not None and known.info == info
            if info.entry == self._local_member.entry or is_unchanged:
                continue
            self.remove_member(info.entry)
            self._add(_Member(info))
            updated.append(info)
        return updated

    def _add(self, member: _Member) -> None:
        info = member.info
        self._members[info.entry] = member
        self._by_data_center.setdefault(info.data_center, {})[info.entry] = member

    def remove_member(self, entry: EntryId) -> None:
        """Remove an entry whose lease has lapsed."""
        member = self._members.pop(entry, None)
        if member is not None:
            del self._by_data_center[member.info.data_center][entry]

    def record_contact(self, entry: EntryId, now_ms: float) -> None:
        """Record a message from an entry; ignored once the entry has left."""
        member = self._members.get(entry)
        if member is not None and not member.has_left:
            member.last_contact_ms = now_ms
            member.has_failed = False

    def mark_failed(self, entry: EntryId) -> None:
        """Record that an entry's process has ended; a later heartbeat revokes this."""
        member = self._members.get(entry)
        if member is not None:
            member.last_contact_ms = None
            member.has_failed = True

    def mark_left(self, entry: EntryId) -> None:
        """Record that an entry has announced its exit."""
        member = self._members.get(entry)
        if member is not None:
            member.has_left = True
            member.last_contact_ms = None

    def member_info(self, entry: EntryId) -> MemberInfo | None:
        """Return the address of an entry, or ``None`` for an unknown one."""
        if entry == self._local_member.entry:
            return self._local_member
        member = self._members.get(entry)
        return member.info if member else None

    def has_exited(self, entry: EntryId) -> bool:
        """Tell whether an entry has left or its process has ended."""
        member = self._members.get(entry)
        return member is not None and (member.has_left or member.has_failed)

    def other_members(self) -> list[MemberInfo]:
        """Return the known entries except the local member and those that have left."""
        return [m.info for m in self._members.values() if not m.has_left]

    def all_members(self) -> list[MemberInfo]:
        """Return the known entries that have not left, and the local member."""
        return [*self.other_members(), self._local_member]

    def tracked_entries(self) -> list[EntryId]:
        """Return every other entry that is not removed, even if it has left."""
        return list(self._members)

    def has_recent_contact(
        self, entry: EntryId, now_ms: float, window_ms: float
    ) -> bool:
        """Tell whether an entry sent a message within the last ``window_ms``."""
        member = self._members.get(entry)
        last_contact_ms = member.last_contact_ms if member else None
        return last_contact_ms is not None and now_ms - last_contact_ms < window_ms

    def is_data_center_silent(
        self, data_center: DataCenterId, now_ms: float, window_ms: float
    ) -> bool:
        """Tell whether no entry of a data centre sent a message for ``window_ms``.

        Always false until this process has run for ``window_ms``.
        """
        if now_ms - self._started_ms < window_ms:
            return False
        entries = self.other_entries_in(data_center)
        return not any(self.has_recent_contact(e, now_ms, window_ms) for e in entries)

    def other_entries_in(self, data_center: DataCenterId) -> list[EntryId]:
        """Return a data centre's known entries, as :meth:`other_members` does."""
        return [
            e for e, m in self._in_data_center(data_center).items() if not m.has_left
        ]

    def _in_data_center(self, data_center: DataCenterId) -> dict[EntryId, _Member]:
        return self._by_data_center.get(data_center, {})

    def live_entries(self, now_ms: float) -> frozenset[EntryId]:
        """Return the local member and the live entries of its data centre."""
        return self.other_live_entries(now_ms) | {self._local_member.entry}

    def other_live_entries(self, now_ms: float) -> frozenset[EntryId]:
        """Return the live entries of the local data centre except the local member."""
        return frozenset(
            entry
            for entry, member in self._in_data_center(
                self._local_member.data_center
            ).items()
            if member.last_contact_ms is not None
            and now_ms - member.last_contact_ms < SUSPECT_AFTER_MS
        )

    def other_data_centers(self) -> frozenset[DataCenterId]:
        """Return the other data centres with known entries that have not left."""
        return frozenset(
            other
            for other, members in self._by_data_center.items()
            if other != self._local_member.data_center
            and any(not member.has_left for member in members.values())
        )

    def owner(self, service: ServiceName, now_ms: float) -> EntryId | None:
        """Return the live entry that owns a service in the local data centre.

        Returns ``None`` if the owner would be the local member, but it has not settled.
        """
        key = owner_key(self._local_member.data_center, service)
        owner = choose_owner(key, self.live_entries(now_ms))
        if owner == self._local_member.entry and not self.is_settled(now_ms):
            return None
        return owner

    def remote_owner(
        self, data_center: DataCenterId, service: ServiceName
    ) -> EntryId | None:
        """Return the entry most likely to own a service in another data centre."""
        entries = [
            entry
            for entry, member in self._in_data_center(data_center).items()
            if not member.has_left and not member.has_failed
        ]
        return choose_owner(owner_key(data_center, service), entries)


def owner_key(data_center: DataCenterId, service: ServiceName) -> str:
    """Return the rendezvous key of a service in a data centre."""
    return f"{data_center}/{service}"

"""View of the entries: who is known, and who is alive in one's data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from corianderpitch.domain.rendezvous import choose_owner
from corianderpitch.ids import DataCenterId, EntryId, ServiceName

HEARTBEAT_INTERVAL_MS = 330.0
SUSPECT_AFTER_MS = 1000.0
SETTLE_MS = 700.0


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """How to reach an entry; ``incarnation`` is new with every start."""

    entry: EntryId
    incarnation: str
    data_center: DataCenterId
    peer_address: str


@dataclass(slots=True)
class _Member:
    info: MemberInfo
    heard_ms: float | None = None
    has_left: bool = False
    is_lost: bool = False


class Membership:
    """Known entries and their heartbeats, from the point of view of one entry.

    Entries of the same data centre are alive while their heartbeats arrive.
    Entries of other data centres are only known; a caller that cannot reach
    one tries the next.
    """

    def __init__(self, own: MemberInfo, now_ms: float = 0.0):
        self._own = own
        self._started_ms = now_ms
        self._settled_ms = now_ms + SETTLE_MS
        self._members: dict[EntryId, _Member] = {}
        self._by_site: dict[DataCenterId, dict[EntryId, _Member]] = {}

    @property
    def own(self) -> MemberInfo:
        """Return the entry whose view this is."""
        return self._own

    def settle(self, now_ms: float) -> None:
        """Stop trusting one's own view, after a pause of this process.

        For ``SETTLE_MS`` the entry owns nothing, so that an entry which slept
        while others took over does not act on what it knew before.
        """
        self._settled_ms = now_ms + SETTLE_MS

    def is_settled(self, now_ms: float) -> bool:
        """Tell whether this entry has had time to hear from the others."""
        return now_ms >= self._settled_ms

    def hear_of(self, infos: Iterable[MemberInfo], now_ms: float) -> list[MemberInfo]:
        """Add entries that others name; returns those that are new or changed.

        What others say of an entry that has just spoken itself may be older.
        """
        return self.learn(
            info
            for info in infos
            if not self.is_heard(info.entry, now_ms, SUSPECT_AFTER_MS)
        )

    def learn(self, infos: Iterable[MemberInfo]) -> list[MemberInfo]:
        """Add entries that introduce themselves; returns the new or changed."""
        fresh = []
        for info in infos:
            known = self._members.get(info.entry)
            is_known = known is not None and known.info == info
            if info.entry == self._own.entry or is_known:
                continue
            self.forget(info.entry)
            self._add(_Member(info))
            fresh.append(info)
        return fresh

    def _add(self, member: _Member) -> None:
        info = member.info
        self._members[info.entry] = member
        self._by_site.setdefault(info.data_center, {})[info.entry] = member

    def forget(self, entry: EntryId) -> None:
        """Drop an entry whose lease has lapsed."""
        member = self._members.pop(entry, None)
        if member is not None:
            del self._by_site[member.info.data_center][entry]

    def heard(self, entry: EntryId, now_ms: float) -> None:
        """Record a sign of life."""
        member = self._members.get(entry)
        if member is not None and not member.has_left:
            member.heard_ms = now_ms
            member.is_lost = False

    def lost(self, entry: EntryId) -> None:
        """Record that an entry's process is gone; a heartbeat revives it."""
        member = self._members.get(entry)
        if member is not None:
            member.heard_ms = None
            member.is_lost = True

    def left(self, entry: EntryId) -> None:
        """Record that an entry has announced its exit."""
        member = self._members.get(entry)
        if member is not None:
            member.has_left = True
            member.heard_ms = None

    def info(self, entry: EntryId) -> MemberInfo | None:
        """Return how to reach an entry."""
        if entry == self._own.entry:
            return self._own
        member = self._members.get(entry)
        return member.info if member else None

    def is_gone(self, entry: EntryId) -> bool:
        """Tell whether an entry is known to have exited."""
        member = self._members.get(entry)
        return member is not None and (member.has_left or member.is_lost)

    def known(self) -> list[MemberInfo]:
        """Return every known entry but oneself and those that have left."""
        return [m.info for m in self._members.values() if not m.has_left]

    def everybody(self) -> list[MemberInfo]:
        """Return every known entry and oneself."""
        return [*self.known(), self._own]

    def remembered(self) -> list[EntryId]:
        """Return every entry that has not been forgotten."""
        return list(self._members)

    def is_heard(self, entry: EntryId, now_ms: float, window_ms: float) -> bool:
        """Tell whether an entry gave a sign of life within the last while."""
        member = self._members.get(entry)
        heard_ms = member.heard_ms if member else None
        return heard_ms is not None and now_ms - heard_ms < window_ms

    def is_silent_site(
        self, data_center: DataCenterId, now_ms: float, window_ms: float
    ) -> bool:
        """Tell whether no entry of a data centre was heard for a while."""
        if now_ms - self._started_ms < window_ms:
            return False
        entries = self.known_in(data_center)
        return not any(self.is_heard(e, now_ms, window_ms) for e in entries)

    def known_in(self, data_center: DataCenterId) -> list[EntryId]:
        """Return the known entries of a data centre, without oneself."""
        return [e for e, m in self._in_site(data_center).items() if not m.has_left]

    def _in_site(self, data_center: DataCenterId) -> dict[EntryId, _Member]:
        return self._by_site.get(data_center, {})

    def live(self, now_ms: float) -> frozenset[EntryId]:
        """Return the live entries of one's own data centre, oneself included."""
        return self.live_others(now_ms) | {self._own.entry}

    def live_others(self, now_ms: float) -> frozenset[EntryId]:
        """Return the live entries of one's own data centre but oneself."""
        return frozenset(
            entry
            for entry, member in self._in_site(self._own.data_center).items()
            if member.heard_ms is not None
            and now_ms - member.heard_ms < SUSPECT_AFTER_MS
        )

    def data_centers(self) -> frozenset[DataCenterId]:
        """Return the other data centres with known entries."""
        return frozenset(
            site
            for site, members in self._by_site.items()
            if site != self._own.data_center
            and any(not member.has_left for member in members.values())
        )

    def owner(self, service: ServiceName, now_ms: float) -> EntryId | None:
        """Return the live entry that owns a service in one's data centre.

        Returns ``None`` while this entry is not settled and would be the owner.
        """
        key = owner_key(self._own.data_center, service)
        owner = choose_owner(key, self.live(now_ms))
        if owner == self._own.entry and not self.is_settled(now_ms):
            return None
        return owner

    def remote_owner(
        self, data_center: DataCenterId, service: ServiceName
    ) -> EntryId | None:
        """Return the entry most likely to own a service elsewhere."""
        entries = [
            entry
            for entry, member in self._in_site(data_center).items()
            if not member.has_left and not member.is_lost
        ]
        return choose_owner(owner_key(data_center, service), entries)


def owner_key(data_center: DataCenterId, service: ServiceName) -> str:
    """Return the rendezvous key of a service in a data centre."""
    return f"{data_center}/{service}"

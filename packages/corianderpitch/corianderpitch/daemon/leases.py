"""Lease task: this entry's row in the table, and the rows of the others.

A representative scans the rows often and passes on what is new. Everyone else
scans rarely, to drop what it no longer hears of and to make up for messages
that were lost.
"""

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import ABANDONED_MS, SILENT_SITE_MS, LeaseObserver
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.errors import RowConflict
from corianderpitch.ids import EntryId
from corianderpitch.ports import Check, Row, TableService, Write, version_of
from corianderpitch.records import (
    MEMBER_PREFIX,
    MemberRecord,
    decode_row,
    encode_row,
    member_key,
)

RENEW_INTERVAL_MS = 5000.0
FOLLOWER_SCAN_INTERVAL_MS = 60_000.0

log = logger("leases")


def take_in_members(
    rows: list[Row], members: MembershipTask, observer: LeaseObserver, now_ms: float
) -> list[MemberInfo]:
    """Learn of the entries in the table and note which leases were renewed.

    Returns the entries in the order of the rows.
    """
    infos = [decode_row(MemberRecord, row.value).info for row in rows]
    members.learn(infos)
    pairs = zip(infos, rows, strict=True)
    observer.observe({info.entry: row.version for info, row in pairs}, now_ms)
    return infos


class LeaseTask:
    """Renews one's own lease and watches those of the others."""

    def __init__(
        self,
        membership: Membership,
        members: MembershipTask,
        table: TableService,
        clock: Clock,
    ):
        self._membership = membership
        self._members = members
        self._table = table
        self._clock = clock
        self._key = member_key(membership.own)
        self._version = 0
        self._sequence = 0
        self._next_scan_ms = clock.now_ms()
        self._absent_since_ms: dict[EntryId, float] = {}
        self.observer = LeaseObserver()

    def run(self) -> None:
        """Renew and scan for ever."""
        while True:
            self.renew()
            self.scan_if_due()
            eventlet.sleep(RENEW_INTERVAL_MS / 1000.0)

    def renew(self) -> None:
        """Write one's own row again, also over one of an earlier incarnation."""
        if not self._write_row():
            self._write_row()

    def _write_row(self) -> bool:
        """Write the row; after a conflict its version is known for another try."""
        self._sequence += 1
        value = encode_row(MemberRecord(self._membership.own, self._sequence))
        check = Check(self._key, self._version)
        match self._table.commit((check,), (Write(self._key, value),)):
            case Success(versions):
                self._version = versions[self._key]
            case Failure(RowConflict()):
                self._reread()
                return False
        return True

    def scan_if_due(self) -> None:
        """Scan at every call on a representative, and now and then elsewhere."""
        now_ms = self._clock.now_ms()
        if self._members.is_representative() or now_ms >= self._next_scan_ms:
            self.scan()

    def scan(self) -> None:
        """Read the rows of all entries and forget those that are gone."""
        now_ms = self._clock.now_ms()
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                self._next_scan_ms = now_ms + FOLLOWER_SCAN_INTERVAL_MS
                infos = take_in_members(rows, self._members, self.observer, now_ms)
                if self._members.is_representative():
                    self._delete_lapsed(infos, rows, now_ms)
                self._forget_absent(now_ms)

    def give_up(self) -> None:
        """Delete one's own row before an orderly exit."""
        check = Check(self._key, self._version)
        self._table.commit((check,), (Write(self._key, None),))

    def _reread(self) -> None:
        """Learn the version of a row whose last write has an unknown outcome."""
        match self._table.read({self._key: 0}):
            case Success(rows):
                self._version = version_of(rows.get(self._key))

    def _delete_lapsed(
        self, infos: list[MemberInfo], rows: list[Row], now_ms: float
    ) -> None:
        """Remove rows that nobody has renewed for long, and forget the entries."""
        for info, row in zip(infos, rows, strict=True):
            if not self.observer.is_abandoned(info.entry, now_ms):
                continue
            if not self._may_delete(info, now_ms):
                continue
            log.info("Lease of {} has lapsed.", info.entry)
            self._table.commit((Check(row.key, row.version),), (Write(row.key, None),))
            self._members.forget(info.entry)

    def _may_delete(self, info: MemberInfo, now_ms: float) -> bool:
        """Tell whether an entry is gone, not only cut off from the platform.

        The entries of another data centre are left to its own representative
        while any of them is heard: they can be told of a configuration and
        lend slots all through an outage of the platform there.
        """
        if info.data_center != self._membership.own.data_center:
            return self._membership.is_silent_site(
                info.data_center, now_ms, SILENT_SITE_MS
            )
        return info.entry not in self._membership.live(now_ms)

    def _forget_absent(self, now_ms: float) -> None:
        """Forget entries whose rows others have deleted, unless they are heard."""
        absent = {
            entry
            for entry in self._membership.remembered()
            if not self.observer.has_row(entry)
            and not self._membership.is_heard(entry, now_ms, ABANDONED_MS)
        }
        since_ms = {e: self._absent_since_ms.get(e, now_ms) for e in absent}
        self._absent_since_ms = since_ms
        for entry in [e for e in absent if now_ms - since_ms[e] >= ABANDONED_MS]:
            log.info("Forgetting {}, which has no lease.", entry)
            self._members.forget(entry)

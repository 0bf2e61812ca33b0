"""Lease task: this entry's row in the table, and the rows of the others."""

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import LeaseObserver
from corianderpitch.domain.membership import Membership
from corianderpitch.errors import RowConflict
from corianderpitch.ports import Check, Row, TableService, Write
from corianderpitch.records import (
    MEMBER_PREFIX,
    MemberRecord,
    decode_row,
    encode_row,
    member_key,
)

RENEW_INTERVAL_MS = 5000.0

log = logger("leases")


def take_in_members(
    rows: list[Row], members: MembershipTask, observer: LeaseObserver, now_ms: float
) -> None:
    """Learn of the entries in the table and note which leases were renewed."""
    records = [decode_row(MemberRecord, row.value) for row in rows]
    members.learn([record.info for record in records])
    pairs = zip(records, rows, strict=True)
    versions = {record.info.entry: row.version for record, row in pairs}
    observer.observe(versions, now_ms)


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
        self.observer = LeaseObserver()

    def run(self) -> None:
        """Renew and scan for ever."""
        while True:
            self.renew()
            if self._sequence == 1 or self._members.is_representative():
                self.scan()
            eventlet.sleep(RENEW_INTERVAL_MS / 1000.0)

    def renew(self) -> None:
        """Write one's own row again."""
        self._sequence += 1
        value = encode_row(MemberRecord(self._membership.own, self._sequence))
        check = Check(self._key, self._version)
        match self._table.commit((check,), (Write(self._key, value),)):
            case Success(versions):
                self._version = versions[self._key]
            case Failure(RowConflict()):
                self._reread()

    def scan(self) -> None:
        """Read the rows of all entries and forget those that have lapsed."""
        now_ms = self._clock.now_ms()
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                take_in_members(rows, self._members, self.observer, now_ms)
                self._delete_lapsed(rows, now_ms)

    def give_up(self) -> None:
        """Delete one's own row before an orderly exit."""
        check = Check(self._key, self._version)
        self._table.commit((check,), (Write(self._key, None),))

    def _reread(self) -> None:
        """Learn the version of a row whose last write has an unknown outcome."""
        match self._table.read({self._key: 0}):
            case Success(rows):
                row = rows.get(self._key)
                self._version = row.version if row else 0

    def _delete_lapsed(self, rows: list[Row], now_ms: float) -> None:
        """Remove rows that nobody has renewed for long, and forget the entries."""
        for row in rows:
            info = decode_row(MemberRecord, row.value).info
            if not self.observer.is_abandoned(info.entry, now_ms):
                continue
            if info.entry in self._membership.live(now_ms):
                continue  # it is only cut off from the platform
            log.info("Lease of {} has lapsed.", info.entry)
            self._table.commit((Check(row.key, row.version),), (Write(row.key, None),))
            self._membership.forget(info.entry)

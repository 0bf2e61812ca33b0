"""Lease task: renews this entry's row in the table and scans those of the others.

The representative of a data centre scans the rows often and sends new entries to
the other entries of its data centre. These scan rarely, to remove entries whose
rows were deleted and to recover from lost messages.
"""

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import (
    ABANDONED_AFTER_MS,
    SILENT_DATA_CENTER_AFTER_MS,
    LeaseObserver,
)
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


def record_member_rows(
    rows: list[Row], members: MembershipTask, observer: LeaseObserver, now_ms: float
) -> list[MemberInfo]:
    """Add the entries in the table to the members and record renewed leases.

    Returns the entries in the order of the rows.
    """
    infos = [decode_row(MemberRecord, row.value).info for row in rows]
    members.add_members(infos)
    pairs = zip(infos, rows, strict=True)
    observer.observe({info.entry: row.version for info, row in pairs}, now_ms)
    return infos


class LeaseTask:
    """Renews the lease of this entry and observes the leases of the others."""

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
        self._key = member_key(membership.local_member)
        self._version = 0
        self._sequence = 0
        self._next_scan_ms = clock.now_ms()
        self._absent_since_ms: dict[EntryId, float] = {}
        self.observer = LeaseObserver()

    def run(self) -> None:
        """Renew the lease and scan the table periodically until killed."""
        while True:
            self.renew()
            self.scan_if_due()
            eventlet.sleep(RENEW_INTERVAL_MS / 1000.0)

    def renew(self) -> None:
        """Renew the row of this entry, or replace that of an earlier incarnation."""
        if not self._write_row():
            self._write_row()

    def _write_row(self) -> bool:
        """Write the row; return ``False`` after a conflict.

        After a conflict the row's current version has been read for a retry.
        """
        self._sequence += 1
        value = encode_row(MemberRecord(self._membership.local_member, self._sequence))
        check = Check(self._key, self._version)
        match self._table.commit((check,), (Write(self._key, value),)):
            case Success(versions):
                self._version = versions[self._key]
            case Failure(RowConflict()):
                self._refresh_version()
                return False
        return True

    def scan_if_due(self) -> None:
        """Scan if this entry is the representative or its scan interval has passed.

        Other entries than the representative scan every
        ``FOLLOWER_SCAN_INTERVAL_MS``.
        """
        now_ms = self._clock.now_ms()
        if self._members.is_representative() or now_ms >= self._next_scan_ms:
            self.scan()

    def scan(self) -> None:
        """Read the rows of all entries and remove the members that no longer exist."""
        now_ms = self._clock.now_ms()
        match self._table.scan(MEMBER_PREFIX):
            case Success(rows):
                self._next_scan_ms = now_ms + FOLLOWER_SCAN_INTERVAL_MS
                infos = record_member_rows(rows, self._members, self.observer, now_ms)
                if self._members.is_representative():
                    self._delete_lapsed(infos, rows, now_ms)
                self._remove_absent(now_ms)

    def release(self) -> None:
        """Delete the row of this entry, before an orderly exit."""
        check = Check(self._key, self._version)
        self._table.commit((check,), (Write(self._key, None),))

    def _refresh_version(self) -> None:
        """Read the current version of the row after a conflict.

        An earlier incarnation, or an earlier write with an unknown outcome, may
        have changed the row.
        """
        match self._table.read({self._key: 0}):
            case Success(rows):
                self._version = version_of(rows.get(self._key))

    def _delete_lapsed(
        self, infos: list[MemberInfo], rows: list[Row], now_ms: float
    ) -> None:
        """Delete rows that were not renewed for ``ABANDONED_MS``, and their members."""
        for info, row in zip(infos, rows, strict=True):
            if not self.observer.is_abandoned(info.entry, now_ms):
                continue
            if not self._may_delete(info, now_ms):
                continue
            log.info("Deleting the lapsed lease of {}.", info.entry)
            self._table.commit((Check(row.key, row.version),), (Write(row.key, None),))
            self._members.remove_member(info.entry)

    def _may_delete(self, info: MemberInfo, now_ms: float) -> bool:
        """Return whether an entry has exited, rather than lost only the platform.

        While any entry of another data centre sends heartbeats, the rows of that
        data centre are left to its own representative. Its entries can receive a
        configuration and lend slots throughout an outage of the platform there.
        """
        if info.data_center != self._membership.local_member.data_center:
            return self._membership.is_data_center_silent(
                info.data_center, now_ms, SILENT_DATA_CENTER_AFTER_MS
            )
        return info.entry not in self._membership.live_entries(now_ms)

    def _remove_absent(self, now_ms: float) -> None:
        """Remove members whose rows others have deleted.

        A member is removed after ``ABANDONED_MS`` without a row, unless heartbeats
        from it still arrive.
        """
        absent = {
            entry
            for entry in self._membership.tracked_entries()
            if not self.observer.has_row(entry)
            and not self._membership.has_recent_contact(
                entry, now_ms, ABANDONED_AFTER_MS
            )
        }
        absent_since_ms = {e: self._absent_since_ms.get(e, now_ms) for e in absent}
        self._absent_since_ms = absent_since_ms
        for entry in [
            e for e in absent if now_ms - absent_since_ms[e] >= ABANDONED_AFTER_MS
        ]:
            log.info("Removing {} from the members; it has no lease.", entry)
            self._members.remove_member(entry)

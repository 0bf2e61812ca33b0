"""Roles that one entry holds at a time, by a lease in the table.

A role has two rows, the epoch row and the heartbeat row. The epoch row changes
only when the role passes to another holder. Every transaction of the holder checks
the version of this row, so that a holder that was paused past its lease cannot
change anything: the epoch row is a fencing token. The holder renews the heartbeat
row. Another entry acquires the role when neither row has changed for the duration
of the lease, measured by that entry's own clock, or when the holder has released
the role.

Where the table has a clock, both rows also carry its time. An entry that has just
started can then see that a lease has lapsed without waiting for the duration of the
lease first.
"""

from collections.abc import Mapping

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.refusals import RefusalLog
from corianderpitch.errors import MalformedData
from corianderpitch.ids import EntryId
from corianderpitch.ports import (
    Check,
    Row,
    StoreClock,
    TableService,
    Write,
    partitioned_key,
    version_of,
)
from corianderpitch.records import RoleEpoch, RoleHeartbeat, decode_row, encode_row

UNKNOWN_TIME_MS = 0.0
RELEASED_SEQUENCE = -1  # sequence of the heartbeat that releases the role

# Entries of earlier versions may renew with a time that lags behind by this.
TABLE_TIME_MAX_LAG_MS = 300.0

log = logger("roles")


class RoleLease:
    """The lease of one role, from the point of view of one entry.

    ``table_clock`` bounds the table's time; it is ``None`` if the table has no clock.
    ``acquired_ms`` is the table's time by which this entry last acquired the role.
    """

    def __init__(
        self,
        name: str,
        entry: EntryId,
        table: TableService,
        clock: Clock,
        renew_interval_ms: float,
        lease_ms: float,
        table_clock: StoreClock | None = None,
    ):
        self._table_clock = table_clock
        self._name = name
        self._entry = entry
        self._table = table
        self._clock = clock
        self._renew_interval_ms = renew_interval_ms
        self._lease_ms = lease_ms
        self._refusals = RefusalLog()
        self._epoch_key = f"role/{name}/epoch"
        self._heartbeat_key = f"role/{name}/beat"
        self._epoch = 0
        self._epoch_version = 0
        self._heartbeat_version = 0
        self._heartbeat_sequence = 0
        self._observed_versions: tuple[int, int] | None = None
        self._last_change_ms = clock.now_ms()
        self._next_renewal_ms = 0.0
        self._is_held = False
        self._renewed_ms = 0.0
        self.acquired_ms = 0.0

    @property
    def is_held(self) -> bool:
        """Return whether this entry has acquired the role and not lost it since.

        A loss is detected only after a transaction has failed, so the role may
        already have passed to another entry.
        """
        return self._is_held

    @property
    def epoch(self) -> int:
        """Return the number of this entry's last term, 0 before the first."""
        return self._epoch

    @property
    def renewal_age_ms(self) -> float:
        """Return the age of the last successful renewal, counted from its sending."""
        return self._clock.now_ms() - self._renewed_ms

    @property
    def has_valid_lease(self) -> bool:
        """Return whether the role is held by a lease that cannot have lapsed yet.

        A holder that is cut off from the table keeps trying to renew its lease.
        Once the lease may have lapsed, it is not shown to operators as the
        holder. The fence stops it from changing anything once another entry has
        acquired the role.
        """
        age_ms = self._clock.now_ms() - self._renewed_ms
        return self.is_held and age_ms < self._lease_ms

    def fence(self) -> Check:
        """Return the check that every transaction of the holder must include."""
        return Check(self._epoch_key, self._epoch_version)

    def partitioned_fence(self) -> Check:
        """Return the check of ``fence()`` for a store that has partitions."""
        return Check(partitioned_key(self._epoch_key), self._epoch_version)

    def try_acquire(self, min_free_ms: float = 0.0) -> bool:
        """Acquire the role if it is free; return whether it was acquired.

        The role is free once its lease has lapsed or its holder has released it.
        It must have been free for at least ``min_free_ms``.
        """
        match self._table.read({self._epoch_key: 0, self._heartbeat_key: 0}):
            case Success(rows):
                is_free = self._is_free(rows, min_free_ms)
                return is_free and self._acquire(rows)
        return False

    def renew(self) -> bool:
        """Renew the lease if that is due; return ``False`` if the renewal failed.

        A renewal is due once the renewal interval has passed since the last one. It
        requires that the heartbeat row has not changed since: if the store applies
        an earlier renewal late, the row must not show an older time again.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_renewal_ms:
            return True
        self._heartbeat_sequence += 1
        heartbeat = encode_row(
            RoleHeartbeat(
                self._epoch, self._heartbeat_sequence, self._latest_table_time_ms()
            )
        )
        write = Write(self._heartbeat_key, heartbeat)
        checks = (self.fence(), Check(self._heartbeat_key, self._heartbeat_version))
        match self._table.commit(checks, (write,)):
            case Success(versions):
                self._heartbeat_version = versions[self._heartbeat_key]
                self._next_renewal_ms = now_ms + self._renew_interval_ms
                self._renewed_ms = now_ms
                return True
        self.verify_holder()
        return False

    def release(self) -> None:
        """Release the role, so that another entry can acquire it at once."""
        heartbeat = encode_row(RoleHeartbeat(self._epoch, RELEASED_SEQUENCE))
        write = Write(self._heartbeat_key, heartbeat)
        match self._table.commit((self.fence(),), (write,)):
            case Success(_):
                log.info("Released role {}, epoch {}.", self._name, self._epoch)
            case failure:
                log.warning("Release of a role failed: {!r}.", failure)
        self._mark_lost()

    def verify_holder(self) -> None:
        """Read the role's rows, and mark the role as lost if another entry holds it.

        The holder calls this after a failed transaction.
        """
        match self._table.read({self._epoch_key: 0, self._heartbeat_key: 0}):
            case Success(rows):
                self._heartbeat_version = version_of(rows.get(self._heartbeat_key))
                if version_of(rows.get(self._epoch_key)) != self._epoch_version:
                    self._mark_lost()

    def _is_free(self, rows: Mapping[str, Row], min_free_ms: float) -> bool:
        now_ms = self._clock.now_ms()
        versions = (
            version_of(rows.get(self._epoch_key)),
            version_of(rows.get(self._heartbeat_key)),
        )
        if versions != self._observed_versions:
            self._observed_versions = versions
            self._last_change_ms = now_ms
        unchanged_ms = now_ms - self._last_change_ms
        epoch_row = rows.get(self._epoch_key)
        if epoch_row is None:
            return unchanged_ms >= min_free_ms
        epoch = self._decode_epoch(epoch_row)
        heartbeat_row = rows.get(self._heartbeat_key)
        heartbeat = self._decode_heartbeat(heartbeat_row) if heartbeat_row else None
        has_heartbeat = heartbeat is not None and heartbeat.epoch == epoch.epoch
        if has_heartbeat and heartbeat.sequence == RELEASED_SEQUENCE:
            return unchanged_ms >= min_free_ms
        is_unreadable = heartbeat_row is not None and heartbeat is None
        renewed_ms = heartbeat.sent_ms if has_heartbeat else epoch.taken_ms
        if is_unreadable:
            renewed_ms = UNKNOWN_TIME_MS
        required_age_ms = self._lease_ms + min_free_ms
        return unchanged_ms >= required_age_ms or self._is_renewal_older(
            renewed_ms, required_age_ms
        )

    def _decode_epoch(self, row: Row) -> RoleEpoch:
        """Decode the epoch row.

        If it cannot be read, the row's version stands for the epoch. It is higher
        than the number of every earlier epoch, as each took a transaction. The role
        is then free once the rows have not changed for the duration of the lease.
        """
        try:
            return decode_row(RoleEpoch, row.value)
        except MalformedData as error:
            self._refusals.record(row.key, error)
            return RoleEpoch(EntryId(""), row.version)

    def _decode_heartbeat(self, row: Row) -> RoleHeartbeat | None:
        """Decode the heartbeat row; ``None`` if it cannot be read."""
        try:
            return decode_row(RoleHeartbeat, row.value)
        except MalformedData as error:
            self._refusals.record(row.key, error)
            return None

    def _is_renewal_older(self, renewed_ms: float, age_ms: float) -> bool:
        """Return whether a renewal is certain to be at least ``age_ms`` old.

        ``renewed_ms`` is the table's time of the renewal, or ``UNKNOWN_TIME_MS``, as
        if the table has no clock; the age is then unknown.
        """
        if renewed_ms == UNKNOWN_TIME_MS or self._table_clock is None:
            return False
        unchanged_ms = self._table_clock.time_ms() - renewed_ms
        return unchanged_ms >= age_ms + TABLE_TIME_MAX_LAG_MS

    def _latest_table_time_ms(self) -> float:
        """Return the time of a renewal that is sent now, if the table has a clock.

        It must not be too early: the lease would look lapsed before it has.
        """
        if self._table_clock is None:
            return UNKNOWN_TIME_MS
        return self._table_clock.latest_time_ms()

    def _acquire(self, rows: Mapping[str, Row]) -> bool:
        """Acquire the role unless one of its rows has changed since ``rows``.

        A holder that renews its lease in between keeps the role: it may act on the
        renewed lease.
        """
        began_ms = self._clock.now_ms()
        epoch_row = rows.get(self._epoch_key)
        previous = self._decode_epoch(epoch_row) if epoch_row else None
        epoch_number = previous.epoch + 1 if previous else 1
        epoch = RoleEpoch(self._entry, epoch_number, self._latest_table_time_ms())
        heartbeat_version = version_of(rows.get(self._heartbeat_key))
        checks = (
            Check(self._epoch_key, version_of(epoch_row)),
            Check(self._heartbeat_key, heartbeat_version),
        )
        write = Write(self._epoch_key, encode_row(epoch))
        match self._table.commit(checks, (write,)):
            case Success(versions):
                self._epoch = epoch.epoch
                self.acquired_ms = epoch.taken_ms
                self._epoch_version = versions[self._epoch_key]
                self._heartbeat_version = heartbeat_version
                self._is_held = True
                self._renewed_ms = began_ms
                self._next_renewal_ms = 0.0
                log.info("Acquired role {}, epoch {}.", self._name, epoch.epoch)
                return True
        return False

    def _mark_lost(self) -> None:
        log.info("No longer holding role {}.", self._name)
        self._is_held = False
        self._observed_versions = None
        self._last_change_ms = self._clock.now_ms()

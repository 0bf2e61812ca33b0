"""Roles that one entry holds at a time, by a lease in the table.

A role has two rows. The epoch row changes only when the role changes hands;
its version is checked in every transaction of the holder, so that a holder
which was paused past its lease can change nothing. The beat row is renewed by
the holder; others take the role when it has not changed for the lease's time,
measured by their own clocks. Where the table has a clock, the rows carry its
time, so that an entry that has just started need not watch for the lease's time
first. The method is that of fencing tokens.
"""

from collections.abc import Callable, Mapping

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.ids import EntryId
from corianderpitch.ports import (
    Check,
    Row,
    TableService,
    Write,
    parted_key,
    version_of,
)
from corianderpitch.records import RoleBeat, RoleEpoch, decode_row, encode_row

RELEASED = -1  # sequence of the last beat of a holder that gave its role up

TABLE_TIME_SLACK_MS = 300.0  # how far an entry's estimate of it may lag behind

log = logger("roles")


class RoleLease:
    """One role, as seen from one entry."""

    def __init__(
        self,
        name: str,
        entry: EntryId,
        table: TableService,
        clock: Clock,
        beat_interval_ms: float,
        lease_ms: float,
        table_time_ms: Callable[[], float] = lambda: 0.0,
    ):
        self._table_time_ms = table_time_ms
        self._name = name
        self._entry = entry
        self._table = table
        self._clock = clock
        self._beat_interval_ms = beat_interval_ms
        self._lease_ms = lease_ms
        self._epoch_key = f"role/{name}/epoch"
        self._beat_key = f"role/{name}/beat"
        self._epoch = 0
        self._epoch_version = 0
        self._beat_sequence = 0
        self._seen_versions: tuple[int, int] | None = None
        self._beat_seen_ms = clock.now_ms()
        self._next_beat_ms = 0.0
        self._is_held = False
        self._renewed_ms = 0.0
        self.taken_ms = 0.0  # in the table's time

    @property
    def is_held(self) -> bool:
        """Tell whether this entry believes that it holds the role."""
        return self._is_held

    @property
    def epoch(self) -> int:
        """Return the number of the tenure that began last."""
        return self._epoch

    @property
    def renewed_age_ms(self) -> float:
        """Return how long ago the last successful renewal was sent."""
        return self._clock.now_ms() - self._renewed_ms

    @property
    def is_renewed(self) -> bool:
        """Tell whether the role is held by a lease that cannot have lapsed yet.

        A holder that is cut off from the table goes on trying, and its fence
        keeps it from changing anything; to operators it is no holder.
        """
        age_ms = self._clock.now_ms() - self._renewed_ms
        return self.is_held and age_ms < self._lease_ms

    def fence(self) -> Check:
        """Return the check that every transaction of the holder carries."""
        return Check(self._epoch_key, self._epoch_version)

    def parted_fence(self) -> Check:
        """Return the same check for a store that has partitions."""
        return Check(parted_key(self._epoch_key), self._epoch_version)

    def seek(self, patience_ms: float = 0.0) -> bool:
        """Take the role if its lease has lapsed; returns whether it was taken.

        With ``patience_ms`` it must have been free for so much longer.
        """
        match self._table.read({self._epoch_key: 0, self._beat_key: 0}):
            case Success(rows):
                is_free = self._has_lapsed(rows, patience_ms)
                return is_free and self._take(rows.get(self._epoch_key))
        return False

    def renew(self) -> bool:
        """Renew the lease when due; returns whether the role is still held."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_beat_ms:
            return True
        self._beat_sequence += 1
        beat = encode_row(
            RoleBeat(self._epoch, self._beat_sequence, self._table_time_ms())
        )
        write = Write(self._beat_key, beat)
        match self._table.commit((self.fence(),), (write,)):
            case Success(_):
                self._next_beat_ms = now_ms + self._beat_interval_ms
                self._renewed_ms = now_ms
                return True
        self.verify()
        return False

    def release(self) -> None:
        """Give the role up, so that another entry can take it at once."""
        beat = encode_row(RoleBeat(self._epoch, RELEASED))
        write = Write(self._beat_key, beat)
        match self._table.commit((self.fence(),), (write,)):
            case Success(_):
                log.info("Gave up the role {}, epoch {}.", self._name, self._epoch)
            case failure:
                log.warning("Could not give up the role: {!r}.", failure)
        self._lose()

    def verify(self) -> None:
        """Give the role up if it has changed hands, after a failed transaction."""
        match self._table.read({self._epoch_key: 0}):
            case Success(rows):
                row = rows.get(self._epoch_key)
                if row is None or row.version != self._epoch_version:
                    self._lose()

    def _has_lapsed(self, rows: Mapping[str, Row], patience_ms: float) -> bool:
        now_ms = self._clock.now_ms()
        versions = (
            version_of(rows.get(self._epoch_key)),
            version_of(rows.get(self._beat_key)),
        )
        if versions != self._seen_versions:
            self._seen_versions = versions
            self._beat_seen_ms = now_ms
        unchanged_ms = now_ms - self._beat_seen_ms
        epoch_row = rows.get(self._epoch_key)
        if epoch_row is None:
            return unchanged_ms >= patience_ms
        epoch = decode_row(RoleEpoch, epoch_row.value)
        beat_row = rows.get(self._beat_key)
        beat = decode_row(RoleBeat, beat_row.value) if beat_row else None
        is_beating = beat is not None and beat.epoch == epoch.epoch
        if is_beating and beat.sequence == RELEASED:
            return unchanged_ms >= patience_ms
        renewed_ms = beat.sent_ms if is_beating else epoch.taken_ms
        free_after_ms = self._lease_ms + patience_ms
        return unchanged_ms >= free_after_ms or self._is_older(
            renewed_ms, free_after_ms
        )

    def _is_older(self, renewed_ms: float, age_ms: float) -> bool:
        """Tell whether a renewal at a time of the table's clock is older than that."""
        if renewed_ms == 0.0:
            return False
        return self._table_time_ms() - renewed_ms >= age_ms + TABLE_TIME_SLACK_MS

    def _take(self, epoch_row: Row | None) -> bool:
        old = decode_row(RoleEpoch, epoch_row.value) if epoch_row else None
        number = old.epoch + 1 if old else 1
        epoch = RoleEpoch(self._entry, number, self._table_time_ms())
        check = Check(self._epoch_key, version_of(epoch_row))
        write = Write(self._epoch_key, encode_row(epoch))
        match self._table.commit((check,), (write,)):
            case Success(versions):
                self._epoch = epoch.epoch
                self.taken_ms = epoch.taken_ms
                self._epoch_version = versions[self._epoch_key]
                self._is_held = True
                self._renewed_ms = self._clock.now_ms()
                self._next_beat_ms = 0.0
                log.info("Taking the role {}, epoch {}.", self._name, epoch.epoch)
                return True
        return False

    def _lose(self) -> None:
        log.info("Lost the role {}.", self._name)
        self._is_held = False
        self._seen_versions = None
        self._beat_seen_ms = self._clock.now_ms()

"""Roles that one entry holds at a time, by a lease in the table.

A role has two rows. The epoch row changes only when the role changes hands;
its version is checked in every transaction of the holder, so that a holder
which was paused past its lease can change nothing. The beat row is renewed by
the holder; others take the role when it has not changed for the lease's time,
measured by their own clocks. The method is that of fencing tokens.
"""

from collections.abc import Mapping

from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.ids import EntryId
from corianderpitch.ports import Check, Row, TableService, Write, version_of
from corianderpitch.records import RoleBeat, RoleEpoch, decode_row, encode_row

RELEASED = -1  # sequence of the last beat of a holder that gave its role up

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
    ):
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

    def seek(self) -> bool:
        """Take the role if its lease has lapsed; returns whether it was taken."""
        match self._table.read({self._epoch_key: 0, self._beat_key: 0}):
            case Success(rows):
                return self._has_lapsed(rows) and self._take(rows.get(self._epoch_key))
        return False

    def renew(self) -> bool:
        """Renew the lease when due; returns whether the role is still held."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_beat_ms:
            return True
        self._beat_sequence += 1
        beat = encode_row(RoleBeat(self._epoch, self._beat_sequence))
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

    def _has_lapsed(self, rows: Mapping[str, Row]) -> bool:
        now_ms = self._clock.now_ms()
        versions = (
            version_of(rows.get(self._epoch_key)),
            version_of(rows.get(self._beat_key)),
        )
        if versions != self._seen_versions:
            self._seen_versions = versions
            self._beat_seen_ms = now_ms
        is_new = self._epoch_key not in rows
        beat_row = rows.get(self._beat_key)
        beat = decode_row(RoleBeat, beat_row.value) if beat_row else None
        epoch_row = rows.get(self._epoch_key)
        epoch = decode_row(RoleEpoch, epoch_row.value).epoch if epoch_row else 0
        is_released = (
            beat is not None and beat.sequence == RELEASED and beat.epoch == epoch
        )
        return is_new or is_released or now_ms - self._beat_seen_ms >= self._lease_ms

    def _take(self, epoch_row: Row | None) -> bool:
        old = decode_row(RoleEpoch, epoch_row.value) if epoch_row else None
        epoch = RoleEpoch(self._entry, old.epoch + 1 if old else 1)
        check = Check(self._epoch_key, version_of(epoch_row))
        write = Write(self._epoch_key, encode_row(epoch))
        match self._table.commit((check,), (write,)):
            case Success(versions):
                self._epoch = epoch.epoch
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

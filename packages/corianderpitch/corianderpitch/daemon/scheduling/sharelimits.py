"""Rate limits of teams whose surplus cannot be served, in the store.

While jobs beyond a team's share miss their objective before they begin, the holder of
the scheduler's role limits the team in that queue. A limit is a row in each partition
of the queue, with the time at which the team's next job is due there. A submission
within the team's rate moves that time on in its own transaction; any other is refused
at once, and told when to come back.

A refusal says that the job never runs. An earlier submission of it may still be on its
way, so the refusal writes the rows too: whatever required their former versions fails.
A holder that dies leaves the limits, within which the team goes on, to its successor.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.closing import ClosedItems
from corianderpitch.daemon.scheduling.guardedstore import GuardedStore
from corianderpitch.daemon.scheduling.rows import (
    LIMITS_TABLE,
    PARTITIONS_PER_QUEUE,
    RANGE_END,
    ShareLimit,
    limit_key,
    pack_limit,
    queue_of,
    queue_partitions,
    unpack_limit,
)
from corianderpitch.domain.scheduling.shares import SHARE_WINDOW_MS, place_in_rate
from corianderpitch.domain.scheduling.usage import TeamUsage
from corianderpitch.errors import MalformedData, PlatformError
from corianderpitch.ids import QueueName, TeamName
from corianderpitch.ports import Check, Row, RowStore, Write

MIN_WEIGHT = 0.01  # a limit needs a rate, also for a team without weight

log = logger("admission")

LimitedTeam = tuple[QueueName, TeamName]


@dataclass(frozen=True, slots=True)
class OverShare:
    """A team has sent more than its share; its next job is due after ``retry_ms``."""

    retry_ms: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """What a submission requires, and writes, to be within its team's rate."""

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()


NO_LIMIT = Reservation()


class EntryLimits:
    """The limits that an entry has met, as it read them last.

    A submission requires the version that the entry knows. A conflict therefore shows
    that the limit has changed, and it is read again.
    """

    def __init__(self, store: GuardedStore):
        self._store = store
        self._rows: dict[tuple[str, TeamName], tuple[int, ShareLimit]] = {}

    def reserve(
        self, part: str, team: TeamName | None
    ) -> Result[Reservation, OverShare]:
        """Reserve the next place of a team in a partition."""
        if team is None:
            return Success(NO_LIMIT)
        key = limit_key(part, team)
        version, limit = self._rows.get((part, team), (0, None))
        check = Check(key, version)
        if limit is None:
            return Success(Reservation((check,)))
        place = place_in_rate(limit.due_ms, self._store.time_ms(), limit.rate_per_s)
        if place.early_ms > 0:
            return Failure(OverShare(place.early_ms))
        moved = replace(limit, due_ms=place.next_due_ms)
        return Success(Reservation((check,), (Write(key, pack_limit(moved)),)))

    def refusal(self, parts: Iterable[str], team: TeamName) -> Reservation:
        """Return the writes after which no earlier submission can be stored.

        They require that the limits still exist.
        """
        known = [part for part in parts if (part, team) in self._rows]
        checks: list[Check] = []
        writes: list[Write] = []
        for part in known:
            version, limit = self._rows[part, team]
            checks.append(Check(limit_key(part, team), version))
            writes.append(Write(limit_key(part, team), pack_limit(limit)))
        return Reservation(tuple(checks), tuple(writes))

    def note_written(self, reservation: Reservation, version: int) -> None:
        """Note the version at which the limits of a reservation were written."""
        for write in reservation.writes:
            limit = unpack_limit(write.value)
            self._rows[write.key.part, TeamName(write.key.name)] = (version, limit)

    def refresh(self, part: str, team: TeamName | None) -> Result[bool, PlatformError]:
        """Read a limit again; return whether it differs from the one known so far."""
        if team is None:
            return Success(False)
        read = self._store.read(LIMITS_TABLE, part, team, team + RANGE_END)
        return read.map(lambda snapshot: self._replace(part, team, snapshot.rows))

    def _replace(self, part: str, team: TeamName, rows: Iterable[Row]) -> bool:
        known = self._rows.pop((part, team), None)
        for row in rows:
            if row.key.name == team:
                self._rows[part, team] = (row.version, _read_limit(row))
        return self._rows.get((part, team)) != known


def _read_limit(row: Row) -> ShareLimit:
    """Return the limit in a row; one that cannot be read limits nothing."""
    try:
        return unpack_limit(row.value)
    except MalformedData:
        return UNLIMITED


UNLIMITED = ShareLimit(0.0, 1e9)


class LimitedTeams(ClosedItems[LimitedTeam]):
    """The teams that the holder limits to the rate of their weights, by queue."""

    def __init__(self, store: RowStore, role: RoleLease, usage: TeamUsage):
        super().__init__(store, role, LIMITS_TABLE)
        self._usage = usage

    def _read_names(self) -> Result[set[LimitedTeam], PlatformError]:
        names: set[LimitedTeam] = set()
        listed = self._store.list_partitions(LIMITS_TABLE)
        for part in listed.value_or(()):
            match self._store.read(LIMITS_TABLE, part):
                case Success(snapshot):
                    queue = queue_of(part)
                    names |= {(queue, TeamName(r.key.name)) for r in snapshot.rows}
                case failure:
                    return failure
        return listed.map(lambda _: names)

    def _writes(self, item: LimitedTeam, is_closed: bool) -> tuple[Write, ...]:
        queue, team = item
        value = pack_limit(self._new_limit(team)) if is_closed else None
        keys = [limit_key(part, team) for part in queue_partitions(queue)]
        return tuple(Write(key, value) for key in keys)

    def _new_limit(self, team: TeamName) -> ShareLimit:
        """Return a limit of which the window is used up."""
        weight = max(MIN_WEIGHT, self._usage.team(team).weight)
        rate_per_s = weight / PARTITIONS_PER_QUEUE
        return ShareLimit(self._store.time_ms() + SHARE_WINDOW_MS, rate_per_s)

    def _log_change(self, item: LimitedTeam, is_closed: bool) -> None:
        queue, team = item
        log.warning(
            "Team limited to its share." if is_closed else "Team no longer limited.",
            team=team,
            queue=queue,
        )

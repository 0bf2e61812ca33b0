"""What teams have running, or may have, and what their quotas admit beside that.

A quota limits what a team really has running on all workers. The count therefore
includes each run that was planned and has not certainly ended, and whatever the holder
of the scheduler's role cannot know at its most: runs of jobs that were not read, runs
that a predecessor has started, and runs that were being stopped when it took over.
"""

from collections.abc import Collection, Iterable, Mapping, Set

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.workers import NOTHING, WorkerView
from corianderpitch.domain.scheduling.workloads import Workload
from corianderpitch.ids import JobId, TeamName, WorkerId


class TeamUsage:
    """Counts what each team has running, anew for each planning round."""

    def __init__(self):
        self._configured: Mapping[TeamName, Team] = {}
        self._teams: dict[TeamName, Team] = {}
        self._used: dict[TeamName, Shape] = {}
        self._with_stopped_runs: set[TeamName] = set()

    def set_teams(self, teams: Mapping[TeamName, Team]) -> None:
        """Apply the teams of a configuration; dropped ones keep their last quota."""
        if teams is not self._configured:
            self._configured = teams
            self._teams |= teams

    @property
    def teams(self) -> Collection[Team]:
        """Return the teams that a configuration has named in this term."""
        return self._teams.values()

    def team(self, name: TeamName | None) -> Team | None:
        """Return a team, ``None`` if no configuration has named it."""
        return self._teams.get(name) if name is not None else None

    def used(self, name: TeamName) -> Shape:
        """Return what a team has or may have running."""
        return self._used.get(name, NOTHING)

    def note_stopped_runs(self, name: TeamName) -> None:
        """Note that a predecessor has ended a job of a team while tasks were running.

        Their runs may still be stopping, on workers that have not reported yet.
        """
        self._with_stopped_runs.add(name)

    def count(
        self,
        workers: Mapping[WorkerId, WorkerView],
        jobs: Mapping[JobId, ActiveJob],
        awaiting_report: Set[WorkerId],
        has_read_all_jobs: bool,
    ) -> None:
        """Count what runs, and what may run, at the beginning of a round."""
        if not self._teams:
            return
        self._used = _used_by_team(workers.values())
        unexplained = NOTHING
        for worker in workers.values():
            if worker.has_unread_runs or worker.has_unneeded_runs:
                unexplained = unexplained.plus(_room(worker))
        if not awaiting_report and unexplained == NOTHING:
            return
        awaited = _room_of(awaiting_report, workers)
        may_run = _startable_by_team(jobs.values()) if awaiting_report else {}
        for name in self._teams:
            hidden = awaited
            if has_read_all_jobs and name not in self._with_stopped_runs:
                hidden = _least(awaited, may_run.get(name, NOTHING))
            self.add(name, unexplained.plus(hidden))

    def add(self, name: TeamName | None, usage: Shape) -> None:
        """Add a run of a team to the count."""
        if name is not None:
            self._used[name] = self.used(name).plus(usage)

    def admits(self, name: TeamName | None, shape: Shape, count: int = 1) -> bool:
        """Return whether a team may start some tasks of a shape now, all of them.

        A single task is admitted whenever the team has nothing running: its job may
        have been accepted under a larger quota.
        """
        team = self.team(name)
        if team is None:
            return True
        used = self.used(team.name)
        if count == 1 and used == NOTHING:
            return True
        return team.quota.admits(used.plus(shape.times(count)))

    def admitted_share(self, name: TeamName | None, waiting: Shape) -> float:
        """Return the share of some waiting tasks that a quota admits at present.

        Workers for the others would stand idle.
        """
        team = self.team(name)
        if team is None:
            return 1.0
        used, quota = self.used(team.name), team.quota
        return min(
            _share(quota.max_processors - used.processors, waiting.processors),
            _share(quota.max_memory_mb - used.memory_mb, waiting.memory_mb),
            _share(quota.max_accelerators - used.accelerators, waiting.accelerators),
        )


def _share(room: float, needed: float) -> float:
    return min(1.0, max(0.0, room) / needed) if needed > 0 else 1.0


def fits_quota(workload: Workload, teams: Mapping[TeamName, Team]) -> bool:
    """Return whether no gang of a job is larger than its team's quota.

    The tasks of other steps can run one after the other.
    """
    team = teams.get(workload.team) if workload.team is not None else None
    return team is None or all(
        team.quota.admits(step.shape.times(step.count))
        for step in workload.steps
        if step.is_gang
    )


def _used_by_team(workers: Iterable[WorkerView]) -> dict[TeamName, Shape]:
    """Return the sum of each team's runs; there are hundreds in each round."""
    sums: dict[TeamName, list[float]] = {}
    for worker in workers:
        for run in worker.runs.values():
            if run.team is None:
                continue
            usage, total = run.usage, sums.get(run.team)
            if total is None:
                total = sums[run.team] = [0.0, 0, 0]
            total[0] += usage.processors
            total[1] += usage.memory_mb
            total[2] += usage.accelerators
    return {team: Shape(*total) for team, total in sums.items()}


def _startable_by_team(jobs: Iterable[ActiveJob]) -> dict[TeamName, Shape]:
    """Return the most that a predecessor may have running of each team's open jobs."""
    startable: dict[TeamName, Shape] = {}
    for job in jobs:
        team = job.workload.team
        if team is None or not job.may_have_unknown_runs:
            continue
        for step in job.steps():
            count = step.step.count - len(step.done) - len(step.runs)
            needed = step.step.shape.times(max(0, count))
            startable[team] = startable.get(team, NOTHING).plus(needed)
    return startable


def _room_of(ids: Set[WorkerId], workers: Mapping[WorkerId, WorkerView]) -> Shape:
    """Return the most that may run unknown on some workers.

    One that is not listed may be as large as the largest of the others.
    """
    largest = NOTHING
    for worker in workers.values() if ids else ():
        largest = _most(largest, worker.info.capacity)
    return _sum(_room(workers[i]) if i in workers else largest for i in ids)


def _room(worker: WorkerView) -> Shape:
    return _most(worker.free, NOTHING)


def _sum(shapes: Iterable[Shape]) -> Shape:
    total = NOTHING
    for shape in shapes:
        total = total.plus(shape)
    return total


def _least(one: Shape, other: Shape) -> Shape:
    return Shape(
        min(one.processors, other.processors),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


def _most(one: Shape, other: Shape) -> Shape:
    return Shape(
        max(one.processors, other.processors),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators, other.accelerators),
    )

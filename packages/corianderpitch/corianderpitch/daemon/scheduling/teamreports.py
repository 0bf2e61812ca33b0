"""Shows operators what each team has running, its quota, and its share."""

from collections import Counter

import eventlet

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.meters import JobMeters, TeamStatus
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.ids import TeamName

REPORT_INTERVAL_S = 1.0

log = logger("teams")


class TeamReports:
    """Sets the gauges of the teams, and logs when one sends more than its share."""

    def __init__(self, scheduler: Scheduler, meters: JobMeters):
        self._scheduler = scheduler
        self._meters = meters
        self._beyond_share: frozenset[TeamName] = frozenset()

    def run(self) -> None:
        """Report until the thread is killed."""
        while True:
            eventlet.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Set the gauges, and log the teams that have come to exceed their share."""
        teams = self._scheduler.usage.teams
        if not teams:
            return
        jobs: Counter[tuple[TeamName | None, bool]] = Counter(
            (job.workload.team, job.is_beyond_share)
            for job in self._scheduler.jobs.values()
        )
        statuses = [self._status(team, jobs) for team in teams]
        for status in statuses:
            self._meters.set_team(status)
            if status.jobs_beyond_share and status.name not in self._beyond_share:
                log.info(
                    "Team exceeds its share.",
                    team=status.name,
                    beyond=status.jobs_beyond_share,
                    running=round(status.running, 1),
                )
        self._beyond_share = frozenset(s.name for s in statuses if s.jobs_beyond_share)

    def _status(
        self, team: Team, jobs: Counter[tuple[TeamName | None, bool]]
    ) -> TeamStatus:
        return TeamStatus(
            team.name,
            self._scheduler.usage.used(team.name).processors,
            team.quota.max_processors,
            jobs[team.name, False],
            jobs[team.name, True],
        )

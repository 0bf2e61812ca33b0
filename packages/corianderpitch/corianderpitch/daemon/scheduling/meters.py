"""Metrics of multi-step jobs, in the Prometheus text format."""

from dataclasses import dataclass

from corianderpitch.daemon.metrics import MeterSet
from corianderpitch.ids import TeamName


@dataclass(frozen=True, slots=True)
class TeamStatus:
    """What a team has running, in processors, and its open jobs.

    ``running`` includes what may be running although the holder does not know it.
    """

    name: TeamName
    running: float
    quota: float
    jobs_within_share: int
    jobs_beyond_share: int


class JobMeters(MeterSet):
    """Counters, histograms and gauges of one entry."""

    def __init__(self):
        super().__init__()
        self._calls = self._counter("job_calls_total", "Calls by kind and outcome.")
        self._call_ms = self._histogram("job_call_ms", "Time to answer a call.")
        self._orders = self._counter("job_orders_total", "Orders by kind and result.")
        self._order_ms = self._histogram("job_order_ms", "Time of an order.")
        self._ended = self._counter("jobs_ended_total", "Jobs by final state.")
        self._job_ms = self._histogram("job_ms", "Time from acceptance to the end.")
        self._commits = self._counter("job_commits_total", "Commits by result.")
        self._commit_ms = self._histogram("job_commit_ms", "Time of a commit.")
        self._terms = self._counter("job_terms_total", "Tenures of this entry.")
        self._open_jobs = self._gauge("jobs_open", "Jobs that have not ended.")
        self._team_processors = self._gauge(
            "team_processors", "Processors of a team: running, and its quota."
        )
        self._team_jobs = self._gauge(
            "team_jobs", "Open jobs of a team, within and beyond its share."
        )
        self._run_time_ratio = self._gauge(
            "run_time_ratio", "Observed run times as a share of the declared ones."
        )
        self._run_time_error = self._gauge(
            "run_time_error",
            "Variance of the binary logarithm of a step's time about what is expected.",
        )

    def record_call(self, call: str, outcome: str, took_ms: float) -> None:
        """Record a call of a caller and the time until its answer."""
        self._calls.inc({"call": call, "outcome": outcome})
        self._call_ms.add({"call": call}, took_ms)

    def record_order(self, kind: str, result: str, took_ms: float) -> None:
        """Record an order to a worker."""
        self._orders.inc({"kind": kind, "result": result})
        self._order_ms.add({"kind": kind}, took_ms)

    def record_end(self, queue: str, state: str, took_ms: float) -> None:
        """Record the end of a job."""
        self._ended.inc({"queue": queue, "state": state})
        self._job_ms.add({"queue": queue}, took_ms)

    def record_commit(self, result: str, took_ms: float) -> None:
        """Record a commit of progress."""
        self._commits.inc({"result": result})
        self._commit_ms.add({}, took_ms)

    def record_term(self) -> None:
        """Record the start of a term."""
        self._terms.inc({})

    def set_open_jobs(self, jobs: int) -> None:
        """Set the number of jobs that have not ended; 0 without the scheduler role."""
        self._open_jobs.set({}, jobs)

    def set_team(self, status: TeamStatus) -> None:
        """Set the gauges of a team."""
        team = {"team": status.name}
        self._team_processors.set({**team, "kind": "running"}, status.running)
        self._team_processors.set({**team, "kind": "quota"}, status.quota)
        self._team_jobs.set({**team, "kind": "within"}, status.jobs_within_share)
        self._team_jobs.set({**team, "kind": "beyond"}, status.jobs_beyond_share)

    def set_run_times(self, queue: str, ratio: float, error_variance: float) -> None:
        """Set what was learned of a queue's run times."""
        self._run_time_ratio.set({"queue": queue}, ratio)
        self._run_time_error.set({"queue": queue}, error_variance)

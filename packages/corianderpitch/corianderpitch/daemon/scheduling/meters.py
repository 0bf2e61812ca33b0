"""Metrics of multi-step jobs, in the Prometheus text format."""

from corianderpitch.daemon.metrics import MeterSet


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

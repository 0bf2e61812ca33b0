"""Recent crashes of workers, and the decisions that they lead to."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.crashes import (
    CRASHES_TO_GIVE_UP,
    DECISION_DELAY_MS,
    JobGivenUp,
    Outage,
    WorkerCrash,
)
from corianderpitch.ids import JobId

COMMON_CAUSE_WINDOW_MS = 500.0  # between the outages of two workers
COMMON_CAUSE_WORKERS = 2  # that fall silent at about the same time as another one
RETENTION_MS = 5000.0  # workers wait up to two seconds before they answer


@dataclass(slots=True)
class CrashLog:
    """Recent crashes of workers, and those that are not decided on yet."""

    _new: list[WorkerCrash] = field(default_factory=list)
    _recent: list[tuple[float, WorkerCrash]] = field(default_factory=list)
    _undecided: list[tuple[float, WorkerCrash]] = field(default_factory=list)

    def add(self, crash: WorkerCrash) -> None:
        """Add a crash; the next call of ``pop_given_up`` sets its time."""
        self._new.append(crash)

    def pop_given_up(self, silent: Iterable[Outage], now_ms: float) -> list[JobGivenUp]:
        """Return the jobs to give up for crashes of some time ago.

        ``silent`` are the outages of the workers that are silent now.
        """
        for crash in self._new:
            self._recent.append((now_ms, crash))
            if _may_be_decisive(crash):
                self._undecided.append((now_ms, crash))
        self._new.clear()
        due = [c for c in self._undecided if now_ms - c[0] >= DECISION_DELAY_MS]
        self._undecided = [c for c in self._undecided if c not in due]
        outages = self._outages(silent) if due else []
        decisions = [
            crash.decision()
            for _, crash in due
            if not _has_common_cause(crash.outage, outages)
        ]
        oldest_ms = now_ms - RETENTION_MS
        self._recent = [(at, crash) for at, crash in self._recent if at >= oldest_ms]
        return decisions

    def is_undecided(self, job_id: JobId) -> bool:
        """Return whether a crash that a job may have caused is not decided on yet."""
        return any(crash.only_job == job_id for _, crash in self._undecided)

    def _outages(self, silent: Iterable[Outage]) -> list[Outage]:
        """Return the recent outages, one for each worker."""
        crashed = {crash.worker.worker: crash.outage for _, crash in self._recent}
        others = [o for o in silent if o.worker.worker not in crashed]
        return [*crashed.values(), *others]


def _may_be_decisive(crash: WorkerCrash) -> bool:
    return (
        crash.only_job is not None
        and crash.outage.had_suspect
        and crash.is_prompt
        and crash.crashes >= CRASHES_TO_GIVE_UP
    )


def _has_common_cause(outage: Outage, others: Iterable[Outage]) -> bool:
    """Return whether several related workers fell silent at about the same time."""
    related = [
        other
        for other in others
        if other.worker.worker != outage.worker.worker and _are_related(other, outage)
    ]
    return len(related) >= COMMON_CAUSE_WORKERS


def _are_related(other: Outage, outage: Outage) -> bool:
    """Return whether an outage may have the same cause as another one.

    Both are in the same service or zone. An outage that a suspect explains must also
    be in the same rack, at the same time.
    """
    one, two = other.worker, outage.worker
    if other.had_suspect:
        return one.rack == two.rack and _are_close(other, outage, 0.0)
    is_near = one.zone == two.zone or one.service == two.service
    return is_near and _are_close(other, outage, COMMON_CAUSE_WINDOW_MS)


def _are_close(one: Outage, other: Outage, window_ms: float) -> bool:
    """Return whether two outages may have begun within a window."""
    return (
        one.heard_ms <= other.silent_ms + window_ms
        and other.heard_ms <= one.silent_ms + window_ms
    )

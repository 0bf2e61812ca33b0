"""What is to be logged about runs that ended without success."""

from corianderpitch.domain.scheduling.orders import LossCause, RunNotice
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import TaskRef


class NoticeLog:
    """Collects notices until they are logged."""

    def __init__(self):
        self._notices: list[RunNotice] = []

    def add(
        self,
        worker: WorkerView,
        task: TaskRef,
        number: int,
        how: str,
        cause: LossCause | None = None,
    ) -> None:
        """Add a run, how it ended, and how its loss was noticed."""
        self._notices.append(
            RunNotice(worker.info.worker, task, number, how, cause, worker.incarnation)
        )

    def pop(self) -> list[RunNotice]:
        """Return the notices since the last call."""
        notices, self._notices = self._notices, []
        return notices

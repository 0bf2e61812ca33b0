"""One tenure of the scheduler's role: what it reads, follows and keeps running."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import eventlet
from eventlet.event import Event
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.jobreader import JobReader
from corianderpitch.daemon.scheduling.links import WorkerTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.supervision import keep_running
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.pacing import pace_fillers
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.scheduler import Scheduler, Term
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import Queue
from corianderpitch.errors import HistoryLost
from corianderpitch.ids import QueueName, WorkerId
from corianderpitch.ports import RowStore, WorkerChanges, WorkerLink, WorkerList

FOLLOW_WAIT_MS = 1000
FOLLOW_RETRY_S = 0.1
LOAD_RETRY_S = 0.1
LEASE_END_SHARE = 1.05  # workers' clocks may be 2 % slow
WORKERS_INTERVAL_S = 0.2  # workers renew their entries often; takes them in batches
PLAN_IDLE_S = 0.1
MIN_GATHER_MS = 2.0
MAX_GATHER_MS = 20.0
GATHER_PER_ROUND = 4.0  # planning takes a fifth of the processor at most
EXPIRY_INTERVAL_MS = 50.0
RENEW_CHECK_S = 0.1
MIN_TENURE_MS = 5000.0  # a takeover costs all pools a pause
RESTART_PAUSE_S = 0.2

log = logger("scheduler")


class TermTask(Protocol):
    """A task that runs beside the scheduler for the time of a tenure."""

    def run(self) -> None:
        """Work until killed."""


class SchedulerTerm:
    """Runs the scheduler while this entry holds the role."""

    def __init__(
        self,
        store: RowStore,
        workers: WorkerList,
        link: WorkerLink,
        role: RoleLease,
        clock: Clock,
        meters: JobMeters,
        queues: Callable[[], Mapping[QueueName, Queue]],
        lease_ms: float,
        role_lease_ms: float,
        keep_ended_ms: float,
        companions: Sequence[Callable[[Scheduler, Callable[[], None]], TermTask]],
        is_outclassed: Callable[[], bool],
    ):
        self._store = store
        self._workers = workers
        self._link = link
        self._role = role
        self._clock = clock
        self._meters = meters
        self._queues = queues
        self._lease_ms = lease_ms
        self._role_lease_ms = role_lease_ms
        self._is_outclassed = is_outclassed
        began_ms = clock.now_ms()
        wait_ms = lease_ms * LEASE_END_SHARE
        term = Term(role.epoch, role.fence().version, began_ms + wait_ms)
        self.scheduler = Scheduler(term)
        diverted = DivertedJobs(store, role, self.scheduler)
        self._commits = CommitTask(
            store,
            role,
            self.scheduler,
            diverted,
            clock,
            meters,
            self._plan_soon,
            keep_ended_ms,
        )
        self._jobs = JobReader(
            store,
            role,
            self.scheduler,
            self._commits,
            diverted,
            clock,
            wait_ms,
            self.wake,
        )
        self._companions = [new(self.scheduler, self.wake) for new in companions]
        self._tasks: dict[WorkerId, WorkerTask] = {}
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._wake_event = Event()
        self._is_stopped = False
        self._workers_version = 0
        self._next_expiry_ms = 0.0

    def run(self) -> None:
        """Serve until the role is lost."""
        self._meters.record_term()
        try:
            while not self._load():
                log.warning("Could not read the store; the role is not served yet.")
                eventlet.sleep(LOAD_RETRY_S)
                self._role.renew()
                if not (self._is_serving() and self._role.is_renewed):
                    return
            loops = (self._jobs.follow, self._follow_workers, self._plan_loop)
            for loop in (
                *loops,
                self._jobs.read_rest,
                self._jobs.divert,
                self._commits.run,
                *(task.run for task in self._companions),
            ):
                self._threads.append(
                    eventlet.spawn(keep_running, loop, RESTART_PAUSE_S)
                )
            self._hold()
        finally:
            self._meters.set_open(0)
            for thread in self._threads:
                thread.kill()

    def _hold(self) -> None:
        yields_from_ms = self._clock.now_ms() + MIN_TENURE_MS
        while self._is_serving():
            self._role.renew()
            if self._is_outclassed() and self._clock.now_ms() >= yields_from_ms:
                log.info("Yielding to an entry with more room.")
                self.stop()
            eventlet.sleep(RENEW_CHECK_S)
        log.info(
            "Tenure ends.",
            term=self.scheduler.term.number,
            superseded=self.scheduler.is_superseded,
        )

    def _is_serving(self) -> bool:
        is_valid = self._role.is_held and not self.scheduler.is_superseded
        return is_valid and not self._is_stopped

    def stop(self) -> None:
        """End the tenure: nothing is ordered any more."""
        self._is_stopped = True
        for thread in self._threads:
            thread.kill()

    def wake(self) -> None:
        """Plan and commit soon."""
        self._plan_soon()
        self._commits.wake()

    def _plan_soon(self) -> None:
        if not self._wake_event.ready():
            self._wake_event.send()

    # Reading and following the store.

    def _load(self) -> bool:
        self.scheduler.set_queues(self._queues())
        return self._load_recorded() and self._jobs.load() and self._load_workers()

    def _load_recorded(self) -> bool:
        """Learn which workers a predecessor may have given something to."""
        match self._commits.recorded_workers():
            case Success(worker_ids):
                self.scheduler.unheard |= set(worker_ids)
                return True
        return False

    def _load_workers(self) -> bool:
        match self._workers.read():
            case Success(changes):
                listed = {info.worker for info in changes.listed}
                for worker_id in set(self.scheduler.workers) - listed:
                    self.scheduler.unlist_worker(worker_id)
                self._take_workers(changes)
                return True
        return False

    def _follow_workers(self) -> None:
        while True:
            match self._workers.follow(self._workers_version, FOLLOW_WAIT_MS):
                case Success(_) if not self._role.is_renewed:
                    eventlet.sleep(FOLLOW_RETRY_S)
                case Success(changes):
                    self._take_workers(changes)
                    eventlet.sleep(WORKERS_INTERVAL_S)
                case Failure(HistoryLost()):
                    log.warning("History of workers lost; reading them anew.")
                    self._load_workers()
                case Failure(error):
                    log.debug("Workers not followed.", cause=repr(error))
                    eventlet.sleep(FOLLOW_RETRY_S)

    def _take_workers(self, changes: WorkerChanges) -> None:
        now_ms = self._clock.now_ms()
        for info in changes.listed:
            if self.scheduler.set_worker(info, now_ms):
                self._begin_worker(info)
        for worker_id in changes.gone:
            self.scheduler.unlist_worker(worker_id)
        self._workers_version = max(self._workers_version, changes.version)

    def _begin_worker(self, info: WorkerInfo) -> None:
        task = WorkerTask(
            info.worker,
            self.scheduler,
            self._link,
            self._role,
            self._commits,
            self._clock,
            self._meters,
            self._lease_ms,
            self._role_lease_ms,
            self.wake,
        )
        self._tasks[info.worker] = task
        for loop in (task.watch, task.carry_out):
            self._threads.append(eventlet.spawn(keep_running, loop, RESTART_PAUSE_S))
        log.info("Worker.", worker=info.worker, service=info.service, vm=info.vm)

    # Planning.

    def _plan_loop(self) -> None:
        """Plan when something has changed, in rounds that grow with their cost."""
        gather_ms = MIN_GATHER_MS
        while True:
            with eventlet.Timeout(PLAN_IDLE_S, False):
                self._wake_event.wait()
            self._wake_event = Event()
            eventlet.sleep(gather_ms / 1000.0)
            began_ms = self._clock.now_ms()
            self._plan(began_ms)
            took_ms = self._clock.now_ms() - began_ms
            gather_ms = GATHER_PER_ROUND * took_ms
            gather_ms = min(MAX_GATHER_MS, max(MIN_GATHER_MS, gather_ms))

    def _plan(self, now_ms: float) -> None:
        self.scheduler.set_queues(self._queues())
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self.scheduler.expire(now_ms)
        is_renewed = self._role.is_renewed
        if is_renewed:
            evacuate(self.scheduler, now_ms)
        plan(self.scheduler, now_ms, self._clock.wall_ms(), is_renewed)
        self._meters.set_open(len(self.scheduler.jobs))
        self._hand_out()

    def _drop_ended_threads(self) -> None:
        """Forget the threads of workers that are gone."""
        gone = set(self._tasks) - set(self.scheduler.workers)
        if not gone:
            return
        for worker_id in gone:
            del self._tasks[worker_id]
        self._threads = [thread for thread in self._threads if not thread.dead]

    def _log_notices(self) -> None:
        for notice in self.scheduler.take_notices():
            log.info(
                "Run ended.",
                job=notice.task.job_id,
                task=notice.task.place,
                run=notice.number,
                worker=notice.worker,
                how=notice.how,
            )

    def _hand_out(self) -> None:
        self._log_notices()
        self._drop_ended_threads()
        orders = self.scheduler.take_orders()
        orders += pace_fillers(self.scheduler, self._clock.now_ms())
        for order in orders:
            task = self._tasks.get(order.worker)
            if task is not None:
                task.give(order)
        if orders:
            self._commits.wake()

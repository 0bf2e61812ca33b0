"""One term of the scheduler's role: state it loads, changes it follows, its tasks."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import eventlet
from eventlet.event import Event
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.cleanup import RowCleanup
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.earlycancels import EarlyCancels
from corianderpitch.daemon.scheduling.jobreader import JobReader
from corianderpitch.daemon.scheduling.links import WorkerTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.supervision import keep_running
from corianderpitch.domain.scheduling.catalog import Catalog
from corianderpitch.domain.scheduling.crashes import (
    EarlierCrash,
    JobGivenUp,
    WorkerCrash,
)
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.orders import RunNotice
from corianderpitch.domain.scheduling.pacing import pace_fillers
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.scheduler import Notice, Scheduler
from corianderpitch.domain.scheduling.speeds import CHECK_INTERVAL_MS, relocate
from corianderpitch.domain.scheduling.spreading import RESPREAD_INTERVAL_MS, respread
from corianderpitch.domain.scheduling.term import DEFAULT_STOP_MS, Term
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.errors import HistoryLost
from corianderpitch.ids import WorkerId
from corianderpitch.ports import RowStore, WorkerChanges, WorkerLink, WorkerList

FOLLOW_WAIT_MS = 1000
FOLLOW_RETRY_S = 0.1
LOAD_RETRY_S = 0.1
LEASE_EXPIRY_FACTOR = 1.05  # workers' clocks may be 2 % slow
WORKERS_INTERVAL_S = 0.2  # batches the frequent renewals of workers' entries
MAX_PLAN_WAIT_S = 0.1
MIN_BATCH_DELAY_MS = 2.0
MAX_BATCH_DELAY_MS = 20.0
# Limits planning to a fifth of the processor, for rounds of up to 5 ms.
BATCH_DELAY_RATIO = 4.0
EXPIRY_INTERVAL_MS = 50.0
RENEW_CHECK_INTERVAL_S = 0.1
MIN_TERM_MS = 5000.0  # each hand-over pauses scheduling in all pools
RESTART_PAUSE_S = 0.2

log = logger("scheduler")


class BackgroundTask(Protocol):
    """A task that runs beside the scheduler during a term."""

    def run(self) -> None:
        """Run until the thread is killed."""


class SchedulerTerm:
    """Runs the scheduler while this entry holds the role.

    Parameters
    ----------
    store : RowStore
        Holds the jobs and their progress.
    workers : WorkerList
        The platform's list of workers.
    link : WorkerLink
        Sends orders to workers and fetches their reports.
    role : RoleLease
        The lease under which this entry holds the scheduler's role.
    clock : Clock
        Measures all intervals and leases.
    meters : JobMeters
        Counters and histograms of this entry.
    catalog : callable
        Returns the configuration in force.
    lease_ms : float
        Length of the lease that a worker gets with each report, in milliseconds.
    role_lease_ms : float
        Length of the lease of the role, in milliseconds.
    keep_ended_ms : float
        How long callers may ask for a job after its end, in milliseconds.
    task_factories : sequence of callable
        Each creates a background task from the scheduler and the function that
        requests a planning round.
    has_larger_candidate : callable
        Tells whether this entry should yield the role to a much larger entry.
    stop_ms : float
        How long a worker takes at most to end a run, in milliseconds.
    """

    def __init__(
        self,
        store: RowStore,
        workers: WorkerList,
        link: WorkerLink,
        role: RoleLease,
        clock: Clock,
        meters: JobMeters,
        catalog: Callable[[], Catalog],
        lease_ms: float,
        role_lease_ms: float,
        keep_ended_ms: float,
        task_factories: Sequence[
            Callable[[Scheduler, Callable[[], None]], BackgroundTask]
        ],
        has_larger_candidate: Callable[[], bool],
        stop_ms: float = DEFAULT_STOP_MS,
    ):
        self._store = store
        self._workers = workers
        self._link = link
        self._role = role
        self._clock = clock
        self._meters = meters
        self._catalog = catalog
        self._lease_ms = lease_ms
        self._role_lease_ms = role_lease_ms
        self._has_larger_candidate = has_larger_candidate
        began_ms = clock.now_ms()
        wait_ms = lease_ms * LEASE_EXPIRY_FACTOR
        term = Term(
            role.epoch, role.fence().version, began_ms + wait_ms, wait_ms, stop_ms
        )
        self.scheduler = Scheduler(term)
        diverted = DivertedJobs(store, role, self.scheduler)
        cleanup = RowCleanup(
            store, role, self.scheduler, diverted, clock, keep_ended_ms
        )
        self._commits = CommitTask(
            store,
            role,
            self.scheduler,
            diverted,
            clock,
            meters,
            self._plan_soon,
            cleanup,
        )
        self._jobs = JobReader(
            store,
            role,
            self.scheduler,
            cleanup,
            EarlyCancels(store, role, keep_ended_ms),
            diverted,
            clock,
            wait_ms,
            self.wake,
        )
        self._background_tasks = [
            create(self.scheduler, self.wake) for create in task_factories
        ]
        self._tasks: dict[WorkerId, WorkerTask] = {}
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._wake_event = Event()
        self._is_stopped = False
        self._workers_version = 0
        self._workers_without_service: dict[WorkerId, WorkerInfo] = {}
        self._next_expiry_ms = 0.0
        self._next_relocation_ms = 0.0
        self._next_respread_ms = 0.0

    def run(self) -> None:
        """Serve until the role is lost or the term is stopped."""
        self._meters.record_term()
        try:
            while not self._load():
                log.warning("Could not read the store; retrying before serving.")
                eventlet.sleep(LOAD_RETRY_S)
                self._role.renew()
                if not (self._is_serving() and self._role.has_valid_lease):
                    return
            loops = (self._jobs.follow, self._follow_workers, self._plan_loop)
            for loop in (
                *loops,
                self._jobs.run_cleanup,
                self._jobs.run_diversions,
                self._commits.run,
                *(task.run for task in self._background_tasks),
            ):
                self._threads.append(
                    eventlet.spawn(keep_running, loop, RESTART_PAUSE_S)
                )
            self._hold_role()
        finally:
            self._meters.set_open_jobs(0)
            for thread in self._threads:
                thread.kill()

    def _hold_role(self) -> None:
        yield_after_ms = self._clock.now_ms() + MIN_TERM_MS
        while self._is_serving():
            self._role.renew()
            if self._has_larger_candidate() and self._clock.now_ms() >= yield_after_ms:
                log.info("Yielding the role to a larger entry.")
                self.stop()
            eventlet.sleep(RENEW_CHECK_INTERVAL_S)
        log.info(
            "Term ends.",
            term=self.scheduler.term.number,
            superseded=self.scheduler.is_superseded,
        )

    def _is_serving(self) -> bool:
        is_valid = self._role.is_held and not self.scheduler.is_superseded
        return is_valid and not self._is_stopped

    def stop(self) -> None:
        """End the term; no orders are sent afterwards."""
        self._is_stopped = True
        for thread in self._threads:
            thread.kill()

    def wake(self) -> None:
        """Request a planning round and a commit."""
        self._plan_soon()
        self._commits.wake()

    def _plan_soon(self) -> None:
        if not self._wake_event.ready():
            self._wake_event.send()

    # Reading and following the store.

    def _load(self) -> bool:
        self._apply_catalog()
        return (
            self._load_recorded_workers() and self._jobs.load() and self._load_workers()
        )

    def _apply_catalog(self) -> None:
        catalog = self._catalog()
        self.scheduler.set_queues(catalog.queues)
        self.scheduler.usage.set_teams(catalog.teams)

    def _load_recorded_workers(self) -> bool:
        """Read which workers may still execute orders of a predecessor."""
        match self._commits.read_recorded_workers():
            case Success(worker_ids):
                self.scheduler.awaiting_report |= set(worker_ids)
                return True
        return False

    def _load_workers(self) -> bool:
        match self._workers.read():
            case Success(changes):
                listed = {info.worker for info in changes.listed}
                self._workers_without_service.clear()
                for worker_id in set(self.scheduler.workers) - listed:
                    self.scheduler.unlist_worker(worker_id)
                self._apply_worker_changes(changes)
                return True
        return False

    def _follow_workers(self) -> None:
        while True:
            match self._workers.follow(self._workers_version, FOLLOW_WAIT_MS):
                case Success(changes) if not self._role.has_valid_lease:
                    self._update_known_workers(changes.listed)
                    eventlet.sleep(FOLLOW_RETRY_S)
                case Success(changes):
                    self._apply_worker_changes(changes)
                    eventlet.sleep(WORKERS_INTERVAL_S)
                case Failure(HistoryLost()):
                    log.warning("Worker history truncated; reloading all workers.")
                    self._load_workers()
                case Failure(error):
                    log.debug("Could not follow the workers.", cause=repr(error))
                    eventlet.sleep(FOLLOW_RETRY_S)

    def _apply_worker_changes(self, changes: WorkerChanges) -> None:
        for info in changes.listed:
            self._set_worker(info)
        for worker_id in changes.gone:
            self._workers_without_service.pop(worker_id, None)
            self.scheduler.unlist_worker(worker_id)
        self._workers_version = max(self._workers_version, changes.version)

    def _set_worker(self, info: WorkerInfo) -> None:
        """Add or update a worker; one of an unknown service waits for that service.

        Such an entry may come from another writer, and names no worker to use. A new
        one would be asked for reports and recorded, and each successor would wait for
        its report. Under the id of a known worker it says nothing about that worker's
        address or process.
        """
        if self._has_unknown_service(info):
            self._workers_without_service[info.worker] = info
            self.scheduler.unlist_worker(info.worker)
            return
        self._workers_without_service.pop(info.worker, None)
        if self.scheduler.set_worker(info, self._clock.now_ms()):
            self._start_worker_tasks(info)

    def _has_unknown_service(self, info: WorkerInfo) -> bool:
        """Return whether no configuration in force has led to a worker's service.

        A known worker may be of a service that was removed since.
        """
        worker = self.scheduler.workers.get(info.worker)
        is_known = worker is not None and worker.info.service == info.service
        return not is_known and info.service not in self._catalog().pools

    def _update_known_workers(self, listed: Iterable[WorkerInfo]) -> None:
        """Apply the entries of workers that are known and have not restarted.

        A holder without a valid lease still starts tasks that never ran, and must
        not overfill a worker that has shrunk or use one that is draining.
        """
        now_ms = self._clock.now_ms()
        for info in listed:
            worker = self.scheduler.workers.get(info.worker)
            if worker is None or worker.info.incarnation != info.incarnation:
                continue
            if not self._has_unknown_service(info):
                self.scheduler.set_worker(info, now_ms)

    def _start_worker_tasks(self, info: WorkerInfo) -> None:
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
        for loop in (task.watch, task.execute_orders):
            self._threads.append(eventlet.spawn(keep_running, loop, RESTART_PAUSE_S))
        log.info("Worker added.", worker=info.worker, service=info.service, vm=info.vm)

    # Planning.

    def _plan_loop(self) -> None:
        """Plan after changes or at the latest after ``MAX_PLAN_WAIT_S``.

        The delay that gathers changes before a round grows with the duration of
        the previous round.
        """
        delay_ms = MIN_BATCH_DELAY_MS
        while True:
            with eventlet.Timeout(MAX_PLAN_WAIT_S, False):
                self._wake_event.wait()
            self._wake_event = Event()
            eventlet.sleep(delay_ms / 1000.0)
            began_ms = self._clock.now_ms()
            self._plan(began_ms)
            took_ms = self._clock.now_ms() - began_ms
            delay_ms = BATCH_DELAY_RATIO * took_ms
            delay_ms = min(MAX_BATCH_DELAY_MS, max(MIN_BATCH_DELAY_MS, delay_ms))

    def _plan(self, now_ms: float) -> None:
        self._apply_catalog()
        for info in list(self._workers_without_service.values()):
            self._set_worker(info)
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self.scheduler.expire(now_ms)
        is_renewed = self._role.has_valid_lease
        if is_renewed:
            evacuate(self.scheduler, now_ms)
            self._relocate(now_ms)
            self._respread(now_ms)
        plan(self.scheduler, now_ms, self._clock.wall_ms(), is_renewed)
        self._meters.set_open_jobs(len(self.scheduler.jobs))
        self._dispatch_orders()

    def _relocate(self, now_ms: float) -> None:
        if now_ms < self._next_relocation_ms:
            return
        self._next_relocation_ms = now_ms + CHECK_INTERVAL_MS
        for slow in relocate(self.scheduler, now_ms):
            log.info("Worker slow.", worker=slow.worker, speed=round(slow.speed, 2))

    def _respread(self, now_ms: float) -> None:
        if now_ms >= self._next_respread_ms:
            self._next_respread_ms = now_ms + RESPREAD_INTERVAL_MS
            respread(self.scheduler, now_ms)

    def _drop_ended_threads(self) -> None:
        """Drop the tasks and ended threads of workers that were removed."""
        removed = set(self._tasks) - set(self.scheduler.workers)
        if not removed:
            return
        for worker_id in removed:
            del self._tasks[worker_id]
        self._threads = [thread for thread in self._threads if not thread.dead]

    def _log_notices(self) -> None:
        for notice in self.scheduler.pop_notices():
            _log_notice(notice)

    def _dispatch_orders(self) -> None:
        self._log_notices()
        self._drop_ended_threads()
        orders = self.scheduler.pop_orders()
        orders += pace_fillers(self.scheduler, self._clock.now_ms())
        for order in orders:
            task = self._tasks.get(order.worker)
            if task is not None:
                task.enqueue_order(order)
        if orders:
            self._commits.wake()


def _log_notice(notice: Notice) -> None:
    match notice:
        case RunNotice():
            log.info(
                "Run ended.",
                job=notice.task.job_id,
                task=notice.task.position,
                run=notice.number,
                worker=notice.worker,
                incarnation=notice.incarnation,
                how=notice.how,
                cause=notice.cause.value if notice.cause is not None else None,
            )
        case WorkerCrash():
            log.warning(
                "Worker crashed.",
                worker=notice.worker.worker,
                zone=notice.worker.zone,
                suspects=sorted({task.job_id for task in notice.suspects}),
                crashes=notice.crashes,
                had_suspect=notice.outage.had_suspect,
                prompt=notice.is_prompt,
                unheard_ms=round(notice.outage.unheard_ms),
                runs={kind.value: n for kind, n in notice.relations.items()},
            )
        case EarlierCrash():
            log.warning(
                "Worker crashed before this term.",
                worker=notice.worker,
                suspects=sorted({task.job_id for task in notice.suspects}),
            )
        case JobGivenUp():
            log.warning(
                "Job given up: its task crashes workers.",
                job=notice.task.job_id,
                task=notice.task.position,
                crashes=notice.crashes,
            )

"""Workers as the platform describes them, and the rules that bind their callers."""

from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import TaskRef

HOLD_MAX_MS = 6000.0


@dataclass
class LiveRun:
    """A run on a simulated worker."""

    number: int
    done_ms: float
    will_fail: bool


@dataclass
class DoneEnd:
    """An end as done, and whether its worker's lease has lapsed since."""

    worker: str
    life: str
    sequence: int
    lapsed: bool = False
    is_noted: bool = False


@dataclass
class Ledger:
    """What the platform has seen of all workers; raises where a rule is broken."""

    running: dict[TaskRef, set[str]] = field(default_factory=dict)
    done: dict[TaskRef, list[DoneEnd]] = field(default_factory=dict)
    starts_after: dict[TaskRef, int] = field(default_factory=dict)
    failed: dict[TaskRef, int] = field(default_factory=dict)

    def started(self, task: TaskRef, worker: str) -> None:
        """Take a start in; another run at the same time breaks the rule."""
        others = self.running.setdefault(task, set())
        assert not others, f"TWICE: {task} on {worker} beside {others}"
        others.add(worker)
        ends = self.done.get(task, [])
        noted = [end for end in ends if end.is_noted]
        assert not noted, f"TWICE: {task} started again after a noted end"
        for end in ends:
            if not end.lapsed:
                self.starts_after[task] = self.starts_after.get(task, 0) + 1

    def ended(self, task: TaskRef, worker: str) -> None:
        """Take an end in."""
        self.running.get(task, set()).discard(worker)

    def noted(self, worker: str, life: str, settled: int) -> None:
        """Take in that a holder has told a worker which ends it has settled."""
        for task, ends in self.done.items():
            for end in ends:
                is_this = (end.worker, end.life) == (worker, life)
                if is_this and end.sequence <= settled and not end.lapsed:
                    end.is_noted = True
                    assert not self.starts_after.get(task), f"TWICE: {task} noted late"


class SimulatedWorker:
    """One life after the other of a worker."""

    def __init__(self, name: str, ledger: Ledger):
        self.name = name
        self.ledger = ledger
        self.lives = 0
        self.begin_life(0.0)

    def begin_life(self, now_ms: float) -> None:
        """Start the process anew; it knows nothing of before."""
        self.lives += 1
        self.life = str(self.lives)
        self.born_ms = now_ms
        self.fence = 0
        self.runs: dict[TaskRef, LiveRun] = {}
        self.ends: list[ReportedEnd] = []
        self.next_sequence = 1
        self.highest: dict[TaskRef, int] = {}
        self.until_ms = 0.0
        self.is_up = True

    def crash(self) -> None:
        """End the process and everything that it runs."""
        for task in self.runs:
            self.ledger.ended(task, self.name)
        self.runs = {}
        self.is_up = False
        for ends in self.ledger.done.values():
            for end in ends:
                if (end.worker, end.life) == (self.name, self.life):
                    end.lapsed = True

    def clock_ms(self, now_ms: float) -> float:
        """Return the worker's own clock."""
        return now_ms - self.born_ms

    def advance(self, now_ms: float) -> None:
        """Let runs end and leases lapse."""
        for task, run in list(self.runs.items()):
            end_ms = min(run.done_ms, self.born_ms + self.until_ms)
            if now_ms >= end_ms:
                lapses = self.born_ms + self.until_ms < run.done_ms
                kind = EndKind.FAILED if run.will_fail else EndKind.DONE
                self._end(task, run, EndKind.LAPSED if lapses else kind)
        if self.clock_ms(now_ms) >= self.until_ms:
            for ends in self.ledger.done.values():
                for end in ends:
                    if (end.worker, end.life) == (self.name, self.life):
                        end.lapsed = True

    def _end(self, task: TaskRef, run: LiveRun, kind: EndKind) -> None:
        del self.runs[task]
        self.ledger.ended(task, self.name)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ends.append(ReportedEnd(self.next_sequence, task, run.number, kind, ""))
        if kind is EndKind.DONE:
            self.ledger.done.setdefault(task, []).append(
                DoneEnd(self.name, self.life, self.next_sequence)
            )
        if kind is EndKind.FAILED:
            self.ledger.failed[task] = self.ledger.failed.get(task, 0) + 1
        self.next_sequence += 1

    def start(
        self,
        order: StartRun,
        until_ms: float,
        now_ms: float,
        run_ms: float,
        fails: bool,
    ) -> OrderResult:
        """Carry out the order to start a task that ends after ``run_ms``."""
        if order.fence < self.fence:
            return OrderResult.SUPERSEDED
        self.fence = order.fence
        if until_ms <= self.clock_ms(now_ms):
            return OrderResult.TOO_LATE
        self._extend(until_ms, now_ms)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.number:
            return OrderResult.DONE
        highest = self.highest.get(order.task, 0)
        if run is not None or order.number <= highest:
            return OrderResult.OLD_RUN
        self.ledger.started(order.task, self.name)
        self.runs[order.task] = LiveRun(order.number, now_ms + run_ms, fails)
        return OrderResult.DONE

    def stop(self, order: StopRun, now_ms: float) -> OrderResult:
        """Carry out the order to stop a run."""
        if order.fence < self.fence:
            return OrderResult.SUPERSEDED
        self.fence = order.fence
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.number:
            self._end(order.task, run, EndKind.STOPPED)
        self.highest[order.task] = max(self.highest.get(order.task, 0), order.number)
        return OrderResult.DONE

    def report(
        self, fence: int, settled: int, until_ms: float | None, now_ms: float
    ) -> WorkerReport | None:
        """Return the list of runs and ends, ``None`` for a fence that is too low."""
        if fence < self.fence:
            return None
        self.fence = fence
        if until_ms is not None:
            self._extend(until_ms, now_ms)
        self.ledger.noted(self.name, self.life, settled)
        self.ends = [end for end in self.ends if end.sequence > settled]
        running = tuple(
            ReportedRun(task, run.number, "", 50.0) for task, run in self.runs.items()
        )
        return WorkerReport(self.life, self.clock_ms(now_ms), running, tuple(self.ends))

    def _extend(self, until_ms: float, now_ms: float) -> None:
        limit_ms = self.clock_ms(now_ms) + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit_ms))

"""Callers of a fleet: threads that send requests and keep every outcome."""

import json
import random
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderpitch_client.api import CallerClient, CallOutcome


@dataclass(frozen=True)
class Sent:
    """A request and its outcome; ``key`` is unique and stands in the run logs."""

    key: str
    service: str
    is_idempotent: bool
    timeout_ms: int
    outcome: CallOutcome


@dataclass
class CallerLoad:
    """Requests to random entries and services until told to stop.

    ``entries`` returns the callers' URLs to choose from, as the platform's
    balancer would.
    """

    entries: Callable[[], list[str]]
    services: list[str]
    run_ms: float = 20.0
    timeout_ms: int = 2000
    non_idempotent_share: float = 0.3
    pause_ms: float = 10.0
    threads: int = 8
    seed: int = 1
    sent: list[Sent] = field(default_factory=list)

    def __post_init__(self):
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._client = CallerClient()
        self._workers = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(self.threads)
        ]

    def start(self) -> "CallerLoad":
        """Start calling."""
        for worker in self._workers:
            worker.start()
        return self

    def stop(self) -> list[Sent]:
        """Stop calling, wait for the last outcomes and return all."""
        self._stop.set()
        for worker in self._workers:
            worker.join()
        return self.sent

    def _work(self, number: int) -> None:
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while not self._stop.is_set():
            count += 1
            self._send_one(f"{self.seed}-{number}-{count}", rng)
            time.sleep(self.pause_ms / 1000.0)

    def _send_one(self, key: str, rng: random.Random) -> None:
        service = rng.choice(self.services)
        is_idempotent = rng.random() >= self.non_idempotent_share
        body = json.dumps({"key": key, "run_ms": self.run_ms, "service": service})
        outcome = self._client.call(
            rng.choice(self.entries()),
            service,
            body.encode(),
            is_idempotent=is_idempotent,
            timeout_ms=self.timeout_ms,
        )
        sent = Sent(key, service, is_idempotent, self.timeout_ms, outcome)
        with self._lock:
            self.sent.append(sent)


@dataclass(frozen=True)
class Verdict:
    """What the callers' outcomes and the instances' run logs say together."""

    outcomes: Counter
    wrong_answers: list[str]
    run_though_not_run: list[str]
    run_twice: list[str]
    late: list[str]

    @property
    def is_clean(self) -> bool:
        """Tell whether every promise held."""
        return not (
            self.wrong_answers or self.run_though_not_run or self.run_twice or self.late
        )


LATE_MARGIN_MS = 500.0


def judge(sent: list[Sent], logs: list[list[str]]) -> Verdict:
    """Compare what callers were told with what ran."""
    runs = Counter(key for log in logs for key in log)
    verdict = Verdict(Counter(), [], [], [], [])
    for item in sent:
        verdict.outcomes[item.outcome.outcome] += 1
        is_answered = item.outcome.outcome == "answered"
        if is_answered and not _is_own_answer(item):
            verdict.wrong_answers.append(item.key)
        if item.outcome.outcome == "not_run" and runs[item.key]:
            verdict.run_though_not_run.append(item.key)
        if not item.is_idempotent and runs[item.key] > 1:
            verdict.run_twice.append(item.key)
        if item.outcome.total_ms > item.timeout_ms + LATE_MARGIN_MS:
            verdict.late.append(item.key)
    return verdict


def _is_own_answer(item: Sent) -> bool:
    try:
        echo = json.loads(json.loads(item.outcome.body)["echo"])
    except (ValueError, KeyError, TypeError):
        return False
    return echo.get("key") == item.key and echo.get("service") == item.service


def outcomes_by_service(sent: list[Sent]) -> dict[str, Counter]:
    """Count the outcomes of each service."""
    table: dict[str, Counter] = defaultdict(Counter)
    for item in sent:
        table[item.service][item.outcome.outcome] += 1
    return table

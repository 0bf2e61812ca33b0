"""Load for a fleet: threads that send requests and record every outcome."""

import json
import random
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderpitch_client.api import CallerClient, CallOutcome


@dataclass(frozen=True)
class SentRequest:
    """A request and its outcome; ``key`` is unique and appears in the run logs."""

    key: str
    service: str
    is_idempotent: bool
    timeout_ms: int
    outcome: CallOutcome


@dataclass
class CallerLoad:
    """Sends requests to random entries and services until it is stopped.

    ``entries`` returns the URLs of the entries to choose from, as the platform's
    load balancer does. Each thread waits ``pause_ms`` after an outcome before it
    sends its next request.
    """

    entries: Callable[[], list[str]]
    services: list[str]
    run_ms: float = 20.0
    timeout_ms: int = 2000
    non_idempotent_share: float = 0.3
    pause_ms: float = 10.0
    threads: int = 8
    seed: int = 1
    sent: list[SentRequest] = field(default_factory=list)

    def __post_init__(self):
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._client = CallerClient()
        self._threads = [
            threading.Thread(
                target=self._send_until_stopped, args=(number,), daemon=True
            )
            for number in range(self.threads)
        ]

    def start(self) -> "CallerLoad":
        """Start the threads."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self) -> list[SentRequest]:
        """Stop sending, wait for the last outcomes and return all requests."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.sent

    def _send_until_stopped(self, number: int) -> None:
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while not self._stopped.is_set():
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
        sent = SentRequest(key, service, is_idempotent, self.timeout_ms, outcome)
        with self._lock:
            self.sent.append(sent)


@dataclass(frozen=True)
class OutcomeCheck:
    """Comparison of the callers' outcomes with the instances' run logs.

    The lists hold the keys of requests that violate a guarantee: the answer belongs
    to another request, the outcome is ``not_run`` although the request ran, a
    non-idempotent request ran more than once, or the outcome arrived late.
    """

    outcomes: Counter
    wrong_answers: list[str]
    run_despite_not_run: list[str]
    run_twice: list[str]
    late: list[str]

    @property
    def is_clean(self) -> bool:
        """Return whether no request violates a guarantee."""
        return not (
            self.wrong_answers
            or self.run_despite_not_run
            or self.run_twice
            or self.late
        )


LATE_MARGIN_MS = 500.0


def check_outcomes(sent: list[SentRequest], logs: list[list[str]]) -> OutcomeCheck:
    """Compare the outcomes that callers received with the requests that ran.

    Each log lists the keys of the requests that one instance ran.
    """
    runs = Counter(key for log in logs for key in log)
    check = OutcomeCheck(Counter(), [], [], [], [])
    for item in sent:
        check.outcomes[item.outcome.outcome] += 1
        is_answered = item.outcome.outcome == "answered"
        if is_answered and not _has_own_answer(item):
            check.wrong_answers.append(item.key)
        if item.outcome.outcome == "not_run" and runs[item.key]:
            check.run_despite_not_run.append(item.key)
        if not item.is_idempotent and runs[item.key] > 1:
            check.run_twice.append(item.key)
        if item.outcome.total_ms > item.timeout_ms + LATE_MARGIN_MS:
            check.late.append(item.key)
    return check


def _has_own_answer(item: SentRequest) -> bool:
    try:
        echo = json.loads(json.loads(item.outcome.body)["echo"])
    except (ValueError, KeyError, TypeError):
        return False
    return echo.get("key") == item.key and echo.get("service") == item.service


def outcomes_by_service(sent: list[SentRequest]) -> dict[str, Counter]:
    """Count the outcomes of each service."""
    counts: dict[str, Counter] = defaultdict(Counter)
    for item in sent:
        counts[item.service][item.outcome.outcome] += 1
    return counts

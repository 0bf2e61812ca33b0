"""The troubles of a soak: signals, restarts, cuts and faults of the services.

Troubles are drawn from a seed, come in series and overlap. Most of those that hit an
entry hit the holder of the scheduler's role.
"""

import heapq
import random
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from corianderpitch_standins.soakfleet import (
    EXIT_SLACK_S,
    GRACE_S,
    WORKERS,
    SoakEntry,
    SoakFleet,
)
from corianderpitch_standins.soakteams import OLD_KEY_S

POLL_S = 0.02
MAX_PAUSE_S = 2.5
MAX_TROUBLE_S = 6.0
STORE_LENGTH_FACTOR = 0.4  # nobody is in touch meanwhile, and nothing is accepted
HOLDER_SHARE = 0.7  # of the troubles that hit an entry
TROUBLES = (
    "kill",
    "kill",
    "stop",
    "stop",
    "stop",
    "freeze",
    "freeze",
    "reload",
    "cut",
    "cut",
    "crash worker",
    "slow machines",
    "slow machines",
    "silent machines",
    "slow store",
    "lossy store",
    "store away",
    "silent partitions",
    "refusing partitions",
    "late orders",
    "slow worker",
    "still worker",
    "new key",
    "new key",
    "new cap",
    "new cap",
    "silent connections",
    "silent connections",
)
PARTITIONS_SHARE = 0.3
SLOW_FACTOR = 8.0
STILL_FACTOR = 10_000.0  # a task ends long after the soak, unless it is moved
CUT_MODES = ("cut", "freeze", "one_way", "delay")
CUT_SERVICES = (["store"], ["machines"], ["store", "machines"])


class Script:
    """Runs the troubles of one seed, one after the other, and ends each in time."""

    def __init__(
        self, fleet: SoakFleet, seed: int, max_entries: int, keeps_ids: bool = False
    ):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._max_entries = max_entries
        self._keeps_ids = keeps_ids
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._planned = 0
        self._entries_named = max_entries
        self.log: list[str] = []

    def run(self, until_s: float) -> None:
        """Cause troubles until ``until_s``, by the monotonic clock; then end them."""
        next_s = time.monotonic() + 1.0
        while time.monotonic() < until_s:
            self._run_due()
            self._fleet.check_processes()
            if time.monotonic() >= next_s:
                self._begin()
                next_s = time.monotonic() + self._rng.uniform(0.1, MAX_PAUSE_S)
            time.sleep(POLL_S)
        self._fleet.end_faults()
        while self._due:
            self._run_due()
            time.sleep(POLL_S)

    def _run_due(self) -> None:
        while self._due and self._due[0][0] <= time.monotonic():
            heapq.heappop(self._due)[2]()

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a delay, while the script runs."""
        self._planned += 1
        heapq.heappush(self._due, (time.monotonic() + delay_s, self._planned, action))

    def _begin(self) -> None:
        fleet, rng = self._fleet, self._rng
        kind, length_s = rng.choice(TROUBLES), rng.uniform(0.2, MAX_TROUBLE_S)
        entry = self._victim()
        if entry is None:
            return
        store_s = STORE_LENGTH_FACTOR * length_s
        now_ms = fleet.clock.now_ms()
        self.log.append(f"{now_ms:.0f} {kind} {entry.log.stem} {length_s:.2f} s")
        match kind:
            case "kill":
                fleet.disturb(entry.name, 0.0)
                fleet.signal(entry, signal.SIGKILL)
                self._replace(entry, length_s)
            case "stop":
                self._stop(entry)
                self._replace(entry, length_s)
            case "freeze":
                fleet.disturb(entry.name, 1000.0 * length_s)
                fleet.signal(entry, signal.SIGSTOP)
                self.later(length_s, lambda: fleet.signal(entry, signal.SIGCONT))
            case "reload":
                for number in range(rng.randint(1, 5)):
                    self.later(
                        0.05 * number, partial(fleet.signal, entry, signal.SIGHUP)
                    )
            case "cut":
                fleet.disturb(entry.name, 1000.0 * length_s)
                services, mode = rng.choice(CUT_SERVICES), rng.choice(CUT_MODES)
                rule = fleet.begin_cut(entry, services, mode)
                self.later(length_s, lambda: fleet.end_cut(rule))
            case "silent connections":
                fleet.disturb("", 0.0)
                for other in fleet.serving():
                    fleet.silence_connections(other)
            case "crash worker":
                action = "crash" if self._keeps_ids else "replace"
                fleet.control(action, worker=f"i-{rng.randrange(WORKERS)}")
            case "slow machines":
                self._set_faults("machine-faults", 2.0 * length_s, slow_ms=700.0)
            case "silent machines":
                self._set_faults("machine-faults", length_s, silent_share=0.5)
            case "slow store":
                fleet.disturb("", 1000.0 * store_s)
                self._set_faults("store-faults", store_s, slow_ms=200.0)
            case "lossy store":
                fleet.disturb("", 1000.0 * store_s)
                self._set_faults("store-faults", store_s, silent_share=0.1)
            case "store away":
                fleet.disturb("", 1000.0 * store_s)
                fleet.control("store", away=True)
                self.later(store_s, lambda: fleet.control("store", away=False))
            case "silent partitions" | "refusing partitions":
                fleet.disturb("", 1000.0 * length_s)
                self._set_faults(
                    "store-parts",
                    length_s,
                    share=PARTITIONS_SHARE,
                    silent=kind.startswith("silent"),
                )
            case "late orders":
                fleet.disturb("", 1000.0 * length_s)
                self._set_faults("order-faults", length_s, silent_share=0.1)
            case "slow worker" | "still worker":
                factor = SLOW_FACTOR if kind.startswith("slow") else STILL_FACTOR
                worker = f"i-{rng.randrange(WORKERS)}"
                fleet.control("slow", worker=worker, factor=factor)
                self.later(
                    length_s,
                    partial(fleet.control, "slow", worker=worker, factor=1.0),
                )
            case "new key":
                team = fleet.teams.add_key(rng)
                self.later(OLD_KEY_S, partial(fleet.teams.drop_old_keys, team))
            case "new cap":
                fleet.teams.change_cap(rng)

    def _set_faults(self, service: str, length_s: float, **faults: Any) -> None:
        self._fleet.control(service, **faults)
        self.later(length_s, lambda: self._fleet.control(service))

    def _victim(self) -> SoakEntry | None:
        serving = self._fleet.serving()
        holders = [entry for entry in serving if entry.is_holder]
        is_holder_hit = holders and self._rng.random() < HOLDER_SHARE
        candidates = holders if is_holder_hit else serving
        return self._rng.choice(candidates) if candidates else None

    def _stop(self, entry: SoakEntry) -> None:
        """Stop an entry as the platform does: told to end, killed if it does not."""
        fleet = self._fleet
        began_ms = fleet.clock.now_ms()
        limit_s = GRACE_S + EXIT_SLACK_S
        is_calm = not fleet.is_disturbed(entry.name, began_ms, began_ms)
        disturbances = len(fleet.disturbances)
        fleet.disturb(entry.name, 1000.0 * limit_s)
        fleet.signal(entry, signal.SIGTERM)

        def kill() -> None:
            if not entry.is_running:
                return
            others = fleet.disturbances[disturbances + 1 :]
            if is_calm and not any(d.entry in ("", entry.name) for d in others):
                fleet.findings.append(f"{entry.log.stem} did not end in {limit_s} s")
            fleet.signal(entry, signal.SIGKILL)

        self.later(limit_s, kill)

    def _replace(self, entry: SoakEntry, after_s: float) -> None:
        """Start a process for one that ends, now and then under a new name."""
        name = entry.name
        if self._rng.random() < 0.4:
            name = f"e{self._entries_named}"
            self._entries_named += 1

        def start() -> None:
            if len(self._fleet.serving()) < self._max_entries:
                self._fleet.start_entry(name)

        self.later(after_s, start)

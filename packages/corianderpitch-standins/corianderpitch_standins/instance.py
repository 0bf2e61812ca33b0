"""Stand-in for an instance of a service on an endpoint VM.

The instance replies to ``POST /run`` after the time that the body gives
(``{"run_ms": 50}``), and the reply contains the body. With ``"exponential": true``
the time is random with ``run_ms`` as mean. It refuses a request with 503 and an
``X-Not-Run`` header when all of its slots are in use (``busy``), and refuses all
requests while it is stopping (``leaving``). ``GET /log`` returns the keys of all
runs and counters, which tests compare with the outcomes that the callers got.

``POST /control`` switches the state: ``stop`` stops the instance, ``leaving``
refuses or accepts requests, and ``silent`` holds back all replies.
"""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import argparse
import json
import random
from typing import Any

import eventlet

from corianderpitch_standins.jsonserver import (
    RawReply,
    announce_ready,
    connection_pool,
    listen,
    serve,
)

DEFAULT_SLOTS = 8
DEFAULT_RUN_MS = 20.0


class Instance:
    """Slots, faults, run log and counters of one instance."""

    def __init__(self, slots: int, seed: int, connections: eventlet.GreenPool):
        self._connections = connections
        self._max_connections = 0
        self._slots = slots
        self._rng = random.Random(seed)
        self._running = 0
        self._is_leaving = False
        self._is_silent = False
        self._log: list[str] = []
        self._started = 0
        self._max_running = 0
        self._refused_busy = 0
        self._refused_leaving = 0
        self._interrupted_runs = 0

    def handle(self, method: str, path: str, body: bytes) -> Any:
        """Handle one HTTP request."""
        match (method, path):
            case ("POST", "/run"):
                self._count_connections()
                return self._run(body)
            case ("GET", "/load"):
                self._count_connections()
                self._wait_while_silent()
                return {"running": self._running, "leaving": self._is_leaving}
            case ("GET", "/log"):
                return self._report()
            case ("POST", "/control"):
                return self._control(json.loads(body))
        return RawReply("404 Not Found", b"")

    def _count_connections(self) -> None:
        open_count = self._connections.running()
        self._max_connections = max(self._max_connections, open_count)

    def _run(self, body: bytes) -> Any:
        if self._is_leaving:
            self._refused_leaving += 1
            return _refusal("leaving")
        if self._running >= self._slots:
            self._refused_busy += 1
            return _refusal("busy")
        request = _parse_request(body)
        self._running += 1
        self._started += 1
        self._max_running = max(self._max_running, self._running)
        self._log.append(str(request.get("key", "")))
        try:
            self._simulate_run(request)
        finally:
            self._running -= 1
        return {"echo": body.decode(errors="replace")}

    def _simulate_run(self, request: dict[str, Any]) -> None:
        run_ms = float(request.get("run_ms", DEFAULT_RUN_MS))
        if request.get("exponential"):
            run_ms = self._rng.expovariate(1.0 / run_ms)
        eventlet.sleep(run_ms / 1000.0)
        self._wait_while_silent()

    def _wait_while_silent(self) -> None:
        while self._is_silent:
            eventlet.sleep(0.02)

    def _report(self) -> dict[str, Any]:
        return {
            "log": self._log,
            "started": self._started,
            "max_running": self._max_running,
            "max_connections": self._max_connections,
            "refused_busy": self._refused_busy,
            "refused_leaving": self._refused_leaving,
            "cut_off": self._interrupted_runs,
        }

    def _control(self, command: dict[str, Any]) -> dict[str, Any]:
        """Change the instance's state.

        A stop refuses new requests and adds the running ones to ``cut_off``.
        """
        if command.get("stop"):
            self._interrupted_runs += self._running
            self._is_leaving = True
        if "leaving" in command:
            self._is_leaving = command["leaving"]
        if "silent" in command:
            self._is_silent = command["silent"]
        return {"running": self._running}


def _refusal(reason: str) -> RawReply:
    return RawReply("503 Service Unavailable", b"", (("X-Not-Run", reason),))


def _parse_request(body: bytes) -> dict[str, Any]:
    try:
        request = json.loads(body)
    except ValueError:
        return {}
    return request if isinstance(request, dict) else {}


def main() -> None:
    """Run one instance until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    listener = listen(arguments.host)
    announce_ready(http=listener)
    connections = connection_pool()
    instance = Instance(arguments.slots, arguments.seed, connections)
    serve(listener, instance.handle, connections)


if __name__ == "__main__":
    main()

"""Supervision of tasks: a task that fails is logged and restarted."""

from collections.abc import Callable

import eventlet

from corianderpitch.daemon.logs import logger

log = logger("tasks")


def keep_running(run: Callable[[], None], restart_delay_s: float = 1.0) -> None:
    """Run a task until it returns; after an exception, restart it with its state."""
    while True:
        try:
            run()
            return
        except Exception:
            log.exception("{} failed; restarting it.", run.__qualname__)
            eventlet.sleep(restart_delay_s)

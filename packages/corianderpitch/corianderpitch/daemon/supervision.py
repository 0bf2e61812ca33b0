"""Keeps tasks running: a failure is logged, and the task starts again."""

from collections.abc import Callable

import eventlet

from corianderpitch.daemon.logs import logger

log = logger("tasks")


def keep_running(run: Callable[[], None], pause_s: float = 1.0) -> None:
    """Run a task until it returns; after a failure it goes on from its state."""
    while True:
        try:
            run()
            return
        except Exception:
            log.exception("{} failed; starting it again.", run.__qualname__)
            eventlet.sleep(pause_s)

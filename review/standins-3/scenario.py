"""Runs a script's scenario, and turns its result into an exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from world import World

MAX_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run as it should; nothing follows from it."""


def has_trouble() -> bool:
    """Return whether the disruption is to be made: ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


async def start_entries(world: World, count: int = 0) -> None:
    """Add entries, start all, and wait until all of them are ready.

    Raises
    ------
    CannotRun
        If one does not become ready.
    """
    for _ in range(count):
        await world.add_entry()
    for entry in world.entries:
        world.start_entry(entry)
    for entry in world.entries:
        if not await world.until_ready(entry):
            raise CannotRun(f"{entry.name} does not become ready")


def run(folder: Path, scenario: Callable[[World], Awaitable[None]]) -> None:
    """Run a scenario in a new world and exit with the status of the case.

    A scenario reports broken rules by ``world.record.violation``.
    """
    sys.exit(asyncio.run(_run(folder, scenario)))


async def _run(folder: Path, scenario: Callable[[World], Awaitable[None]]) -> int:
    world = World(folder)
    world.record.write("case", trouble=int(has_trouble()))
    try:
        await world.begin()
        await asyncio.wait_for(scenario(world), MAX_S)
    except Exception:
        traceback.print_exc()
        world.record.write("the case could not run")
        return NOT_RUN
    finally:
        violations = list(world.record.violations)
        if sys.exc_info()[0] is None:
            world.record.write("result", broken=len(violations))
        await world.end()
    for violation in violations:
        print(violation)
    return BROKEN if violations else HELD

"""Stand-in for the machine service of the users' platform.

It keeps the state of each machine and a log of the orders in the order in which they
arrived. An order is recorded when it arrives and may be carried out later, as by a
service that is slow or whose answer is lost.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from corianderpitch.clock import Clock
from corianderpitch_standins.userprotocol import Reply

MAINTENANCE_CALL = "machine-upkeep"
MOVE_CALL = "machine-move"


@dataclass(frozen=True, slots=True)
class OrderArrival:
    """An order about a machine, as the service received it.

    ``target`` is the number of the wave or the name of the pool.
    """

    arrived_ms: float
    holder: str
    fence: int
    machine: str
    call: str
    target: str


@dataclass(slots=True)
class Machine:
    """A machine, its pool and the worker that runs on it.

    ``state`` is as the platform spells it; ``until_ms`` is when a machine that moves
    or is maintained is up again, and ``lives`` how many workers it has had.
    """

    name: str
    pool: str
    worker: str = ""
    state: str = "up"
    until_ms: float = 0.0
    lives: int = 0
    wave: str = ""
    begun_waves: set[str] = field(default_factory=set)


class MachineService:
    """The machines of all pools, and the orders about them.

    Parameters
    ----------
    clock : Clock
        Gives the time of arrival of the orders.
    down_ms : float
        How long a move or a maintenance takes.
    on_down, on_up : callable, optional
        Called with a machine that goes down for an order, and when it is up again.

    Attributes
    ----------
    arrivals : list of OrderArrival
        All orders, in the order of their arrival.
    most_down : dict of str to int
        The most machines of each wave that were down for it at the same time.
    """

    def __init__(
        self,
        clock: Clock,
        down_ms: float,
        on_down: Callable[[Machine], None] = lambda machine: None,
        on_up: Callable[[Machine], None] = lambda machine: None,
    ):
        self._clock = clock
        self._down_ms = down_ms
        self._on_down = on_down
        self._on_up = on_up
        self.machines: dict[str, Machine] = {}
        self.arrivals: list[OrderArrival] = []
        self.most_down: dict[str, int] = {}

    def add(self, machine: Machine) -> None:
        """Add a machine that is up."""
        self.machines[machine.name] = machine

    def receive(
        self, call: str, body: dict[str, Any], holder: str, fence: int
    ) -> OrderArrival:
        """Record an order at its arrival; ``carry_out`` executes it."""
        target = body["wave"] if call == MAINTENANCE_CALL else body["pool"]
        arrival = OrderArrival(
            self._clock.now_ms(), holder, fence, body["machine"], call, str(target)
        )
        self.arrivals.append(arrival)
        return arrival

    def carry_out(self, order: OrderArrival) -> Reply:
        """Execute an order; a repeat of one that is done has no effect."""
        self.advance()
        machine = self.machines.get(order.machine)
        if machine is None:
            return Reply(400, {})
        if self._is_done(machine, order):
            return Reply(200, {})
        if machine.state != "up":
            return Reply(409, {"reason": "busy"})
        if order.call == MAINTENANCE_CALL:
            machine.state, machine.wave = "upkeep", order.target
            machine.begun_waves.add(order.target)
            down = [m for m in self.machines.values() if m.wave == order.target]
            most = max(self.most_down.get(order.target, 0), len(down))
            self.most_down[order.target] = most
        else:
            machine.state, machine.pool = "moving", order.target
        machine.until_ms = self._clock.now_ms() + self._down_ms
        self._on_down(machine)
        return Reply(200, {})

    def _is_done(self, machine: Machine, order: OrderArrival) -> bool:
        if order.call == MAINTENANCE_CALL:
            return order.target in machine.begun_waves
        return machine.pool == order.target

    def advance(self) -> None:
        """End the moves and the maintenance that are over."""
        for machine in self.machines.values():
            if machine.state != "up" and self._clock.now_ms() >= machine.until_ms:
                machine.state, machine.wave = "up", ""
                self._on_up(machine)

    def list_machines(self) -> Reply:
        """Return all machines on one page."""
        self.advance()
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "here",
                "labels": ["a", "r1"],
                "capacity": {"cpu": 4000, "mem_mb": 8000, "gpus": 0},
                "id": machine.worker if machine.state == "up" else "",
            }
            for machine in self.machines.values()
        ]
        return Reply(200, {"machines": rows, "next_token": None})

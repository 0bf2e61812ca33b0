"""Entries and their platform in simulated time, without sockets or processes.

Eventlet runs on a hub whose clock jumps to the next timer. The entries' clients talk
to the stand-ins of the store and the machine service through a simulated network,
which delays, loses and holds back calls. A run depends only on its seed.
"""

import json
import math
import random
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import eventlet
from eventlet import hubs
from eventlet.event import Event
from eventlet.hubs.hub import BaseHub
from greenlet import GreenletExit

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import Clock
from corianderpitch_platform.connections import ExchangeTimeout, NotSentError
from corianderpitch_standins.ordercheck import Disturbance
from corianderpitch_standins.usermachines import MachineService
from corianderpitch_standins.userprotocol import Reply
from corianderpitch_standins.userstore import StoreService

START_S = 1000.0
TIMER_SPACING_S = 1e-9
SPACED_TIMERS = 1000
STORE_PORT, MACHINES_PORT = 1, 2
LATENCY_MS = (0.5, 4.0)
MAINTENANCE_MS = 900.0


class SimulatedHub(BaseHub):
    """An eventlet hub whose clock jumps to the next timer instead of waiting."""

    def __init__(self):
        self._now_s = START_S
        self._timers_added = 0
        super().__init__(lambda: self._now_s)

    @staticmethod
    def is_available():
        return True

    def wait(self, seconds=None):
        self._now_s = max(self._now_s, self.sleep_until() or 0.0)

    def add_timer(self, timer):
        """Schedule a timer; timers of the same moment fire in the order of adding."""
        self._timers_added = (self._timers_added + 1) % SPACED_TIMERS
        timer.seconds += self._timers_added * TIMER_SPACING_S
        return super().add_timer(timer)


class SimulatedClock(Clock):
    """The simulated time, with an offset for each process."""

    def __init__(self, offset_ms=0.0):
        self._offset_ms = offset_ms

    def now_ms(self):
        return hubs.get_hub().clock() * 1000.0 + self._offset_ms

    def wall_ms(self):
        return int(self.now_ms())


class SimulatedRows(MemoryRowStore):
    """Rows whose followers wake in the order in which they began to wait.

    An eventlet event wakes its waiters in an order that differs between runs.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self._waiters = []

    def follow(self, table, after, wait_ms):
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            result = super().follow(table, after, 0)
            changes = result.value_or(None)
            remaining_ms = until_ms - self._clock.now_ms()
            if remaining_ms <= 0 or not changes or changes.rows or changes.deleted:
                return result
            changed = Event()
            self._waiters.append(changed)
            with eventlet.Timeout(remaining_ms / 1000.0, False):
                changed.wait()

    def commit(self, checks, writes):
        result = super().commit(checks, writes)
        waiters, self._waiters = self._waiters, []
        for changed in waiters:
            changed.send()
        return result


def sleep_ms(duration_ms):
    eventlet.sleep(duration_ms / 1000.0)


@dataclass
class Link:
    """The network of one entry's process, and whether the process runs."""

    entry: str
    frozen_until_ms: float = 0.0
    store_cut_until_ms: float = 0.0
    machines_cut_until_ms: float = 0.0
    is_dead: bool = False

    def cut_until_ms(self, port):
        """Return until when a service cannot be reached."""
        is_store = port == STORE_PORT
        return self.store_cut_until_ms if is_store else self.machines_cut_until_ms


@dataclass
class ServiceFaults:
    """How the store and the machine service behave now.

    ``slow_ms`` is the range of the time that an answer takes. ``lost_share`` of the
    calls get no answer; they are carried out within ``late_ms`` or not at all.
    ``connect_ms`` is the range of the time until a connection is there.
    """

    slow_ms: tuple[float, float] = (1.0, 15.0)
    connect_ms: tuple[float, float] = (0.5, 2.0)
    lost_share: float = 0.0
    late_ms: float = 3000.0
    is_away: bool = False


@dataclass
class Network:
    """Connects the entries to the store and the machine service."""

    rng: random.Random
    clock: Clock = field(default_factory=SimulatedClock)
    links: dict[str, Link] = field(default_factory=dict)
    store_faults: ServiceFaults = field(default_factory=ServiceFaults)
    machine_faults: ServiceFaults = field(default_factory=ServiceFaults)
    disturbances: list[Disturbance] = field(default_factory=list)
    silenced_ms: float = -math.inf  # connections opened before are silent for good

    def __post_init__(self):
        self.rows = SimulatedRows(self.clock)
        self.store = StoreService(self.rows, self.clock)
        self.machines = MachineService(self.clock, MAINTENANCE_MS)
        self._machines_called = Event()

    def add_link(self, entry):
        """Return the host name and the link of a new process of an entry."""
        host = f"{entry}-{len(self.links)}"
        self.links[host] = Link(entry)
        self.disturb(entry, 0.0)
        return host, self.links[host]

    def disturb(self, entry, duration_ms):
        """Note that an entry, or all with an empty name, is disturbed from now on."""
        now_ms = self.clock.now_ms()
        self.disturbances.append(Disturbance(entry, now_ms, now_ms + duration_ms))

    def connect(self, host, port, *timeouts_ms):
        return SimulatedConnection(self, self.links[host], port, *timeouts_ms)

    def silence(self):
        """Let all open connections go silent, while new ones work."""
        self.silenced_ms = self.clock.now_ms()

    def pause(self, link):
        """Hold back a frozen process, and end a thread of a killed one."""
        while not link.is_dead and self.clock.now_ms() < link.frozen_until_ms:
            sleep_ms(link.frozen_until_ms - self.clock.now_ms())
        if link.is_dead:
            raise GreenletExit

    def note_call(self, port):
        """Wake who waits for a call of the machine service, before it is sent."""
        if port == MACHINES_PORT:
            called, self._machines_called = self._machines_called, Event()
            called.send()

    def wait_for_machine_call(self, timeout_ms):
        with eventlet.Timeout(timeout_ms / 1000.0, False):
            self._machines_called.wait()

    def faults_of(self, port):
        return self.store_faults if port == STORE_PORT else self.machine_faults

    def is_cut(self, link, port):
        return self.clock.now_ms() < link.cut_until_ms(port)

    def serve(self, port, call, answer):
        """Carry out a call as a service does, and send its reply to ``answer``."""
        faults = self.faults_of(port)
        sleep_ms(self.rng.uniform(*LATENCY_MS))
        execute = self._order(call) if call.is_order else self._handler(port, call)
        if faults.is_away:
            answer.send(Reply(503, {}))
            return
        is_lost = self.rng.random() < faults.lost_share
        duration_ms = self.rng.uniform(*faults.slow_ms)
        executed_ms = self.rng.uniform(0.0, duration_ms)
        if is_lost:
            executed_ms = self.rng.choice((0.0, self.rng.uniform(0.0, faults.late_ms)))
        sleep_ms(executed_ms)
        reply = execute()
        sleep_ms(max(0.0, duration_ms - executed_ms) + self.rng.uniform(*LATENCY_MS))
        if not is_lost:
            answer.send(reply)

    def _handler(self, port, call):
        if port == MACHINES_PORT:
            return self.machines.list_machines
        return lambda: self.store.serve(call.name, call.body)

    def _order(self, call):
        arrival = self.machines.receive(
            call.name,
            call.body,
            call.headers["x-duty-holder"],
            int(call.headers["x-fence-token"]),
        )
        return lambda: self.machines.carry_out(arrival)


@dataclass(frozen=True)
class Call:
    """A request as a service reads it."""

    name: str
    body: dict
    headers: dict

    @classmethod
    def from_request(cls, request):
        head, _, content = request.partition(b"\r\n\r\n")
        line, *header_lines = head.decode("latin-1").split("\r\n")
        url = urlsplit(line.split(" ")[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        headers = dict(item.lower().split(": ", 1) for item in header_lines)
        body = json.loads(content) if content else {}
        return cls(url.path.rpartition("/")[2], body | query, headers)

    @property
    def is_order(self):
        return self.name.startswith("machine-")


class SimulatedConnection:
    """Takes the place of a connection of the adapter's client.

    A cut holds back what was sent until it ends. ``abort`` drops what is held back,
    and so does the system after ``delivery_timeout_ms``; ``close`` does not.
    """

    is_reusable = True

    def __init__(self, network, link, port, timeout_ms, delivery_timeout_ms=0.0):
        self._network, self._link, self._port = network, link, port
        self._held_at_most_ms = delivery_timeout_ms or math.inf
        self._is_aborted = False
        network.note_call(port)
        network.pause(link)
        needed_ms = network.rng.uniform(*network.faults_of(port).connect_ms)
        if network.is_cut(link, port):
            needed_ms = timeout_ms
        sleep_ms(min(needed_ms, timeout_ms))
        network.pause(link)
        if needed_ms >= timeout_ms:
            raise NotSentError("TimeoutError")
        self._opened_ms = network.clock.now_ms()

    def is_stale(self):
        self._network.note_call(self._port)
        self._network.pause(self._link)
        return False

    def exchange(self, request, timeout_ms):
        answer = Event()
        if self._opened_ms > self._network.silenced_ms:
            eventlet.spawn_n(self._deliver, Call.from_request(request), answer)
        reply = None
        with eventlet.Timeout(timeout_ms / 1000.0, False):
            reply = answer.wait()
        self._network.pause(self._link)
        is_silent = self._opened_ms <= self._network.silenced_ms
        if reply is None or is_silent or self._network.is_cut(self._link, self._port):
            raise ExchangeTimeout("TimeoutError")
        return reply.status, json.dumps(reply.body).encode()

    def _deliver(self, call, answer):
        held_ms = 0.0
        while self._network.is_cut(self._link, self._port):
            now_ms = self._network.clock.now_ms()
            left_ms = self._link.cut_until_ms(self._port) - now_ms
            held_ms += left_ms
            sleep_ms(left_ms)
        if not self._is_aborted and held_ms <= self._held_at_most_ms:
            self._network.serve(self._port, call, answer)

    def close(self):
        """Close the connection; what is held back is delivered."""

    def abort(self):
        self._is_aborted = True

"""Orders about VMs across changes of the scheduler's holder, in simulated time.

Two to four entries compete for the role while waves of maintenance run. A random
script kills, stops, freezes and cuts off entries, mostly the holder, and makes the
store and the machine service slow, silent or lossy. The check sees only the orders
that the machine service received. Each test has its seed in its name. With
``HYPOTHESIS_PROFILE=explore`` the seeds are fresh; ``HOLDER_SEED`` runs one seed.
"""

import json
import os
import random

import eventlet
import logbook
import pytest
from eventlet import hubs
from simulation import (
    MACHINES_PORT,
    STORE_PORT,
    Network,
    ServiceFaults,
    SimulatedClock,
    SimulatedHub,
    sleep_ms,
)

from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.candidates import CandidateTask
from corianderpitch.daemon.scheduling.catalogs import CatalogTask
from corianderpitch.daemon.scheduling.holder import SchedulerTask
from corianderpitch.daemon.scheduling.maintainers import MaintenanceTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.terms import SchedulerTerm
from corianderpitch.daemon.scheduling.vmorders import VmOrders
from corianderpitch.daemon.scheduling.wavereports import WaveReports
from corianderpitch.daemon.supervision import keep_running
from corianderpitch.ids import EntryId
from corianderpitch.ports import PartitionedKey, Write
from corianderpitch_platform import http
from corianderpitch_platform.machines import PlatformVmPools
from corianderpitch_platform.operators import PlatformOperatorRows
from corianderpitch_platform.store import PlatformStore
from corianderpitch_platform.workers import PlatformWorkerLink, PlatformWorkerList
from corianderpitch_standins.ordercheck import OrderRules
from corianderpitch_standins.usermachines import Machine

RULES = OrderRules(lease_ms=3000.0, contact_ms=3000.0)
HOLD_MAX_MS, KEEP_ENDED_MS = 6000.0, 120_000.0
ROLE_LEASE_MS, RENEW_INTERVAL_MS = 2000.0, 500.0
GRACE_MS = 600.0
TROUBLED_MS, CALM_MS = 45_000.0, 12_000.0
MAX_WORK_MS = 120_000.0  # for the waves that are still open, two VMs at a time
REPORT_MS = 10_000.0  # a holder may yield to a larger entry meanwhile
HOLDER_SHARE = 0.8  # of the troubles that hit an entry
CALL_SHARE = 0.6  # of the troubles that begin beside a call of the machine service
MAX_CALL_WAIT_MS, MAX_AFTER_CALL_MS = 2000.0, 40.0
# Each seed failed on the code before issue 29; the value names the cause.
SEEDS = {
    67: "turns: orders sent seconds after the record of their round",
    91: "the same",
    108: "the same",
    44: "a lower fence after a higher one, by a holder that was cut off or frozen",
    131: "the same",
    116: "both",
    27: "two orders about one VM side by side; a wave reported as running for good",
    150: "a wave reported as running for good",
}
EXPLORED_SEEDS = 400
CONFIG = {
    "version": 3,
    "routes": [{"name": "quotes", "prefix": "/quotes/", "service": "counter"}],
    "services": [
        {"name": "counter", "standby": False},
        {"name": "rest", "standby": True},
    ],
}


def seeds():
    if "HOLDER_SEED" in os.environ:
        return [int(os.environ["HOLDER_SEED"])]
    if os.environ.get("HYPOTHESIS_PROFILE") == "explore":
        fresh = random.SystemRandom()
        return [fresh.randrange(2**32) for _ in range(EXPLORED_SEEDS)]
    return list(SEEDS)


class Entry:
    """The tasks of an entry's process that hold the role and order about VMs."""

    def __init__(self, network, name, processors, orders_per_s):
        self.name, self.processors = name, processors
        self.host, self.link = network.add_link(name)
        self._orders_per_s = orders_per_s
        self._clock = SimulatedClock(network.rng.uniform(0.0, 1e6))
        self._store = PlatformStore(f"{self.host}:{STORE_PORT}", self._clock)
        self._pools = PlatformVmPools(f"{self.host}:{MACHINES_PORT}")
        self._operators = PlatformOperatorRows(self._store)
        self._catalogs = CatalogTask(self._operators, self._clock)
        table = PartitionedTable(self._store)
        self._role = RoleLease(
            "scheduler",
            EntryId(name),
            table,
            self._clock,
            RENEW_INTERVAL_MS,
            ROLE_LEASE_MS,
            self._store,
        )
        candidates = CandidateTask(
            table, self._store, EntryId(name), processors, is_first_start=False
        )
        self.scheduler = SchedulerTask(
            self._role,
            self._new_term,
            self._clock,
            lambda: candidates.priority if self._catalogs.catalog else None,
        )
        self._threads = [
            eventlet.spawn(keep_running, task.run)
            for task in (self._catalogs, candidates, self.scheduler)
        ]

    def _new_term(self, has_larger_candidate):
        return SchedulerTerm(
            self._store,
            PlatformWorkerList(self._store),
            PlatformWorkerLink(lambda: self._role.has_valid_lease),
            self._role,
            self._clock,
            JobMeters(),
            lambda: self._catalogs.catalog,
            HOLD_MAX_MS,
            ROLE_LEASE_MS,
            KEEP_ENDED_MS,
            (self._new_maintenance,),
            has_larger_candidate,
        )

    def _new_maintenance(self, scheduler, wake):
        orders = VmOrders(
            EntryId(self.name),
            self._pools,
            self._store,
            scheduler,
            self._role,
            self._clock,
            RULES.lease_ms,
            ROLE_LEASE_MS,
        )
        return MaintenanceTask(
            orders,
            WaveReports(self._store, self._role, self._operators),
            self._catalogs,
            scheduler,
            self._clock,
            wake,
            self._orders_per_s,
        )

    @property
    def is_holder(self):
        return self.scheduler.term is not None

    def kill(self):
        self.link.is_dead = True
        for thread in self._threads:
            thread.kill()


class Play:
    """One seeded run: entries, waves and troubles."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.orders_per_s = self.rng.choice((64.0, 215.0))
        self.entries = []
        self.waves = {}
        self.vms_by_wave = {}
        self.troubles = []
        names = [f"m{n}" for n in range(self.rng.randint(6, 16))]
        for name in names:
            self.network.machines.add(Machine(name, "rest"))
        self.write("config", CONFIG)
        for _ in range(self.rng.randint(2, 4)):
            self.start_entry()

    def write(self, name, fields):
        key = PartitionedKey("op", "", name)
        self.network.rows.commit((), (Write(key, json.dumps(fields).encode()),))

    def start_entry(self, name=None):
        name = name or f"e{len(self.network.links)}"
        processors = self.rng.choice((1.0, 1.0, 2.0))
        entry = Entry(self.network, name, processors, self.orders_per_s)
        self.entries.append(entry)

    def add_wave(self):
        names = sorted(self.network.machines.machines)
        names = self.rng.sample(names, self.rng.randint(3, len(names)))
        number = len(self.waves) + 1
        cap = self.rng.choice((2, 4, len(names)))
        self.waves[number] = cap
        self.vms_by_wave[number] = names
        fields = {"wave": number, "machines": names, "deadline_s": 30, "cap": cap}
        self.write(f"wave/{number}", fields)

    def run(self):
        until_ms = self.network.clock.now_ms() + TROUBLED_MS
        eventlet.spawn(self._add_waves, until_ms)
        sleep_ms(4000.0)
        while self.network.clock.now_ms() < until_ms:
            sleep_ms(self.rng.uniform(100.0, 3000.0))
            if self.rng.random() < CALL_SHARE:
                self.network.wait_for_machine_call(MAX_CALL_WAIT_MS)
                sleep_ms(self.rng.uniform(0.0, MAX_AFTER_CALL_MS))
            self._trouble()
        self.network.store_faults = ServiceFaults()
        self.network.machine_faults = ServiceFaults()
        sleep_ms(CALM_MS)
        self._wait_for_waves()
        for entry in self.entries:
            entry.kill()

    def _wait_for_waves(self):
        """Wait until every VM has begun its maintenance, and for the reports of it."""
        self._wait_until(self.all_begun, MAX_WORK_MS)
        self._wait_until(lambda: self.completed_waves() == set(self.waves), REPORT_MS)

    def _wait_until(self, condition, timeout_ms):
        until_ms = self.network.clock.now_ms() + timeout_ms
        while self.network.clock.now_ms() < until_ms and not condition():
            sleep_ms(500.0)

    def all_begun(self):
        machines = self.network.machines.machines
        return all(
            str(number) in machines[name].begun_waves
            for number, names in self.vms_by_wave.items()
            for name in names
        )

    def _add_waves(self, until_ms):
        while self.network.clock.now_ms() < until_ms:
            self.add_wave()
            sleep_ms(self.rng.uniform(2000.0, 7000.0))

    def _trouble(self):
        """Begin one trouble; those of the services end by themselves."""
        entry = self._victim()
        if entry is None:
            return
        duration_ms = self.rng.uniform(300.0, 7000.0)
        trouble = self.rng.choice(TROUBLES)
        now_ms = self.network.clock.now_ms()
        self.troubles.append(f"{now_ms:.0f} ms: {trouble} {entry.name}")
        match trouble:
            case "kill":
                self._replace(entry, duration_ms)
                entry.kill()
            case "stop":
                self._replace(entry, duration_ms)
                self.network.disturb(entry.name, GRACE_MS)
                eventlet.spawn(self._stop, entry)
            case "freeze":
                self.network.disturb(entry.name, duration_ms)
                entry.link.frozen_until_ms = now_ms + duration_ms
            case "late reader":
                entry.link.frozen_until_ms = now_ms + self.rng.uniform(20.0, 300.0)
            case "cut":
                self.network.disturb(entry.name, duration_ms)
                until_ms = now_ms + duration_ms
                is_store_cut, is_machines_cut = self.rng.choice(CUTS)
                if is_store_cut:
                    entry.link.store_cut_until_ms = until_ms
                if is_machines_cut:
                    entry.link.machines_cut_until_ms = until_ms
            case "slow machines":
                faults = ServiceFaults((100.0, 900.0), (1.0, 450.0), 0.1)
                eventlet.spawn(self._set_machine_faults, faults, 2.0 * duration_ms)
            case "silent machines":
                faults = ServiceFaults((5.0, 60.0), (1.0, 50.0), 0.6)
                eventlet.spawn(self._set_machine_faults, faults, duration_ms)
            case "slow store":
                faults = ServiceFaults((20.0, 350.0))
                eventlet.spawn(self._set_store_faults, faults, duration_ms)
            case "lossy store":
                faults = ServiceFaults(lost_share=0.2, late_ms=5000.0)
                eventlet.spawn(self._set_store_faults, faults, duration_ms)
            case "store away":
                faults = ServiceFaults(is_away=True)
                eventlet.spawn(self._set_store_faults, faults, duration_ms)

    def _victim(self):
        alive = [entry for entry in self.entries if not entry.link.is_dead]
        holders = [entry for entry in alive if entry.is_holder]
        is_holder_hit = holders and self.rng.random() < HOLDER_SHARE
        candidates = holders if is_holder_hit else alive
        return self.rng.choice(candidates) if candidates else None

    def _replace(self, entry, after_ms):
        """Start a process in the place of one that ends, now and then a new entry."""
        name = self.rng.choice((entry.name, None))
        hubs.get_hub().schedule_call_global(
            after_ms / 1000.0 + GRACE_MS / 1000.0, self.start_entry, name
        )

    def _stop(self, entry):
        self.network.pause(entry.link)
        entry.scheduler.resign()
        sleep_ms(GRACE_MS)
        entry.kill()

    def _set_machine_faults(self, faults, duration_ms):
        self.network.machine_faults = faults
        sleep_ms(duration_ms)
        if self.network.machine_faults is faults:
            self.network.machine_faults = ServiceFaults()

    def _set_store_faults(self, faults, duration_ms):
        self.network.disturb("", duration_ms)
        self.network.store_faults = faults
        sleep_ms(duration_ms)
        if self.network.store_faults is faults:
            self.network.store_faults = ServiceFaults()

    def completed_waves(self):
        rows = self.network.rows.read("status", "").unwrap().rows
        states = {row.key.name: json.loads(row.value)["state"] for row in rows}
        return {
            number
            for number in self.waves
            if states.get(f"wave/{number}") == "completed"
        }


CUTS = ((True, False), (False, True), (True, True), (True, True))
TROUBLES = (
    *("kill", "kill", "stop", "stop", "stop", "stop"),
    *("freeze", "freeze", "late reader", "cut", "cut"),
    *("slow machines", "slow machines", "slow machines", "slow machines"),
    *("silent machines", "slow store", "lossy store", "store away"),
)


@pytest.fixture(scope="module", params=seeds())
def play(request):
    """Return the run of one seed after its end."""
    hubs.use_hub(SimulatedHub)
    with (
        logbook.NullHandler().applicationbound(),
        pytest.MonkeyPatch.context() as patch,
    ):
        finished = Play(request.param)
        patch.setattr(http, "Connection", finished.network.connect)
        finished.run()
    hubs.use_hub()
    return finished


def test_no_two_holders_order_about_one_vm_in_turn(play):
    network = play.network
    assert len({order.holder for order in network.machines.arrivals}) > 1
    found = RULES.find_breaks(network.machines.arrivals, network.disturbances)
    assert not found, "\n".join(map(str, (*found, *play.troubles)))


def test_no_more_vms_are_down_for_a_wave_than_its_cap(play):
    most_down = play.network.machines.most_down
    assert all(down <= play.waves[int(wave)] for wave, down in most_down.items())


def test_waves_are_reported_as_completed_once_the_troubles_are_over(play):
    assert play.all_begun()
    assert play.completed_waves() == set(play.waves)

"""Slots are never exceeded while owners and members come and go."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corianderpitch.domain.dispatch import DispatchPolicy, ServiceDispatcher
from corianderpitch.domain.effects import (
    AskForSlots,
    LendSlots,
    Offer,
    ProbeLoad,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import Waiting
from corianderpitch.domain.outcomes import Reason
from corianderpitch.domain.slots import InstanceSpec, Permit, RunResult

SLOTS = 2
VMS = ("vm1", "vm2")
MEMBERS = ("m1", "m2", "m3")
START_MS = 15.0


class DispatchMachine(RuleBasedStateMachine):
    """Members, two instances with their true load, and an owner that may die.

    A member starts what it is granted within ``START_MS`` or never.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.running = {vm: set() for vm in VMS}
        self.granted = {}
        self.held = {member: {} for member in MEMBERS}
        self.decided = set()
        self.waiting = {}
        self.numbers = 0
        self.generation = 0
        self.is_open = dict.fromkeys(VMS, True)
        self._new_owner(frozenset())

    def _new_owner(self, members):
        self.generation += 1
        self.dispatcher = ServiceDispatcher(
            "owner",
            f"g{self.generation}",
            members,
            DispatchPolicy(),
            self.now_ms,
            random.Random(1),
        )
        self._update()

    def _update(self):
        specs = [InstanceSpec(vm, vm, SLOTS, self.is_open[vm]) for vm in VMS]
        self._perform(self.dispatcher.update_instances(specs, self.now_ms))

    def _perform(self, effects):
        for effect in effects:
            match effect:
                case SendGrant(member, request_id, offer):
                    assert self.is_open[offer.vm_id], "granted on a closed VM"
                    assert request_id not in self.decided, "decided twice"
                    self.decided.add(request_id)
                    self.waiting.pop(request_id, None)
                    self.granted[offer.permit_id] = (member, offer, self.now_ms)
                    self.held[member][offer.permit_id] = offer
                case SendRefusal(_, request_id, _, retry_after_ms):
                    assert request_id not in self.decided, "decided twice"
                    assert retry_after_ms > 0
                    self.decided.add(request_id)
                    self.waiting.pop(request_id, None)
                case ProbeLoad(vm_id, _):
                    running = len(self.running[vm_id])
                    more = self.dispatcher.record_load(
                        vm_id, running, False, self.now_ms
                    )
                    self._perform(more)

    def _start_granted(self):
        for permit_id, (_, offer, granted_ms) in list(self.granted.items()):
            if self.now_ms - granted_ms <= START_MS:
                self.running[offer.vm_id].add(permit_id)
            del self.granted[permit_id]

    @rule(member=st.sampled_from(MEMBERS), remaining_ms=st.floats(1, 3000))
    def ask(self, member, remaining_ms):
        self.numbers += 1
        request_id = f"r{self.numbers}"
        item = Waiting(
            request_id, member, "t", "c", self.now_ms + remaining_ms, self.now_ms
        )
        self.waiting[request_id] = item
        self._perform(self.dispatcher.request(item, self.now_ms))

    @rule()
    def start(self):
        self._start_granted()

    @rule(data=st.data(), tells=st.booleans())
    def finish(self, data, tells):
        """A run ends; its holder may fail to say so."""
        running = [(vm, p) for vm in VMS for p in sorted(self.running[vm])]
        if not running:
            return
        vm, permit_id = data.draw(st.sampled_from(running))
        self.running[vm].discard(permit_id)
        self._release(permit_id, RunResult.COMPLETED, tells)

    @rule(data=st.data())
    def give_up(self, data):
        """A holder hangs up while the instance goes on."""
        running = [(vm, p) for vm in VMS for p in sorted(self.running[vm])]
        if not running:
            return
        _, permit_id = data.draw(st.sampled_from(running))
        self._release(permit_id, RunResult.ABANDONED, True)

    def _release(self, permit_id, result, tells):
        for held in self.held.values():
            if held.pop(permit_id, None) is not None and tells:
                effects = self.dispatcher.release(permit_id, result, 10.0, self.now_ms)
                self._perform(effects)

    @rule(step_ms=st.floats(0.1, 700))
    def wait(self, step_ms):
        """Time passes; what was granted has started by then."""
        self._start_granted()
        self.now_ms += step_ms
        self._perform(self.dispatcher.tick(self.now_ms))

    @rule(dead=st.sets(st.sampled_from(MEMBERS)))
    def lose_owner(self, dead):
        """A new owner takes over; members in ``dead`` never attach."""
        self._start_granted()
        for member in dead:
            self.held[member] = {}
        self._new_owner(frozenset(MEMBERS) - dead)
        for member in sorted(set(MEMBERS) - dead):
            permits = [
                Permit(permit_id, offer.vm_id, member, self.now_ms, self.now_ms + 500)
                for permit_id, offer in self.held[member].items()
            ]
            self._perform(self.dispatcher.attach(member, permits, self.now_ms))
        for item in list(self.waiting.values()):
            if item.member not in dead:
                self._perform(self.dispatcher.request(item, self.now_ms))

    @rule(vm=st.sampled_from(VMS), is_open=st.booleans())
    def close_or_open(self, vm, is_open):
        self._start_granted()
        self.is_open[vm] = is_open
        self._update()

    @invariant()
    def slots_are_never_exceeded(self):
        for vm in VMS:
            started = self.running[vm] | {
                p for p, (_, offer, _) in self.granted.items() if offer.vm_id == vm
            }
            assert len(started) <= SLOTS, f"{vm} runs {len(started)}"


TestDispatch = DispatchMachine.TestCase


def ready_dispatcher(now_ms=0.0, slots=2):
    dispatcher = ServiceDispatcher(
        "o", "p", frozenset(), DispatchPolicy(), now_ms, random.Random(1)
    )
    dispatcher.update_instances([InstanceSpec("vm1", "a:1", slots, True)], now_ms)
    dispatcher.record_load("vm1", 0, False, now_ms)
    return dispatcher


def ask(dispatcher, number, now_ms=0.0, remaining_ms=1000.0):
    item = Waiting(f"r{number}", "m", "t", "c", now_ms + remaining_ms, now_ms)
    return dispatcher.request(item, now_ms)


def test_refuses_at_once_what_cannot_finish():
    dispatcher = ready_dispatcher()
    for number in range(2):
        ask(dispatcher, number)
    effects = ask(dispatcher, 9, remaining_ms=50.0)
    refusal = effects[-1]
    assert isinstance(refusal, SendRefusal)
    assert refusal.reason is Reason.OVERLOAD
    assert refusal.retry_after_ms >= 50


def test_gives_up_a_queued_request_before_its_deadline():
    dispatcher = ready_dispatcher()
    for number in range(3):
        ask(dispatcher, number, remaining_ms=400.0)
    effects = dispatcher.tick(350.0)
    refused = [e.request_id for e in effects if isinstance(e, SendRefusal)]
    assert refused == ["r2"]


def test_asks_another_data_centre_and_uses_what_it_lends():
    dispatcher = ready_dispatcher()
    dispatcher.set_remotes(frozenset({"dc2"}))
    for number in range(2):
        ask(dispatcher, number)
    asked = [e for e in ask(dispatcher, 2) if isinstance(e, AskForSlots)]
    offer = Offer("lent", "vm9", "b:1", "other")
    effects = dispatcher.take_offers("dc2", asked[0].ask_id, (offer,), 1.0)
    assert effects[0] == SendGrant("m", "r2", offer)


def test_lends_only_free_slots():
    dispatcher = ready_dispatcher()
    ask(dispatcher, 1)
    [answer] = dispatcher.lend("other", 7, 16, 100.0, 0.0)
    assert isinstance(answer, LendSlots)
    assert len(answer.offers) == 1


def test_learns_again_when_run_times_have_grown_past_every_deadline():
    dispatcher = ready_dispatcher()
    for number in range(300):
        ask(dispatcher, number, now_ms=float(number), remaining_ms=10_000.0)
        dispatcher.release(f"p.{number}", RunResult.COMPLETED, 5000.0, float(number))
    for number in ("x", "y"):
        [grant] = ask(dispatcher, number, now_ms=400.0, remaining_ms=100.0)
        assert isinstance(grant, SendGrant)


def test_gives_up_every_request_that_cannot_start_in_time():
    """Requests of any tenant leave the queue, and only those."""
    dispatcher = ready_dispatcher()
    for number in range(2):
        ask(dispatcher, number, remaining_ms=5000.0)
    for number, tenant, remaining_ms in (
        ("r7", "a", 400.0),
        ("r8", "b", 420.0),
        ("r9", "b", 3000.0),
    ):
        item = Waiting(number, "m", tenant, "c", remaining_ms, 0.0)
        assert dispatcher.request(item, 0.0) == []
    refused = [e for e in dispatcher.tick(350.0) if isinstance(e, SendRefusal)]
    assert {(e.request_id, e.reason) for e in refused} == {
        ("r7", Reason.DEADLINE),
        ("r8", Reason.DEADLINE),
    }
    assert dispatcher.queue_length == 1

"""Dispatch grants no more slots than a VM has, across changes of owners and members."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corianderpitch.domain.dispatch import DispatchPolicy, ServiceDispatcher
from corianderpitch.domain.effects import (
    BorrowSlots,
    LendSlots,
    Offer,
    ProbeLoad,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import QueuedRequest
from corianderpitch.domain.outcomes import Reason
from corianderpitch.domain.slots import InstanceSpec, Permit, RunResult

SLOTS = 2
VMS = ("vm1", "vm2")
MEMBERS = ("m1", "m2", "m3")
START_MS = 15.0


class DispatchMachine(RuleBasedStateMachine):
    """Members, two instances with their true load, and an owner that may fail.

    A member starts a granted request within ``START_MS``, or never.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.running = {vm: set() for vm in VMS}
        self.granted = {}
        self.held = {member: {} for member in MEMBERS}
        self.decided = set()
        self.waiting = {}
        self.request_count = 0
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
    def submit_request(self, member, remaining_ms):
        self.request_count += 1
        request_id = f"r{self.request_count}"
        item = QueuedRequest(
            request_id, member, "t", "c", self.now_ms + remaining_ms, self.now_ms
        )
        self.waiting[request_id] = item
        self._perform(self.dispatcher.submit(item, self.now_ms))

    @rule()
    def start(self):
        self._start_granted()

    @rule(data=st.data(), reports_result=st.booleans())
    def finish(self, data, reports_result):
        """A run ends; its holder may fail to report that."""
        running = [(vm, p) for vm in VMS for p in sorted(self.running[vm])]
        if not running:
            return
        vm, permit_id = data.draw(st.sampled_from(running))
        self.running[vm].discard(permit_id)
        self._release(permit_id, RunResult.COMPLETED, reports_result)

    @rule(data=st.data())
    def abandon(self, data):
        """A holder closes its connection while the instance goes on with the run."""
        running = [(vm, p) for vm in VMS for p in sorted(self.running[vm])]
        if not running:
            return
        _, permit_id = data.draw(st.sampled_from(running))
        self._release(permit_id, RunResult.ABANDONED, True)

    def _release(self, permit_id, result, reports_result):
        for held in self.held.values():
            if held.pop(permit_id, None) is not None and reports_result:
                effects = self.dispatcher.release(permit_id, result, 10.0, self.now_ms)
                self._perform(effects)

    @rule(step_ms=st.floats(0.1, 700))
    def wait(self, step_ms):
        """Members start the requests granted so far; then time passes."""
        self._start_granted()
        self.now_ms += step_ms
        self._perform(self.dispatcher.tick(self.now_ms))

    @rule(failed=st.sets(st.sampled_from(MEMBERS)))
    def replace_owner(self, failed):
        """A new owner takes over; members in ``failed`` never attach."""
        self._start_granted()
        for member in failed:
            self.held[member] = {}
        self._new_owner(frozenset(MEMBERS) - failed)
        for member in sorted(set(MEMBERS) - failed):
            permits = [
                Permit(permit_id, offer.vm_id, member, self.now_ms, self.now_ms + 500)
                for permit_id, offer in self.held[member].items()
            ]
            self._perform(self.dispatcher.attach(member, permits, self.now_ms))
        for item in list(self.waiting.values()):
            if item.member not in failed:
                self._perform(self.dispatcher.submit(item, self.now_ms))

    @rule(vm=st.sampled_from(VMS), is_open=st.booleans())
    def set_vm_open(self, vm, is_open):
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


def submit_request(dispatcher, number, now_ms=0.0, remaining_ms=1000.0):
    item = QueuedRequest(f"r{number}", "m", "t", "c", now_ms + remaining_ms, now_ms)
    return dispatcher.submit(item, now_ms)


def test_request_that_cannot_finish_in_time_is_refused_at_once():
    dispatcher = ready_dispatcher()
    for number in range(2):
        submit_request(dispatcher, number)
    effects = submit_request(dispatcher, 9, remaining_ms=50.0)
    refusal = effects[-1]
    assert isinstance(refusal, SendRefusal)
    assert refusal.reason is Reason.OVERLOAD
    assert refusal.retry_after_ms >= 50


def test_queued_request_that_can_no_longer_finish_is_refused_before_its_deadline():
    dispatcher = ready_dispatcher()
    for number in range(3):
        submit_request(dispatcher, number, remaining_ms=400.0)
    effects = dispatcher.tick(350.0)
    refused = [e.request_id for e in effects if isinstance(e, SendRefusal)]
    assert refused == ["r2"]


def test_queued_request_is_granted_a_slot_borrowed_from_another_data_centre():
    dispatcher = ready_dispatcher()
    dispatcher.set_remote_data_centers(frozenset({"dc2"}))
    for number in range(2):
        submit_request(dispatcher, number)
    borrows = [e for e in submit_request(dispatcher, 2) if isinstance(e, BorrowSlots)]
    offer = Offer("lent", "vm9", "b:1", "other")
    effects = dispatcher.accept_offers("dc2", borrows[0].ask_id, (offer,), 1.0)
    assert effects[0] == SendGrant("m", "r2", offer)


def test_only_free_slots_are_lent():
    dispatcher = ready_dispatcher()
    submit_request(dispatcher, 1)
    [effect] = dispatcher.lend_slots("other", 7, 16, 100.0, 0.0)
    assert isinstance(effect, LendSlots)
    assert len(effect.offers) == 1


def test_requests_are_still_granted_when_run_times_exceed_every_deadline():
    dispatcher = ready_dispatcher()
    for number in range(300):
        submit_request(dispatcher, number, now_ms=float(number), remaining_ms=10_000.0)
        dispatcher.release(f"p.{number}", RunResult.COMPLETED, 5000.0, float(number))
    for number in ("x", "y"):
        [grant] = submit_request(dispatcher, number, now_ms=400.0, remaining_ms=100.0)
        assert isinstance(grant, SendGrant)


def test_all_requests_that_cannot_start_in_time_are_refused():
    """Requests of every tenant are checked; those with time left stay in the queue."""
    dispatcher = ready_dispatcher()
    for number in range(2):
        submit_request(dispatcher, number, remaining_ms=5000.0)
    for number, tenant, remaining_ms in (
        ("r7", "a", 400.0),
        ("r8", "b", 420.0),
        ("r9", "b", 3000.0),
    ):
        item = QueuedRequest(number, "m", tenant, "c", remaining_ms, 0.0)
        assert dispatcher.submit(item, 0.0) == []
    refused = [e for e in dispatcher.tick(350.0) if isinstance(e, SendRefusal)]
    assert {(e.request_id, e.reason) for e in refused} == {
        ("r7", Reason.DEADLINE),
        ("r8", Reason.DEADLINE),
    }
    assert dispatcher.queue_length == 1

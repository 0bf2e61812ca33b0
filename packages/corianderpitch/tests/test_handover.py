"""Handover of tickets by an entry that leaves."""

import random

import eventlet
from fakes import FakeNetwork

from corianderpitch.clock import ManualClock, SystemClock
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.tickets import TicketService
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.outcomes import Answered, Reason, Unknown
from corianderpitch.domain.tickets import MAX_KEPT_ANSWER_BYTES
from corianderpitch.messages import TicketCall, TicketHandover, TicketSuccessor
from corianderpitch.wire import Decoder, encode

LEAVING = MemberInfo("a1", "i", "a", "x:1")
SUCCESSOR = MemberInfo("a0", "i", "a", "x:2")
FAR = MemberInfo("b0", "i", "b", "x:3")


class SuccessorNetwork(FakeNetwork):
    """Confirms a handover as the successor would, after losing some."""

    def __init__(self, own, lose):
        super().__init__(own)
        self.lose = lose

    def send(self, entry, message, lane=None):
        super().send(entry, message, lane)
        if not isinstance(message, TicketHandover):
            return
        if self.lose:
            self.lose -= 1
            return
        answer = TicketSuccessor(message.issuer, message.incarnation, SUCCESSOR)
        eventlet.spawn_n(self.handlers[TicketSuccessor], entry, answer)


def ticket_service(own, network, known, clock, runner=None):
    membership = Membership(own)
    membership.learn(known)
    members = MembershipTask(membership, network, clock, random.Random(1))
    return TicketService(membership, members, network, runner, clock), membership


def handed_over(lose):
    network = SuccessorNetwork("a1", lose)
    known = [SUCCESSOR, FAR]
    service, _ = ticket_service(LEAVING, network, known, SystemClock())
    assert service.hand_over("a0")
    return network.sent


def test_leaving_entry_tells_all_it_knows_who_answers_for_its_tickets():
    """The successor may not know them all."""
    told = [entry for entry, m in handed_over(0) if isinstance(m, TicketSuccessor)]
    assert sorted(told) == ["a0", "b0"]


def test_lost_handover_is_sent_again_to_the_same_entry():
    sent = handed_over(2)
    asked = [entry for entry, m in sent if isinstance(m, TicketHandover)]
    assert asked == ["a0", "a0", "a0"]


def receiver(known):
    network = FakeNetwork("b0")
    service, membership = ticket_service(FAR, network, known, ManualClock())
    return network, service, membership


def issued_ticket():
    network = FakeNetwork("a1")
    service, _ = ticket_service(LEAVING, network, [], ManualClock())
    return service.issue("s", "t", "c")


def test_successor_that_was_not_known_is_learnt_and_asked():
    network, service, membership = receiver([LEAVING])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    assert membership.info("a0") == SUCCESSOR
    membership.left("a1")
    eventlet.spawn_n(service.use, issued_ticket(), 100.0, "", b"{}")
    eventlet.sleep(0.0)
    assert [e for e, m in network.sent if isinstance(m, TicketCall)] == ["a0"]


def test_successor_that_was_started_anew_does_not_answer_for_the_tickets():
    network, service, membership = receiver([LEAVING, SUCCESSOR])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    membership.learn([MemberInfo("a0", "later", "a", "x:4")])
    outcome = service.use(issued_ticket(), 100.0, "", b"{}")
    assert outcome == Unknown(Reason.ISSUER_LOST)


def test_late_news_of_a_successor_does_not_replace_its_new_incarnation():
    network, _, membership = receiver([LEAVING, SUCCESSOR])
    anew = MemberInfo("a0", "later", "a", "x:4")
    membership.learn([anew])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    assert membership.info("a0") == anew


class AnsweringRunner:
    """Answers with as many bytes as the request names."""

    def run(self, request):
        return Answered(200, "text/plain", b"x" * int(request.body))


def test_record_larger_than_a_message_is_handed_over_in_parts():
    """The successor answers for nothing before it has every part."""
    network = SuccessorNetwork("a1", 0)
    service, _ = ticket_service(
        LEAVING, network, [SUCCESSOR], SystemClock(), AnsweringRunner()
    )
    sizes = [MAX_KEPT_ANSWER_BYTES // 16] * 16 + [0] * 1000
    tickets = [service.issue("s", "t", "c") for _ in sizes]
    for ticket, size in zip(tickets, sizes, strict=True):
        service.use(ticket, 1000.0, "", str(size).encode())
    service.hand_over("a0")
    parts = [m for _, m in network.sent if isinstance(m, TicketHandover)]
    heir_network = FakeNetwork("a0")
    heir, _ = ticket_service(SUCCESSOR, heir_network, [LEAVING], SystemClock())
    decoder = Decoder()
    for part in parts:
        assert heir_network.sent == []
        [received] = decoder.feed(encode(part))
        heir_network.handlers[TicketHandover]("a1", received)
    assert [type(m) for _, m in heir_network.sent] == [TicketSuccessor]
    kept = [heir.use(ticket, 1000.0, "", None) for ticket in tickets]
    assert [len(outcome.body) for outcome in kept] == sizes

"""Hand-over of tickets by an entry that shuts down."""

import random

import eventlet
from fakes import FakeNetwork

from corianderpitch.clock import ManualClock, SystemClock
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.tickets import TicketService
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.outcomes import Answered, Reason, Unknown
from corianderpitch.domain.tickets import MAX_RETAINED_ANSWER_BYTES
from corianderpitch.messages import TicketCall, TicketHandover, TicketSuccessor
from corianderpitch.wire import Decoder, encode

LEAVING = MemberInfo("a1", "i", "a", "x:1")
SUCCESSOR = MemberInfo("a0", "i", "a", "x:2")
REMOTE = MemberInfo("b0", "i", "b", "x:3")


class SuccessorNetwork(FakeNetwork):
    """Confirms hand-overs as the successor would, after dropping the first ones."""

    def __init__(self, own, lost_count):
        super().__init__(own)
        self.lost_count = lost_count

    def send(self, entry, message, lane=None):
        super().send(entry, message, lane)
        if not isinstance(message, TicketHandover):
            return
        if self.lost_count:
            self.lost_count -= 1
            return
        answer = TicketSuccessor(message.issuer, message.incarnation, SUCCESSOR)
        eventlet.spawn_n(self.handlers[TicketSuccessor], entry, answer)


def ticket_service(own, network, known, clock, runner=None):
    membership = Membership(own)
    membership.add_members(known)
    members = MembershipTask(membership, network, clock, random.Random(1))
    return TicketService(membership, members, network, runner, clock), membership


def messages_of_handover(lost_count):
    network = SuccessorNetwork("a1", lost_count)
    known = [SUCCESSOR, REMOTE]
    service, _ = ticket_service(LEAVING, network, known, SystemClock())
    assert service.hand_over("a0")
    return network.sent


def test_leaving_entry_announces_its_successor_to_every_known_entry():
    """The successor itself may not know every entry."""
    informed = [
        entry for entry, m in messages_of_handover(0) if isinstance(m, TicketSuccessor)
    ]
    assert sorted(informed) == ["a0", "b0"]


def test_lost_handover_is_sent_again_to_the_same_entry():
    sent = messages_of_handover(2)
    receivers = [entry for entry, m in sent if isinstance(m, TicketHandover)]
    assert receivers == ["a0", "a0", "a0"]


def remote_service(known):
    network = FakeNetwork("b0")
    service, membership = ticket_service(REMOTE, network, known, ManualClock())
    return network, service, membership


def issued_ticket():
    network = FakeNetwork("a1")
    service, _ = ticket_service(LEAVING, network, [], ManualClock())
    return service.issue("s", "t", "c")


def test_unknown_successor_is_added_and_receives_the_calls():
    network, service, membership = remote_service([LEAVING])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    assert membership.member_info("a0") == SUCCESSOR
    membership.mark_left("a1")
    eventlet.spawn_n(service.use, issued_ticket(), 100.0, "", b"{}")
    eventlet.sleep(0.0)
    assert [e for e, m in network.sent if isinstance(m, TicketCall)] == ["a0"]


def test_restarted_successor_does_not_answer_for_the_tickets():
    network, service, membership = remote_service([LEAVING, SUCCESSOR])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    membership.add_members([MemberInfo("a0", "later", "a", "x:4")])
    outcome = service.use(issued_ticket(), 100.0, "", b"{}")
    assert outcome == Unknown(Reason.ISSUER_LOST)


def test_late_announcement_of_a_successor_does_not_replace_its_new_incarnation():
    network, _, membership = remote_service([LEAVING, SUCCESSOR])
    restarted = MemberInfo("a0", "later", "a", "x:4")
    membership.add_members([restarted])
    network.handlers[TicketSuccessor]("a1", TicketSuccessor("a1", "i", SUCCESSOR))
    assert membership.member_info("a0") == restarted


class AnsweringRunner:
    """Answers with as many bytes as the request's body asks for."""

    def run(self, request):
        return Answered(200, "text/plain", b"x" * int(request.body))


def test_store_larger_than_a_message_is_handed_over_in_parts():
    """The successor announces nothing before it has received every part."""
    network = SuccessorNetwork("a1", 0)
    service, _ = ticket_service(
        LEAVING, network, [SUCCESSOR], SystemClock(), AnsweringRunner()
    )
    sizes = [MAX_RETAINED_ANSWER_BYTES // 16] * 16 + [0] * 1000
    tickets = [service.issue("s", "t", "c") for _ in sizes]
    for ticket, size in zip(tickets, sizes, strict=True):
        service.use(ticket, 1000.0, "", str(size).encode())
    service.hand_over("a0")
    parts = [m for _, m in network.sent if isinstance(m, TicketHandover)]
    successor_network = FakeNetwork("a0")
    successor, _ = ticket_service(
        SUCCESSOR, successor_network, [LEAVING], SystemClock()
    )
    decoder = Decoder()
    for part in parts:
        assert successor_network.sent == []
        [received] = decoder.feed(encode(part))
        successor_network.handlers[TicketHandover]("a1", received)
    assert [type(m) for _, m in successor_network.sent] == [TicketSuccessor]
    finished = [successor.use(ticket, 1000.0, "", None) for ticket in tickets]
    assert [len(outcome.body) for outcome in finished] == sizes

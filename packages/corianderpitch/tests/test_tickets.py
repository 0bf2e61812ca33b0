"""Tickets start their request at most once, also across a hand-over."""

from hypothesis import example, given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from corianderpitch.domain.outcomes import Answered, NotRun, Reason, Unknown
from corianderpitch.domain.tickets import (
    MAX_RETAINED_ANSWER_BYTES,
    TICKET_LIFETIME_MS,
    Finished,
    Invalid,
    NotStarted,
    Running,
    Started,
    TicketStore,
    parse_ticket,
)

SECRET = b"s" * 32


def new_store():
    return TicketStore("e1", "i1", SECRET)


class TicketMachine(RuleBasedStateMachine):
    """Callers repeat tickets at any time; the store is handed over in between."""

    @initialize()
    def set_up(self):
        self.store = new_store()
        self.now_ms = 0.0
        self.offset_ms = 0.0
        self.tickets = []
        self.started = {}
        self.outcomes = {}

    @rule()
    def issue(self):
        if self.offset_ms == 0.0:
            ticket = self.store.issue("s", "t", "c", self.now_ms)
            assert ticket not in self.tickets
            self.tickets.append(ticket)

    @rule(data=st.data())
    def use(self, data):
        if not self.tickets:
            return
        ticket = data.draw(st.sampled_from(self.tickets))
        state = self.store.begin(ticket, self.now_ms + self.offset_ms)
        match state:
            case Started():
                assert ticket not in self.started, "started twice"
                self.started[ticket] = True
            case Running():
                assert ticket in self.started and ticket not in self.outcomes
            case Finished(outcome):
                expected = self.outcomes.get(ticket)
                assert outcome in (expected, Unknown(Reason.TICKET_EXPIRED))
            case _:
                raise AssertionError(state)

    @rule(data=st.data(), answered=st.booleans())
    def finish(self, data, answered):
        running = [t for t in self.started if t not in self.outcomes]
        if not running:
            return
        ticket = data.draw(st.sampled_from(running))
        answer = Answered(200, "x", ticket.encode())
        outcome = answer if answered else NotRun(Reason.OVERLOAD, 5)
        self.store.finish(ticket, outcome)
        self.outcomes[ticket] = outcome

    @rule(step_ms=st.sampled_from([1.0, TICKET_LIFETIME_MS / 2]))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @rule(offset_ms=st.sampled_from([5e6, -3e6]))
    def hand_over(self, offset_ms):
        if len(self.started) != len(self.outcomes):
            return
        finished = self.store.finished_tickets()
        self.offset_ms = offset_ms
        self.store = TicketStore("e1", "i1", SECRET, offset_ms)
        self.store.restore_finished(finished)


TestTickets = TicketMachine.TestCase


@given(st.text(max_size=40), st.integers(0, 200))
@example(".\x80", 0)
def test_forged_or_changed_ticket_is_invalid(text, position):
    store = new_store()
    ticket = store.issue("s", "t", "c", 0.0)
    index = position % len(ticket)
    changed = (
        ticket[:index] + ("A" if ticket[index] != "A" else "B") + ticket[index + 1 :]
    )
    assert isinstance(store.begin(changed, 0.0), Invalid)
    assert isinstance(store.begin(text, 0.0), Invalid)


@given(st.text(max_size=60))
def test_parsing_any_text_raises_no_error(text):
    parse_ticket(text)


def test_look_up_does_not_start_the_request():
    store = new_store()
    ticket = store.issue("s", "t", "c", 0.0)
    assert isinstance(store.look_up(ticket, 0.0), NotStarted)
    assert isinstance(store.begin(ticket, 0.0), Started)


def test_retained_answers_are_bounded_in_bytes():
    store = new_store()
    body = bytes(MAX_RETAINED_ANSWER_BYTES // 2)
    tickets = [store.issue("s", "t", "c", 0.0) for _ in range(3)]
    for ticket in tickets:
        store.begin(ticket, 0.0)
        store.finish(ticket, Answered(200, "x", body))
    first = store.look_up(tickets[0], 1.0)
    last = store.look_up(tickets[2], 1.0)
    assert first == Finished(Unknown(Reason.TICKET_EXPIRED))
    assert isinstance(last.outcome, Answered)


def test_ticket_lifetime_is_kept_when_the_successor_has_another_clock():
    store = new_store()
    ticket = store.issue("s", "t", "c", 1000.0)
    ahead_ms = 50 * TICKET_LIFETIME_MS
    successor = TicketStore("e1", "i1", SECRET, ahead_ms)
    assert isinstance(successor.begin(ticket, ahead_ms + 2000.0), Started)
    expired_ms = ahead_ms + 2 * TICKET_LIFETIME_MS
    other = TicketStore("e1", "i1", SECRET, ahead_ms)
    assert other.begin(ticket, expired_ms) == Finished(Unknown(Reason.TICKET_EXPIRED))

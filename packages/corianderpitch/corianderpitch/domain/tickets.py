"""Tickets that make a non-idempotent request run at most once.

A ticket names the entry incarnation that issued it, and everything that identifies
the request except its body. Only that incarnation, or the successor that its tickets
were handed over to, starts the request of a ticket, and only once. Every repeat of
the call gets the outcome of that run. A ticket carries a message authentication code
(MAC), so that a caller cannot reach the answer of another one by guessing a ticket.
"""

import base64
import hashlib
import hmac
import itertools
from collections import OrderedDict
from dataclasses import dataclass

import msgpack

from corianderpitch.domain.outcomes import Answered, Outcome, Reason, Unknown
from corianderpitch.ids import ClassName, EntryId, ServiceName, TenantName, TicketId

TICKET_LIFETIME_MS = 600_000
MAX_RETAINED_ANSWER_BYTES = 16 * 1024 * 1024
MAC_BYTES = 12
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class Ticket:
    """The contents of a ticket; ``issued_ms`` is on the issuer's clock."""

    issuer: EntryId
    incarnation: str
    number: int
    issued_ms: int
    service: ServiceName
    tenant: TenantName
    class_name: ClassName


@dataclass(frozen=True, slots=True)
class Started:
    """The ticket has just been started; the caller must run its request now."""


@dataclass(frozen=True, slots=True)
class Running:
    """The request is running, and its outcome is still to come."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The request has ended with this outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The ticket is valid, and its request has not been started."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The ticket was not issued with the key of this store."""


TicketState = Started | Running | Finished | NotStarted | Invalid


def parse_ticket(ticket_id: TicketId) -> Ticket | None:
    """Return the contents of a ticket without checking its MAC.

    Returns ``None`` if the text does not have the form of a ticket.
    """
    try:
        payload = base64.urlsafe_b64decode(ticket_id.split(".")[0])
        values = msgpack.unpackb(payload)
        ticket = Ticket(*values)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    is_number = isinstance(ticket.number, int) and isinstance(ticket.issued_ms, int)
    texts = (ticket.issuer, ticket.incarnation, ticket.service, ticket.tenant)
    are_texts = all(isinstance(text, str) for text in (*texts, ticket.class_name))
    return ticket if is_number and are_texts else None


class TicketStore:
    """The tickets of one entry incarnation.

    ``clock_offset_ms`` is how far the clock of the entry that holds the store is ahead
    of the issuer's clock. Times passed to the methods are on the holder's clock. The
    store maps the number of each started ticket to its issue time and outcome; the
    outcome is ``None`` while the request runs.
    """

    def __init__(
        self,
        issuer: EntryId,
        incarnation: str,
        secret: bytes,
        clock_offset_ms: float = 0.0,
    ):
        self._clock_offset_ms = clock_offset_ms
        self._issuer = issuer
        self._incarnation = incarnation
        self._secret = secret
        self._numbers = itertools.count()
        self._outcomes: OrderedDict[int, tuple[int, Outcome | None]] = OrderedDict()
        self._retained_bytes = 0

    @property
    def issuer(self) -> EntryId:
        """Return the entry that issues these tickets."""
        return self._issuer

    @property
    def incarnation(self) -> str:
        """Return the incarnation that issues these tickets."""
        return self._incarnation

    @property
    def clock_offset_ms(self) -> float:
        """Return how far the holder's clock is ahead of the issuer's clock."""
        return self._clock_offset_ms

    @property
    def secret(self) -> bytes:
        """Return the key of the MAC."""
        return self._secret

    def issue(
        self,
        service: ServiceName,
        tenant: TenantName,
        class_name: ClassName,
        now_ms: float,
    ) -> TicketId:
        """Return a new ticket; the store holds nothing for it until it is started."""
        number = next(self._numbers)
        fields = [self._issuer, self._incarnation, number, int(now_ms)]
        payload = msgpack.packb([*fields, service, tenant, class_name])
        text = base64.urlsafe_b64encode(payload).decode()
        return TicketId(f"{text}.{self._mac(text)}")

    def look_up(self, ticket_id: TicketId, now_ms: float) -> TicketState:
        """Return a ticket's state without starting its request."""
        ticket = self._verify(ticket_id)
        if ticket is None:
            return Invalid()
        now_ms -= self._clock_offset_ms
        self._delete_expired(now_ms)
        if now_ms - ticket.issued_ms > TICKET_LIFETIME_MS:
            return Finished(Unknown(Reason.TICKET_EXPIRED))
        if ticket.number not in self._outcomes:
            return NotStarted()
        outcome = self._outcomes[ticket.number][1]
        return Running() if outcome is None else Finished(outcome)

    def begin(self, ticket_id: TicketId, now_ms: float) -> TicketState:
        """Return a ticket's state, and start the ticket if it is valid and not started.

        For :class:`Started` the caller must run the request and call :meth:`finish`.
        """
        state = self.look_up(ticket_id, now_ms)
        if not isinstance(state, NotStarted):
            return state
        ticket = self._verify(ticket_id)
        self._outcomes[ticket.number] = (ticket.issued_ms, None)
        return Started()

    def finish(self, ticket_id: TicketId, outcome: Outcome) -> None:
        """Record the outcome of a started ticket."""
        ticket = self._verify(ticket_id)
        self._outcomes[ticket.number] = (ticket.issued_ms, outcome)
        self._retained_bytes += _answer_bytes(outcome)
        self._limit_retained_bytes()

    def finished_tickets(self) -> list[tuple[int, int, Outcome]]:
        """Return (number, issue time in ms, outcome) of every finished ticket."""
        return [
            (number, issued_ms, outcome)
            for number, (issued_ms, outcome) in self._outcomes.items()
            if outcome is not None
        ]

    def restore_finished(self, finished: list[tuple[int, int, Outcome]]) -> None:
        """Restore the finished tickets that an entry hands over at an orderly exit."""
        for number, issued_ms, outcome in finished:
            self._outcomes[number] = (issued_ms, outcome)
            self._retained_bytes += _answer_bytes(outcome)

    def _verify(self, ticket_id: TicketId) -> Ticket | None:
        if not ticket_id.isascii():
            return None
        text, _, mac = ticket_id.partition(".")
        if not hmac.compare_digest(mac, self._mac(text)):
            return None
        return parse_ticket(ticket_id)

    def _mac(self, text: str) -> str:
        digest = hmac.new(self._secret, text.encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()

    def _delete_expired(self, now_ms: float) -> None:
        while self._outcomes:
            number, (issued_ms, outcome) = next(iter(self._outcomes.items()))
            if outcome is None or now_ms - issued_ms <= TICKET_LIFETIME_MS:
                return
            self._retained_bytes -= _answer_bytes(outcome)
            del self._outcomes[number]

    def _limit_retained_bytes(self) -> None:
        """Replace the oldest answers by ``Unknown`` until the others fit the limit."""
        for number, (issued_ms, outcome) in list(self._outcomes.items()):
            if self._retained_bytes <= MAX_RETAINED_ANSWER_BYTES:
                return
            self._retained_bytes -= _answer_bytes(outcome)
            if isinstance(outcome, Answered):
                expired = Unknown(Reason.TICKET_EXPIRED)
                self._outcomes[number] = (issued_ms, expired)


def _answer_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, Answered) else 0

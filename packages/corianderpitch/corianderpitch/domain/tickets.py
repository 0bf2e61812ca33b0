"""Tickets that make a non-idempotent request run at most once.

A ticket names the entry incarnation that issued it and everything that
identifies the request but its body. Only that incarnation starts a ticket's
request, and only once; every repeat joins the same outcome. A ticket carries
a message authentication code, so that nobody can reach another caller's
answer by guessing.
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
MAX_KEPT_ANSWER_BYTES = 16 * 1024 * 1024
CODE_BYTES = 12
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
class Start:
    """The caller of :meth:`TicketStore.begin` must run the request now."""


@dataclass(frozen=True, slots=True)
class Join:
    """The request is running; wait for its outcome."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The request has ended with this outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The ticket is valid and its request has not been sent yet."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The ticket was not issued by this store."""


TicketState = Start | Join | Finished | NotStarted | Invalid


def parse_ticket(ticket_id: TicketId) -> Ticket | None:
    """Return the contents of a ticket without checking its code.

    Returns ``None`` if the text is not a ticket at all.
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

    ``clock_offset_ms`` is how far the clock of the store's holder is ahead of
    the issuer's. ``None`` in the record means that the request is running.
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
        self._record: OrderedDict[int, tuple[int, Outcome | None]] = OrderedDict()
        self._kept_bytes = 0

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
        """Return how far the holder's clock is ahead of the issuer's."""
        return self._clock_offset_ms

    @property
    def secret(self) -> bytes:
        """Return the key of the authentication code."""
        return self._secret

    def issue(
        self,
        service: ServiceName,
        tenant: TenantName,
        class_name: ClassName,
        now_ms: float,
    ) -> TicketId:
        """Return a new ticket; nothing is kept until it is used."""
        number = next(self._numbers)
        fields = [self._issuer, self._incarnation, number, int(now_ms)]
        payload = msgpack.packb([*fields, service, tenant, class_name])
        text = base64.urlsafe_b64encode(payload).decode()
        return TicketId(f"{text}.{self._code(text)}")

    def look_up(self, ticket_id: TicketId, now_ms: float) -> TicketState:
        """Return a ticket's state without starting its request."""
        ticket = self._verified(ticket_id)
        if ticket is None:
            return Invalid()
        now_ms -= self._clock_offset_ms
        self._forget_expired(now_ms)
        if now_ms - ticket.issued_ms > TICKET_LIFETIME_MS:
            return Finished(Unknown(Reason.TICKET_EXPIRED))
        if ticket.number not in self._record:
            return NotStarted()
        outcome = self._record[ticket.number][1]
        return Join() if outcome is None else Finished(outcome)

    def begin(self, ticket_id: TicketId, now_ms: float) -> TicketState:
        """Like :meth:`look_up`, but a ticket not started is started now."""
        state = self.look_up(ticket_id, now_ms)
        if not isinstance(state, NotStarted):
            return state
        ticket = self._verified(ticket_id)
        self._record[ticket.number] = (ticket.issued_ms, None)
        return Start()

    def finish(self, ticket_id: TicketId, outcome: Outcome) -> None:
        """Record the outcome of a started ticket."""
        ticket = self._verified(ticket_id)
        self._record[ticket.number] = (ticket.issued_ms, outcome)
        self._kept_bytes += _answer_bytes(outcome)
        self._limit_kept_bytes()

    def finished(self) -> list[tuple[int, int, Outcome]]:
        """Return (number, issue time, outcome) of every ended ticket."""
        return [
            (number, issued_ms, outcome)
            for number, (issued_ms, outcome) in self._record.items()
            if outcome is not None
        ]

    def adopt(self, finished: list[tuple[int, int, Outcome]]) -> None:
        """Take over the record of a store that ended in order."""
        for number, issued_ms, outcome in finished:
            self._record[number] = (issued_ms, outcome)
            self._kept_bytes += _answer_bytes(outcome)

    def _verified(self, ticket_id: TicketId) -> Ticket | None:
        text, _, code = ticket_id.partition(".")
        if not hmac.compare_digest(code, self._code(text)):
            return None
        return parse_ticket(ticket_id)

    def _code(self, text: str) -> str:
        digest = hmac.new(self._secret, text.encode(), hashlib.sha256).digest()
        return base64.urlsafe_b64encode(digest[:CODE_BYTES]).decode()

    def _forget_expired(self, now_ms: float) -> None:
        while self._record:
            number, (issued_ms, outcome) = next(iter(self._record.items()))
            if outcome is None or now_ms - issued_ms <= TICKET_LIFETIME_MS:
                return
            self._kept_bytes -= _answer_bytes(outcome)
            del self._record[number]

    def _limit_kept_bytes(self) -> None:
        """Replace the oldest answers by ``Unknown`` while too many are kept."""
        for number, (issued_ms, outcome) in list(self._record.items()):
            if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES:
                return
            self._kept_bytes -= _answer_bytes(outcome)
            if isinstance(outcome, Answered):
                forgotten = Unknown(Reason.TICKET_EXPIRED)
                self._record[number] = (issued_ms, forgotten)


def _answer_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, Answered) else 0

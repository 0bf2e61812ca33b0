"""Ticket service: runs each ticket at most once, on the entry that holds it."""

import itertools
import secrets
from dataclasses import dataclass, field

import eventlet
from eventlet import Timeout
from eventlet.event import Event

from corianderpitch.clock import Clock
from corianderpitch.daemon.handovers import HandoverCollector, handover_messages
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import Lane, PeerNetwork
from corianderpitch.daemon.requests import Request, RequestRunner
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.outcomes import Outcome, Reason, Unknown
from corianderpitch.domain.tickets import (
    SECRET_BYTES,
    Finished,
    Invalid,
    NotStarted,
    Running,
    Started,
    Ticket,
    TicketStore,
    parse_ticket,
)
from corianderpitch.ids import (
    ClassName,
    EntryId,
    RequestId,
    ServiceName,
    TenantName,
    TicketId,
)
from corianderpitch.messages import (
    OutcomeRecord,
    TicketAccepted,
    TicketCall,
    TicketHandover,
    TicketReply,
    TicketSuccessor,
)

CALL_CHECK_INTERVAL_MS = 50.0
ACCEPT_TIMEOUT_MS = 500.0
MAX_CALL_ATTEMPTS = 4
HANDOVER_TIMEOUT_MS = 2000.0
HANDOVER_RETRY_MS = 500.0
HANDOVER_CHECK_INTERVAL_MS = 10.0

log = logger("tickets")
StoreKey = tuple[EntryId, str]


@dataclass(frozen=True, slots=True)
class _CallLost:
    """The call must be sent again, perhaps to another entry."""


@dataclass(slots=True)
class _PendingCall:
    holder: EntryId
    reply: Event = field(default_factory=Event)
    is_accepted: bool = False
    is_lost: bool = False


class TicketService:
    """Issues and runs tickets.

    This entry holds the tickets of its own incarnation and those that other
    incarnations have handed over to it. Uses of other tickets are forwarded to
    their holder.
    """

    def __init__(
        self,
        membership: Membership,
        members: MembershipTask,
        network: PeerNetwork,
        runner: RequestRunner,
        clock: Clock,
    ):
        self._membership = membership
        self._members = members
        self._network = network
        self._runner = runner
        self._clock = clock
        own = membership.local_member
        secret = secrets.token_bytes(SECRET_BYTES)
        self._store = TicketStore(own.entry, own.incarnation, secret)
        self._stores: dict[StoreKey, TicketStore] = {
            (own.entry, own.incarnation): self._store
        }
        self._successors: dict[StoreKey, MemberInfo] = {}
        self._handovers = HandoverCollector()
        self._running: dict[TicketId, Event] = {}
        self._calls: dict[str, _PendingCall] = {}
        self._call_numbers = itertools.count()
        self._is_handing_over = False
        network.handle(TicketCall, self._on_call)
        network.handle(TicketAccepted, self._on_accepted)
        network.handle(TicketReply, self._on_reply)
        network.on_link_down = self._on_link_down
        network.handle(TicketHandover, self._on_handover)
        network.handle(TicketSuccessor, self._on_successor)

    @property
    def running_count(self) -> int:
        """Return how many tickets are running on this entry."""
        return len(self._running)

    def issue(
        self, service: ServiceName, tenant: TenantName, class_name: ClassName
    ) -> TicketId:
        """Return a ticket that only this incarnation may start."""
        return self._store.issue(service, tenant, class_name, self._clock.now_ms())

    def use(
        self,
        ticket_id: TicketId,
        timeout_ms: float,
        content_type: str,
        body: bytes | None,
    ) -> Outcome | None:
        """Start a ticket, or wait for its run in progress, and return the outcome.

        Without a body, a ticket that has not been started is not started. Returns
        ``None`` for a ticket that is invalid or not started.
        """
        ticket = parse_ticket(ticket_id)
        if ticket is None:
            return None
        if (ticket.issuer, ticket.incarnation) in self._stores:
            return self._use_local(ticket_id, ticket, timeout_ms, content_type, body)
        return self._use_remote(ticket_id, ticket, timeout_ms, content_type, body)

    def _use_local(
        self,
        ticket_id: TicketId,
        ticket: Ticket,
        timeout_ms: float,
        content_type: str,
        body: bytes | None,
    ) -> Outcome | None:
        store = self._stores[(ticket.issuer, ticket.incarnation)]
        if self._is_handing_over:
            return self._use_remote(ticket_id, ticket, timeout_ms, content_type, body)
        now_ms = self._clock.now_ms()
        state = (
            store.look_up(ticket_id, now_ms)
            if body is None
            else store.begin(ticket_id, now_ms)
        )
        match state:
            case Finished(outcome):
                return outcome
            case Invalid() | NotStarted():
                return None
            case Started():
                self._running[ticket_id] = Event()
                request = _ticket_request(
                    ticket, ticket_id, timeout_ms, content_type, body
                )
                eventlet.spawn_n(self._run, store, ticket_id, request)
            case Running():
                pass
        return self._wait_for_outcome(self._running[ticket_id], timeout_ms)

    def _run(self, store: TicketStore, ticket_id: TicketId, request: Request) -> None:
        """Run a started ticket to its end, even if its caller disconnects."""
        outcome: Outcome = Unknown(Reason.INSTANCE_BROKE_OFF)
        try:
            outcome = self._runner.run(request)
        finally:
            store.finish(ticket_id, outcome)
            self._running.pop(ticket_id).send(outcome)

    def _wait_for_outcome(self, event: Event, timeout_ms: float) -> Outcome:
        try:
            with Timeout(timeout_ms / 1000.0):
                return event.wait()
        except Timeout:
            return Unknown(Reason.INSTANCE_SILENT)

    def _use_remote(
        self,
        ticket_id: TicketId,
        ticket: Ticket,
        timeout_ms: float,
        content_type: str,
        body: bytes | None,
    ) -> Outcome | None:
        deadline_ms = self._clock.now_ms() + timeout_ms
        for _ in range(MAX_CALL_ATTEMPTS):
            holder = self._holder(ticket)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if holder is None or remaining_ms <= 0:
                break
            call = TicketCall(
                self._next_call_id(), ticket_id, remaining_ms, content_type, body
            )
            reply = self._call(holder, ticket, call)
            if not isinstance(reply, _CallLost):
                return reply
        return Unknown(Reason.ISSUER_LOST)

    def _call(
        self, holder: EntryId, ticket: Ticket, call: TicketCall
    ) -> "Outcome | None | _CallLost":
        """Send a call to a ticket's holder and wait for its outcome.

        The call is lost when the holder does not acknowledge it within
        ``ACCEPT_TIMEOUT_MS``, when the link to the holder breaks, or when the ticket
        gets another holder. Sending it again is safe, because a ticket runs at most
        once.
        """
        pending = _PendingCall(holder)
        self._calls[call.call_id] = pending
        self._network.send(holder, call, Lane.BULK)
        sent_ms = self._clock.now_ms()
        try:
            while self._clock.now_ms() < sent_ms + call.remaining_ms:
                try:
                    with Timeout(CALL_CHECK_INTERVAL_MS / 1000.0):
                        return pending.reply.wait()
                except Timeout:
                    waited_ms = self._clock.now_ms() - sent_ms
                    is_unconfirmed = (
                        not pending.is_accepted and waited_ms > ACCEPT_TIMEOUT_MS
                    )
                    if is_unconfirmed:
                        self._network.reset(holder, Lane.BULK)
                    if (
                        is_unconfirmed
                        or pending.is_lost
                        or self._holder(ticket) != holder
                    ):
                        return _CallLost()
            return Unknown(Reason.INSTANCE_SILENT)
        finally:
            del self._calls[call.call_id]

    def _next_call_id(self) -> str:
        own = self._membership.local_member
        return f"{own.entry}.{own.incarnation}.{next(self._call_numbers)}"

    def _holder(self, ticket: Ticket) -> EntryId | None:
        """Return the entry that holds a ticket, or ``None`` if there is none.

        An entry that is unknown, has exited or runs as another incarnation does not
        hold the ticket.
        """
        key = (ticket.issuer, ticket.incarnation)
        successor = self._successors.get(key)
        if successor is not None:
            key = (successor.entry, successor.incarnation)
        entry, incarnation = key
        info = self._membership.member_info(entry)
        if info is None or self._membership.has_exited(entry):
            return None
        return entry if info.incarnation == incarnation else None

    def _on_call(self, sender: EntryId, call: TicketCall) -> None:
        self._network.send(sender, TicketAccepted(call.call_id), Lane.BULK)
        eventlet.spawn_n(self._answer_call, sender, call)

    def _on_accepted(self, sender: EntryId, message: TicketAccepted) -> None:
        pending = self._calls.get(message.call_id)
        if pending is not None:
            pending.is_accepted = True

    def _on_link_down(self, entry: EntryId) -> None:
        for pending in self._calls.values():
            if pending.holder == entry:
                pending.is_lost = True

    def _answer_call(self, sender: EntryId, call: TicketCall) -> None:
        ticket = parse_ticket(call.ticket)
        outcome: Outcome | None = None
        if ticket is not None and (ticket.issuer, ticket.incarnation) in self._stores:
            outcome = self._use_local(
                call.ticket, ticket, call.remaining_ms, call.content_type, call.body
            )
        record = OutcomeRecord.from_outcome(outcome) if outcome is not None else None
        self._network.send(sender, TicketReply(call.call_id, record), Lane.BULK)

    def _on_reply(self, sender: EntryId, reply: TicketReply) -> None:
        pending = self._calls.get(reply.call_id)
        if pending is not None and not pending.reply.ready():
            record = reply.outcome
            pending.reply.send(record.to_outcome() if record is not None else None)

    def hand_over(self, successor: EntryId) -> bool:
        """Hand every store over to another entry, after all tickets here have ended.

        The stores are sent again until the successor confirms them, always to the
        same successor, because two holders could run a ticket twice. The successor
        is also announced to every entry known here, because the successor may not
        know all of them yet.

        Returns whether the successor confirmed within ``HANDOVER_TIMEOUT_MS``.
        """
        self._is_handing_over = True
        deadline_ms = self._clock.now_ms() + HANDOVER_TIMEOUT_MS
        is_confirmed = False
        while not is_confirmed and self._clock.now_ms() < deadline_ms:
            self._send_stores(successor)
            is_confirmed = self._wait_for_confirmation(HANDOVER_RETRY_MS)
        if is_confirmed:
            self._broadcast_successors()
        return is_confirmed

    def _send_stores(self, successor: EntryId) -> None:
        now_ms = self._clock.now_ms()
        for store in self._stores.values():
            for part in handover_messages(store, now_ms):
                self._network.send(successor, part, Lane.BULK)

    def _wait_for_confirmation(self, timeout_ms: float) -> bool:
        deadline_ms = self._clock.now_ms() + timeout_ms
        while not self._stores.keys() <= self._successors.keys():
            if self._clock.now_ms() >= deadline_ms:
                return False
            eventlet.sleep(HANDOVER_CHECK_INTERVAL_MS / 1000.0)
        return True

    def _broadcast_successors(self) -> None:
        for key in self._stores:
            self._broadcast(TicketSuccessor(*key, self._successors[key]))

    def _broadcast(self, message: TicketSuccessor) -> None:
        for info in self._membership.other_members():
            self._network.send(info.entry, message)

    def _on_handover(self, sender: EntryId, handover: TicketHandover) -> None:
        """Take a store over once all of its parts have arrived, and announce it."""
        key = (handover.issuer, handover.incarnation)
        if key not in self._stores:
            store = self._handovers.add(handover, self._clock.now_ms())
            if store is None:
                return
            self._stores[key] = store
            log.info("Took over the tickets of {}.", handover.issuer)
        self._broadcast(TicketSuccessor(*key, self._membership.local_member))

    def announce_successors(self, info: MemberInfo) -> None:
        """Announce to a new entry the stores that were handed over to this one."""
        own = self._membership.local_member
        for key in self._stores:
            if key != (own.entry, own.incarnation):
                self._network.send(info.entry, TicketSuccessor(*key, own))

    def _on_successor(self, sender: EntryId, message: TicketSuccessor) -> None:
        if self._membership.member_info(message.successor.entry) is None:
            self._members.add_members([message.successor])
        key = (message.issuer, message.incarnation)
        self._successors[key] = message.successor


def _ticket_request(
    ticket: Ticket,
    ticket_id: TicketId,
    timeout_ms: float,
    content_type: str,
    body: bytes,
) -> Request:
    request_id = RequestId(f"{ticket.issuer}.{ticket.incarnation}.t{ticket.number}")
    return Request(
        request_id,
        ticket.service,
        ticket.tenant,
        ticket.class_name,
        timeout_ms,
        False,
        content_type,
        body,
    )

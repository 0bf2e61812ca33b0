"""Peer network: one outgoing connection per entry and lane, and one listener.

An entry sends only over its own outgoing connections. The answer to a message
arrives over the outgoing connection of the other entry. Messages to an entry that
cannot be reached are dropped; the tasks that sent them send again when the link
is up.
"""

import enum
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.hubs import trampoline
from eventlet.queue import LightQueue

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.settings import Address
from corianderpitch.domain.membership import MemberInfo
from corianderpitch.errors import WireError
from corianderpitch.ids import EntryId
from corianderpitch.messages import Hello
from corianderpitch.wire import Decoder, encode

CONNECT_TIMEOUT_MS = 500.0
SEND_TIMEOUT_MS = 2000.0
RECONNECT_MIN_MS = 50.0
RECONNECT_MAX_MS = 1000.0
MAX_QUEUED_MESSAGES = 20_000
MAX_BATCH_MESSAGES = 64
READ_BYTES = 65_536
RECONNECT = object()  # queued instead of a message to connect without sending

# Eventlet raises EOFError when another task closes the socket.
_CLOSED_ERRORS = (OSError, EOFError)

log = logger("peers")
Handler = Callable[[EntryId, Any], None]


class Lane(enum.Enum):
    """Separate connections to an entry; large bodies thus do not delay heartbeats."""

    CONTROL = "control"
    BULK = "bulk"


class PeerNetwork:
    """Sends messages to other entries and dispatches incoming ones to handlers.

    Attributes
    ----------
    on_hello
        Called with the sender of every new incoming connection, and with the
        sender of a message that is no longer a member.
    on_link_up, on_link_down
        Called when an outgoing connection opens, and when the other side closes it
        or it breaks.
    on_refused
        Called when an entry's address refuses a connection.
    find_member
        Returns how to reach an entry, or ``None`` if it is unknown.
    """

    def __init__(self, own: MemberInfo, clock: Clock, source_host: str):
        self.source_address = (source_host, 0)
        self._own = own
        self._clock = clock
        self._links: dict[tuple[EntryId, Lane], PeerLink] = {}
        self._handlers: dict[type, Handler] = {}
        self.on_hello: Callable[[MemberInfo], None] = lambda info: None
        self.on_link_up: Callable[[EntryId], None] = lambda entry: None
        self.on_link_down: Callable[[EntryId], None] = lambda entry: None
        self.on_refused: Callable[[EntryId], None] = lambda entry: None
        self.find_member: Callable[[EntryId], MemberInfo | None] = lambda entry: None
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of messages of one type."""
        self._handlers[message_type] = handler

    def send(self, entry: EntryId, message: Any, lane: Lane = Lane.CONTROL) -> None:
        """Send a message without blocking.

        A message to this entry itself is dispatched at once. A message to an
        unknown entry is dropped.
        """
        if entry == self._own.entry:
            self._deliver(entry, message)
            return
        link = self._link(entry, lane)
        if link is not None:
            self.sent_messages += 1
            link.send(message)

    def reset(self, entry: EntryId, lane: Lane = Lane.CONTROL) -> None:
        """Close the connection to an entry; the next message opens a new one."""
        link = self._links.pop((entry, lane), None)
        if link is not None:
            link.stop()

    def send_to_address(self, address: str, message: Any) -> None:
        """Send one message to an entry whose name is unknown."""
        placeholder = MemberInfo(EntryId(address), "", self._own.data_center, address)
        link = PeerLink(self, self._own, placeholder)
        link.send(message)
        self.call_later(SEND_TIMEOUT_MS, link.stop)

    def call_later(
        self, delay_ms: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function after a delay, in a task of its own."""
        eventlet.spawn_after(delay_ms / 1000.0, function, *args)

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._receive, connection)

    def _link(self, entry: EntryId, lane: Lane) -> "PeerLink | None":
        info = self.find_member(entry)
        link = self._links.get((entry, lane))
        if link is not None and (info is None or link.info == info):
            return link
        if link is not None:
            link.stop()
        if info is None:
            return None
        self._links[(entry, lane)] = PeerLink(self, self._own, info)
        return self._links[(entry, lane)]

    def _receive(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        decoder = Decoder()
        sender: MemberInfo | None = None
        try:
            while data := connection.recv(READ_BYTES):
                self.received_bytes += len(data)
                for message in decoder.feed(data):
                    if isinstance(message, Hello):
                        sender = message.member
                        self.on_hello(sender)
                    elif sender is None:
                        raise WireError("the first message is not a Hello")
                    else:
                        self._deliver_from(sender, message)
        except WireError as error:
            log.warning("Closed a connection: {}.", error)
        except _CLOSED_ERRORS:
            pass
        finally:
            connection.close()

    def _deliver_from(self, sender: MemberInfo, message: Any) -> None:
        """Dispatch a message; a sender that is no longer a member is added again."""
        if self.find_member(sender.entry) is None:
            self.on_hello(sender)
        self._deliver(sender.entry, message)

    def _deliver(self, sender: EntryId, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)


class PeerLink:
    """Outgoing connection to one entry, and the task that sends its queued messages."""

    def __init__(self, network: PeerNetwork, own: MemberInfo, info: MemberInfo):
        self.info = info
        self._network = network
        self._own = own
        self._outbox: LightQueue = LightQueue()
        self._connection: socket.socket | None = None
        self._greenlet = eventlet.spawn(self._run)

    def send(self, message: Any) -> None:
        """Queue a message, or drop it if the queue is full."""
        if self._outbox.qsize() < MAX_QUEUED_MESSAGES:
            self._outbox.put(message)

    def stop(self) -> None:
        """Close the connection and drop the queued messages."""
        self._greenlet.kill()
        if self._connection is not None:
            self._connection.close()

    def _run(self) -> None:
        backoff_ms = RECONNECT_MIN_MS
        while True:
            message = self._outbox.get()
            if message is RECONNECT and self._connection is not None:
                continue
            if self._connection is None and not self._connect():
                self._drop_queued()
                eventlet.sleep(backoff_ms / 1000.0)
                backoff_ms = min(RECONNECT_MAX_MS, backoff_ms * 2)
                continue
            backoff_ms = RECONNECT_MIN_MS
            if message is not RECONNECT:
                self._transmit(message)

    def _connect(self) -> bool:
        address = Address.from_text("peer", self.info.peer_address)
        try:
            self._connection = socket.create_connection(
                (address.host, address.port),
                CONNECT_TIMEOUT_MS / 1000.0,
                self._network.source_address,
            )
            self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection.settimeout(SEND_TIMEOUT_MS / 1000.0)
            self._connection.sendall(encode(Hello(self._own)))
        except ConnectionRefusedError:
            self._network.on_refused(self.info.entry)
            self._disconnect()
            return False
        except OSError:
            self._disconnect()
            return False
        eventlet.spawn_n(self._watch_for_close, self._connection)
        self._network.on_link_up(self.info.entry)
        return True

    def _transmit(self, first: Any) -> None:
        batch = [encode(first)]
        while len(batch) < MAX_BATCH_MESSAGES and self._outbox.qsize():
            message = self._outbox.get()
            if message is not RECONNECT:
                batch.append(encode(message))
        payload = b"".join(batch)
        try:
            self._connection.sendall(payload)
            self._network.sent_bytes += len(payload)
        except (OSError, AttributeError):
            self._disconnect()

    def _watch_for_close(self, connection: socket.socket) -> None:
        """Wait until the other side closes the connection.

        When a process dies, the operating system closes its connections at once.
        The wait has no timeout: with links to every entry of the fleet, waking up
        every few seconds would cost more than the heartbeats.
        """
        try:
            is_open = True
            while is_open:
                trampoline(connection, read=True)
                is_open = bool(connection.recv(READ_BYTES))
        except _CLOSED_ERRORS:
            pass
        if connection is self._connection:
            self._disconnect()
            self._network.on_link_down(self.info.entry)
            # If the process has exited, the new connection is refused at once.
            self._outbox.put(RECONNECT)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _drop_queued(self) -> None:
        while self._outbox.qsize():
            self._outbox.get()

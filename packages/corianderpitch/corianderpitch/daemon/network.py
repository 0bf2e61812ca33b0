"""Peer network: one outgoing connection per entry and lane, one listener.

An entry sends over its own outgoing connections only; the answer to a message
comes back over the other side's connection. Messages to an entry that cannot
be reached are dropped, and the tasks send again when the link is up.
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
QUEUE_MESSAGES = 20_000
BATCH_MESSAGES = 64
READ_BYTES = 65_536
RECONNECT = object()  # stands in the queue for "connect, but send nothing"

_CLOSED = (OSError, EOFError)  # eventlet raises EOFError when another task closes

log = logger("peers")
Handler = Callable[[EntryId, Any], None]


class Lane(enum.Enum):
    """Separate connections, so that large bodies do not delay heartbeats."""

    CONTROL = "control"
    BULK = "bulk"


class PeerNetwork:
    """Sends messages to entries and hands incoming ones to handlers."""

    def __init__(self, own: MemberInfo, clock: Clock, source_host: str):
        self.source = (source_host, 0)
        self._own = own
        self._clock = clock
        self._links: dict[tuple[EntryId, Lane], PeerLink] = {}
        self._handlers: dict[type, Handler] = {}
        self.on_hello: Callable[[MemberInfo], None] = lambda info: None
        self.on_link_up: Callable[[EntryId], None] = lambda entry: None
        self.on_link_down: Callable[[EntryId], None] = lambda entry: None
        self.on_refused: Callable[[EntryId], None] = lambda entry: None
        self.find: Callable[[EntryId], MemberInfo | None] = lambda entry: None
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0

    def handle(self, message_type: type, handler: Handler) -> None:
        """Name the function that takes in messages of one type."""
        self._handlers[message_type] = handler

    def send(self, entry: EntryId, message: Any, lane: Lane = Lane.CONTROL) -> None:
        """Send a message without waiting; to oneself it is handed over at once."""
        if entry == self._own.entry:
            self._deliver(entry, message)
            return
        link = self._link(entry, lane)
        if link is not None:
            self.sent_messages += 1
            link.send(message)

    def reset(self, entry: EntryId, lane: Lane = Lane.CONTROL) -> None:
        """Replace the connection to an entry, for instance when it is silent."""
        link = self._links.pop((entry, lane), None)
        if link is not None:
            link.stop()

    def send_to_address(self, address: str, message: Any) -> None:
        """Send one message to an entry of which only the address is known."""
        unknown = MemberInfo(EntryId(address), "", self._own.data_center, address)
        link = PeerLink(self, self._own, unknown)
        link.send(message)
        self.later(SEND_TIMEOUT_MS, link.stop)

    def later(self, delay_ms: float, function: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay."""
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
        info = self.find(entry)
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
                        raise WireError("no Hello")
                    else:
                        self._deliver_from(sender, message)
        except WireError as error:
            log.warning("Closed a connection: {}.", error)
        except _CLOSED:
            pass
        finally:
            connection.close()

    def _deliver_from(self, sender: MemberInfo, message: Any) -> None:
        """Hand over a message; a sender that was forgotten is met anew."""
        if self.find(sender.entry) is None:
            self.on_hello(sender)
        self._deliver(sender.entry, message)

    def _deliver(self, sender: EntryId, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)


class PeerLink:
    """Task that owns the outgoing connection to one entry."""

    def __init__(self, network: PeerNetwork, own: MemberInfo, info: MemberInfo):
        self.info = info
        self._network = network
        self._own = own
        self._outbox: LightQueue = LightQueue()
        self._connection: socket.socket | None = None
        self._greenlet = eventlet.spawn(self._run)

    def send(self, message: Any) -> None:
        """Queue a message; a full queue drops it."""
        if self._outbox.qsize() < QUEUE_MESSAGES:
            self._outbox.put(message)

    def stop(self) -> None:
        """Close the connection and drop what is queued."""
        self._greenlet.kill()
        if self._connection is not None:
            self._connection.close()

    def _run(self) -> None:
        pause_ms = RECONNECT_MIN_MS
        while True:
            message = self._outbox.get()
            if message is RECONNECT and self._connection is not None:
                continue
            if self._connection is None and not self._connect():
                self._drop_queued()
                eventlet.sleep(pause_ms / 1000.0)
                pause_ms = min(RECONNECT_MAX_MS, pause_ms * 2)
                continue
            pause_ms = RECONNECT_MIN_MS
            if message is not RECONNECT:
                self._transmit(message)

    def _connect(self) -> bool:
        address = Address.from_text("peer", self.info.peer_address)
        try:
            self._connection = socket.create_connection(
                (address.host, address.port),
                CONNECT_TIMEOUT_MS / 1000.0,
                self._network.source,
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
        eventlet.spawn_n(self._watch, self._connection)
        self._network.on_link_up(self.info.entry)
        return True

    def _transmit(self, first: Any) -> None:
        data = [encode(first)]
        while len(data) < BATCH_MESSAGES and self._outbox.qsize():
            message = self._outbox.get()
            if message is not RECONNECT:
                data.append(encode(message))
        payload = b"".join(data)
        try:
            self._connection.sendall(payload)
            self._network.sent_bytes += len(payload)
        except (OSError, AttributeError):
            self._disconnect()

    def _watch(self, connection: socket.socket) -> None:
        """Wait for the other side to close; a dead process closes at once.

        The wait has no timeout: one that ends every few seconds would cost more
        than the heartbeats, on links to every entry of the fleet.
        """
        try:
            is_open = True
            while is_open:
                trampoline(connection, read=True)
                is_open = bool(connection.recv(READ_BYTES))
        except _CLOSED:
            pass
        if connection is self._connection:
            self._disconnect()
            self._network.on_link_down(self.info.entry)
            # A refusal then tells at once that the process is gone.
            self._outbox.put(RECONNECT)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _drop_queued(self) -> None:
        while self._outbox.qsize():
            self._outbox.get()

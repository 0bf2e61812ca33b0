"""A small HTTP/1.1 server for the stand-ins, on asyncio and the standard library."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SILENCE_S = 3600.0


@dataclass
class Request:
    """A request that has arrived whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def name(self) -> str:
        """Return the last part of the path."""
        return self.path.rpartition("/")[2]

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, an empty one if there is none."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Reply:
    """An answer with a JSON body."""

    status: int
    body: dict[str, Any] = field(default_factory=dict)


class NoAnswer(Exception):
    """The request gets no answer; its connection stays open."""


class ResetConnection(Exception):
    """The request gets no answer; its connection is reset."""


Handler = Callable[[Request], Awaitable[Reply]]


class HttpServer:
    """Serves requests on one loopback address until it is stopped."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0):
        self._handler = handler
        self.host = host
        self.port = port
        self._server: asyncio.base_events.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._mute: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the ``host:port`` that it listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; the first start picks a free port, and later ones use it again."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, reset: bool = True) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections(reset)

    def reset_connections(self, reset: bool = True) -> None:
        """Close all connections that are open now."""
        for writer in list(self._writers):
            if reset:
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.close()

    def mute_connections(self) -> None:
        """Let all connections that are open now go silent, without a reset."""
        self._mute |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while (request := await _read_request(reader)) is not None:
                if writer in self._mute:
                    await asyncio.sleep(SILENCE_S)
                try:
                    reply = await self._handler(request)
                except NoAnswer:
                    await asyncio.sleep(SILENCE_S)
                    return
                except ResetConnection:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    return
                if writer in self._mute:
                    await asyncio.sleep(SILENCE_S)
                body = json.dumps(reply.body).encode()
                head = (
                    f"HTTP/1.1 {reply.status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass  # the connection has ended, or the script
        finally:
            self._writers.discard(writer)
            self._mute.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]] | None:
    """Send one request on a new connection; ``None`` if no answer came in time."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, body, headers or {}), timeout_s
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _exchange(
    address: str, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in ({"Host": address} | headers).items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        content = await reader.readexactly(length)
        return status, json.loads(content) if content else {}
    finally:
        writer.close()

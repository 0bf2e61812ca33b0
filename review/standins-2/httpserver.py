"""Minimal HTTP/1.1 server and client of the stand-ins, on asyncio."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PHRASES = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


@dataclass(frozen=True)
class Request:
    """One request, with its JSON body and its query in ``fields``."""

    method: str
    name: str
    headers: dict[str, str]
    fields: dict[str, Any]


@dataclass(frozen=True)
class Reply:
    """Status and JSON body of an answer."""

    status: int
    body: dict[str, Any] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Reply | None]]


class HttpServer:
    """Serves one handler; without a reply of the handler a call gets no answer."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on the given one."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def abort(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()
        for task in list(self._connections):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                reply = await self._handler(request)
                if reply is None:
                    await asyncio.Event().wait()  # no answer, the channel stays open
                writer.write(_format_reply(reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers, ``None`` at the end of the stream."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while header := (await reader.readline()).decode("latin-1").strip():
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    content = await reader.readexactly(int(headers.get("content-length", 0)))
    url = urlsplit(target)
    fields = dict(parse_qsl(url.query, keep_blank_values=True))
    if content:
        fields |= json.loads(content)
    return Request(method, url.path.rpartition("/")[2], headers, fields)


def _format_reply(reply: Reply) -> bytes:
    content = json.dumps(reply.body).encode()
    phrase = PHRASES.get(reply.status, "Status")
    head = (
        f"HTTP/1.1 {reply.status} {phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int | None, dict[str, Any]]:
    """Make one call; the status is ``None`` if no complete answer came in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, body, host, timeout_s)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None, {}


async def _exchange(
    address: str, method: str, path: str, body: Any, host: str, timeout_s: float
) -> tuple[int | None, dict[str, Any]]:
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        content = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + content)
        await writer.drain()
        answer = await _read_head(reader)
        if answer is None:
            return None, {}
        line, headers = answer
        data = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(line.split(" ")[1]), json.loads(data) if data else {}
    finally:
        writer.close()

"""Small JSON-over-HTTP server for the stand-ins."""

import gzip
import hashlib
import json
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi

WsgiEnviron = dict[str, Any]


GZIP_MIN_BYTES = 1024
MAX_CONNECTIONS = 2048


class RawReply:
    """A response with status line, headers and raw body, for other content than JSON.

    A response with ``is_cacheable`` gets an ``ETag`` header. A client that sends the
    same tag in ``If-None-Match`` gets 304 without a body.
    """

    def __init__(
        self,
        status: str,
        body: bytes,
        headers: tuple = (),
        is_cacheable: bool = False,
    ):
        self.status = status
        self.body = body
        self.headers = headers
        self.is_cacheable = is_cacheable


def make_app(handler: Callable[[str, str, bytes], Any]) -> Callable[..., Iterable]:
    """Return a WSGI application that calls ``handler(method, path, body)``.

    The handler returns a :class:`RawReply` or a value to be sent as JSON.
    """

    def app(environ: WsgiEnviron, start: Callable[..., Any]) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        reply = handler(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
        if not isinstance(reply, RawReply):
            content_type = ("Content-Type", "application/json")
            reply = RawReply("200 OK", json.dumps(reply).encode(), (content_type,))
        if reply.is_cacheable:
            reply = _conditional_reply(reply, environ)
        length_header = ("Content-Length", str(len(reply.body)))
        start(reply.status, [*reply.headers, length_header])
        return [reply.body]

    return app


def _conditional_reply(reply: RawReply, environ: WsgiEnviron) -> RawReply:
    """Return 304 if the client has this body, else the body with an ``ETag``.

    Bodies of ``GZIP_MIN_BYTES`` and more are compressed for clients that accept gzip.
    """
    etag = f'"{hashlib.sha256(reply.body).hexdigest()[:16]}"'
    if environ.get("HTTP_IF_NONE_MATCH") == etag:
        return RawReply("304 Not Modified", b"")
    headers, body = (*reply.headers, ("ETag", etag)), reply.body
    if len(body) >= GZIP_MIN_BYTES and "gzip" in environ.get(
        "HTTP_ACCEPT_ENCODING", ""
    ):
        headers, body = (*headers, ("Content-Encoding", "gzip")), gzip.compress(body)
    return RawReply(reply.status, body, headers)


def listen(host: str) -> Any:
    """Return a socket that listens on a free port of ``host``."""
    return eventlet.listen((host, 0), backlog=1024)


def connection_pool() -> eventlet.GreenPool:
    """Return a pool for :func:`serve`, which runs one green thread per connection."""
    return eventlet.GreenPool(MAX_CONNECTIONS)


def serve(
    listener: Any,
    handler: Callable[[str, str, bytes], Any],
    connections: eventlet.GreenPool | None = None,
) -> None:
    """Serve requests with ``handler`` until the process ends."""
    pool = connections or connection_pool()
    wsgi.server(listener, make_app(handler), log_output=False, custom_pool=pool)


def announce_ready(**addresses: Any) -> None:
    """Print the ready line with the address of each listening socket.

    The process that started the program reads it, for example
    ``ready http=127.0.0.1:8000``.
    """
    parts = [
        f"{name}={_socket_address(listener)}" for name, listener in addresses.items()
    ]
    print("ready", *parts, flush=True)


def _socket_address(listener: Any) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"

"""A small JSON over HTTP server for the stand-ins."""

import gzip
import hashlib
import json
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi

Environ = dict[str, Any]


GZIP_MIN_BYTES = 1024
MAX_CONNECTIONS = 2048


class RawReply:
    """A response that is not JSON.

    One that ``is_cacheable`` gets an ``ETag``, and is sent only to clients that
    do not name the same one in ``If-None-Match``.
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
    """Return a WSGI application around ``handler(method, path, body)``.

    The handler returns a :class:`RawReply` or a value to be sent as JSON.
    """

    def app(environ: Environ, start: Callable[..., Any]) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        reply = handler(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
        if not isinstance(reply, RawReply):
            content = ("Content-Type", "application/json")
            reply = RawReply("200 OK", json.dumps(reply).encode(), (content,))
        if reply.is_cacheable:
            reply = _conditional(reply, environ)
        length_header = ("Content-Length", str(len(reply.body)))
        start(reply.status, [*reply.headers, length_header])
        return [reply.body]

    return app


def _conditional(reply: RawReply, environ: Environ) -> RawReply:
    """Return a 304 to a client that has this body, else the body, compressed."""
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
    """Return a listening socket on a free port."""
    return eventlet.listen((host, 0), backlog=1024)


def connection_pool() -> eventlet.GreenPool:
    """Return a pool for :func:`serve`; it runs one task for each connection."""
    return eventlet.GreenPool(MAX_CONNECTIONS)


def serve(
    listener: Any,
    handler: Callable[[str, str, bytes], Any],
    connections: eventlet.GreenPool | None = None,
) -> None:
    """Serve until the process ends."""
    pool = connections or connection_pool()
    wsgi.server(listener, make_app(handler), log_output=False, custom_pool=pool)


def announce(**addresses: Any) -> None:
    """Print the addresses in use, for whoever started the program."""
    parts = [f"{name}={_text(listener)}" for name, listener in addresses.items()]
    print("ready", *parts, flush=True)


def _text(listener: Any) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"

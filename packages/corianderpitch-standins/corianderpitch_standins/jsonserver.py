"""A small JSON over HTTP server for the stand-ins."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi

Environ = dict[str, Any]


class RawReply:
    """A response that is not JSON."""

    def __init__(self, status: str, body: bytes, headers: tuple = ()):
        self.status = status
        self.body = body
        self.headers = headers


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
        length_header = ("Content-Length", str(len(reply.body)))
        start(reply.status, [*reply.headers, length_header])
        return [reply.body]

    return app


def listen(host: str) -> Any:
    """Return a listening socket on a free port."""
    return eventlet.listen((host, 0), backlog=1024)


def serve(listener: Any, handler: Callable[[str, str, bytes], Any]) -> None:
    """Serve until the process ends."""
    wsgi.server(listener, make_app(handler), log_output=False, max_size=2048)


def announce(**addresses: Any) -> None:
    """Print the addresses in use, for whoever started the program."""
    parts = [f"{name}={_text(listener)}" for name, listener in addresses.items()]
    print("ready", *parts, flush=True)


def _text(listener: Any) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"

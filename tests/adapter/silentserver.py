"""An HTTP server whose open connections can go silent, while new ones work."""

import contextlib
import json

import eventlet

HOST = "127.0.0.1"
BODY = json.dumps(
    {
        "clock_ms": 5,
        "born": 1,
        "running": [],
        "finished": [],
        "machines": [],
        "next_token": None,
        "rows": [],
        "row_version": 1,
        "now_ms": 5,
    }
).encode()
RESPONSE = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class SilentServer:
    """Answers each request after ``delay_s`` with fields of all the platform's answers.

    A silent connection stays open and is never answered; with ``is_mute`` no new one is
    either.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.is_mute = False
        self.accepted = 0
        self._silent = set()
        self._listener = eventlet.listen((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._threads = [eventlet.spawn(self._accept)]

    def silence(self, only=None):
        """Let the open connections go silent, or only the one with a number."""
        self._silent |= set(range(self.accepted)) if only is None else {only}

    def close(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            thread = eventlet.spawn(self._serve, connection, self.accepted)
            self.accepted += 1
            self._threads.append(thread)

    def _serve(self, connection, number):
        with contextlib.suppress(OSError), contextlib.closing(connection):
            while connection.recv(65536):
                eventlet.sleep(self.delay_s)
                if not self.is_mute and number not in self._silent:
                    connection.sendall(RESPONSE)

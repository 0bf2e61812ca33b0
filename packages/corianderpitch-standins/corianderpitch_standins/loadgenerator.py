"""Generates HTTP load from one process, in a closed loop or at a fixed rate.

Prints one JSON line with the request rate and latency quantiles.
"""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import argparse
import json
import time

import eventlet
from eventlet.green import socket

RECEIVE_BYTES = 65_536


class LoadGenerator:
    """Sends the same request repeatedly over several connections.

    A connection that is closed before its response is complete, or that gets a status
    other than 200, counts as failed and sends no further requests.
    """

    def __init__(self, address: str, request: bytes, duration_s: float):
        self._address = address
        self._request = request
        self._duration_s = duration_s
        self.latencies_ms: list[float] = []
        self.failed = 0

    def run_closed(self, connections: int) -> None:
        """Send on each connection as soon as the previous response has arrived."""
        pool = eventlet.GreenPool(connections)
        end_s = time.monotonic() + self._duration_s
        for _ in range(connections):
            pool.spawn_n(self._send_requests, end_s, 0.0, 0.0)
        pool.waitall()

    def run_open(self, connections: int, rate_per_s: float) -> None:
        """Send at a fixed rate, spread evenly over the connections."""
        pool = eventlet.GreenPool(connections)
        end_s = time.monotonic() + self._duration_s
        interval_s = connections / rate_per_s
        for number in range(connections):
            pool.spawn_n(
                self._send_requests,
                end_s,
                interval_s,
                number * interval_s / connections,
            )
        pool.waitall()

    def _send_requests(self, end_s: float, interval_s: float, offset_s: float) -> None:
        host, _, port = self._address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        due_s = time.monotonic() + offset_s
        while due_s < end_s:
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            started_s = time.monotonic()
            if not self._exchange(connection):
                self.failed += 1
                return
            now_s = time.monotonic()
            self.latencies_ms.append((now_s - started_s) * 1000.0)
            due_s = due_s + interval_s if interval_s else now_s
        connection.close()

    def _exchange(self, connection: socket.socket) -> bool:
        connection.sendall(self._request)
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = connection.recv(RECEIVE_BYTES)
            if not chunk:
                return False
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = _content_length(head)
        while len(body) < length:
            chunk = connection.recv(RECEIVE_BYTES)
            if not chunk:
                return False
            body += chunk
        return head.startswith(b"HTTP/1.1 200")


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def build_request(path: str, body: str) -> bytes:
    """Return the bytes of one idempotent request."""
    data = body.encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Idempotent: true\r\n"
        f"X-Timeout-Ms: 2000\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def main() -> None:
    """Generate the load and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rate-per-s", type=float, default=0.0)
    arguments = parser.parse_args()
    request = build_request(arguments.path, '{"run_ms": 0}')
    generator = LoadGenerator(arguments.address, request, arguments.seconds)
    if arguments.rate_per_s:
        generator.run_open(arguments.connections, arguments.rate_per_s)
    else:
        generator.run_closed(arguments.connections)
    latencies_ms = sorted(generator.latencies_ms)
    report = {
        "rate_per_s": len(latencies_ms) / arguments.seconds,
        "p50_ms": latencies_ms[len(latencies_ms) // 2],
        "p99_ms": latencies_ms[int(len(latencies_ms) * 0.99)],
        "failed": generator.failed,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()

"""A TCP proxy that injects network faults.

``POST /maps`` opens a listening port; ``POST /maps/N`` names the ip:port it
forwards to. ``POST /rules`` replaces the rules; each has a ``source`` (prefix
of the client's address), a list of ``maps``, and a ``mode``:

- ``cut``: connections are closed and new ones refused at once;
- ``freeze``: bytes are swallowed both ways, connections stay open;
- ``freeze_old``: like ``freeze`` for the connections open now; new ones work;
- ``one_way``: only bytes from the client pass;
- ``delay``: every chunk waits ``delay_ms``;
- ``truncate``: answers end after ``after_bytes``.
"""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import argparse
import json
from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet.green import socket

from corianderpitch_standins.jsonserver import RawReply, announce, listen, serve

READ_BYTES = 65_536


@dataclass(frozen=True)
class Rule:
    """One fault between a group of clients and some maps."""

    source: str
    maps: tuple[int, ...]
    mode: str
    delay_ms: float = 0.0
    after_bytes: int = 0

    def applies(self, source: str, number: int) -> bool:
        """Tell whether the rule concerns a connection."""
        return source.startswith(self.source) and number in self.maps


class Connection:
    """One forwarded connection."""

    def __init__(self, proxy: "FaultProxy", number: int, client: Any, source: str):
        self.number = number
        self.source = source
        self.is_frozen = False
        self._proxy = proxy
        self._client = client
        self._server: Any = None
        self._answered_bytes = 0

    def run(self, target: str) -> None:
        """Forward both ways until one side closes."""
        host, _, port = target.rpartition(":")
        try:
            self._server = socket.create_connection((host, int(port)), 1.0)
            self._server.settimeout(None)
        except (OSError, ValueError):
            self.close()
            return
        eventlet.spawn_n(self._pump, self._server, self._client, False)
        self._pump(self._client, self._server, True)

    def close(self) -> None:
        """Close both sides."""
        for side in (self._client, self._server):
            if side is not None:
                side.close()
        self._proxy.connections.discard(self)

    def _pump(self, source: Any, target: Any, is_from_client: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                data = self._fault(data, is_from_client)
                if data:
                    target.sendall(data)
        except (OSError, EOFError):
            pass
        self.close()

    def _fault(self, data: bytes, is_from_client: bool) -> bytes:
        """Return what passes of a chunk."""
        if self.is_frozen:
            return b""
        for rule in self._proxy.rules_for(self.source, self.number):
            match rule.mode:
                case "freeze":
                    return b""
                case "one_way" if not is_from_client:
                    return b""
                case "delay":
                    eventlet.sleep(rule.delay_ms / 1000.0)
                case "truncate" if not is_from_client:
                    left = rule.after_bytes - self._answered_bytes
                    self._answered_bytes += len(data)
                    if len(data) > left:
                        self._client.sendall(data[: max(0, left)])
                        raise OSError("truncated")
        return data


class FaultProxy:
    """Maps, rules and open connections."""

    def __init__(self, host: str):
        self._host = host
        self._targets: list[str] = []
        self._rules: list[Rule] = []
        self.connections: set[Connection] = set()

    def handle(self, method: str, path: str, body: bytes) -> Any:
        """Handle one control request."""
        command = json.loads(body or b"{}")
        match path.strip("/").split("/"):
            case ["maps"]:
                return self._add_map(command.get("target", ""))
            case ["maps", number]:
                self._targets[int(number)] = command["target"]
                return {}
            case ["rules"]:
                self._set_rules(command["rules"])
                return {}
        return RawReply("404 Not Found", b"")

    def rules_for(self, source: str, number: int) -> list[Rule]:
        """Return the rules that concern a connection."""
        return [rule for rule in self._rules if rule.applies(source, number)]

    def _add_map(self, target: str) -> dict[str, Any]:
        listener = listen(self._host)
        self._targets.append(target)
        number = len(self._targets) - 1
        eventlet.spawn_n(self._accept, listener, number)
        host, port = listener.getsockname()[:2]
        return {"map": number, "address": f"{host}:{port}"}

    def _set_rules(self, rules: list[dict[str, Any]]) -> None:
        self._rules = [
            Rule(**{**fields, "maps": tuple(fields["maps"])}) for fields in rules
        ]
        for connection in list(self.connections):
            modes = {
                rule.mode
                for rule in self.rules_for(connection.source, connection.number)
            }
            if "cut" in modes:
                connection.close()
            if "freeze_old" in modes:
                connection.is_frozen = True

    def _accept(self, listener: Any, number: int) -> None:
        while True:
            client, address = listener.accept()
            source = address[0]
            if any(r.mode == "cut" for r in self.rules_for(source, number)):
                client.close()
                continue
            connection = Connection(self, number, client, source)
            self.connections.add(connection)
            eventlet.spawn_n(connection.run, self._targets[number])


def main() -> None:
    """Serve the proxy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    arguments = parser.parse_args()
    listener = listen(arguments.host)
    announce(http=listener)
    serve(listener, FaultProxy(arguments.host).handle)


if __name__ == "__main__":
    main()

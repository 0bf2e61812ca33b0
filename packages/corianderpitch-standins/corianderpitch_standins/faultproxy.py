"""TCP proxy that injects network faults.

A map is a listening port and the ip:port that it forwards to. ``POST /maps``
opens the port, and ``POST /maps/N`` sets the target of map ``N``. ``POST /rules``
replaces all rules. Each rule has a ``source`` (prefix of the client's address),
a list of ``maps``, and a ``mode``:

- ``cut``: open connections are closed, and new ones are closed at once;
- ``freeze``: bytes are discarded in both directions, and connections stay open;
- ``freeze_old``: like ``freeze`` for good, but only for the connections that are
  open when the rule is set; new connections work;
- ``one_way``: only bytes from the client pass;
- ``delay``: every chunk is delayed by ``delay_ms``;
- ``truncate``: a connection is closed after ``after_bytes`` of reply.
"""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import argparse
import json
from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet.green import socket

from corianderpitch_standins.jsonserver import RawReply, announce_ready, listen, serve

READ_BYTES = 65_536


@dataclass(frozen=True)
class Rule:
    """One fault for the connections of some clients through some maps."""

    source: str
    maps: tuple[int, ...]
    mode: str
    delay_ms: float = 0.0
    after_bytes: int = 0

    def matches(self, source: str, map_number: int) -> bool:
        """Return whether the rule applies to a connection from ``source``."""
        return source.startswith(self.source) and map_number in self.maps


class Connection:
    """One forwarded client connection."""

    def __init__(self, proxy: "FaultProxy", map_number: int, client: Any, source: str):
        self.map_number = map_number
        self.source = source
        self.is_frozen = False
        self._proxy = proxy
        self._client = client
        self._server: Any = None
        self._reply_bytes = 0

    def run(self, target: str) -> None:
        """Connect to ``target`` (ip:port) and forward both ways until one side closes.

        The client's connection is closed if the target can't be reached within
        one second.
        """
        host, _, port = target.rpartition(":")
        try:
            self._server = socket.create_connection((host, int(port)), 1.0)
            self._server.settimeout(None)
        except (OSError, ValueError):
            self.close()
            return
        eventlet.spawn_n(self._forward, self._server, self._client, False)
        self._forward(self._client, self._server, True)

    def close(self) -> None:
        """Close the connections to the client and to the target."""
        for side in (self._client, self._server):
            if side is not None:
                side.close()
        self._proxy.connections.discard(self)

    def _forward(self, sender: Any, receiver: Any, is_from_client: bool) -> None:
        try:
            while data := sender.recv(READ_BYTES):
                data = self._apply_faults(data, is_from_client)
                if data:
                    receiver.sendall(data)
        except (OSError, EOFError):
            pass
        self.close()

    def _apply_faults(self, data: bytes, is_from_client: bool) -> bytes:
        """Apply the rules to a chunk and return the bytes to forward.

        Raises
        ------
        OSError
            If the connection must be closed because the reply was truncated.
        """
        if self.is_frozen:
            return b""
        for rule in self._proxy.rules_for(self.source, self.map_number):
            match rule.mode:
                case "freeze":
                    return b""
                case "one_way" if not is_from_client:
                    return b""
                case "delay":
                    eventlet.sleep(rule.delay_ms / 1000.0)
                case "truncate" if not is_from_client:
                    remaining_bytes = rule.after_bytes - self._reply_bytes
                    self._reply_bytes += len(data)
                    if len(data) > remaining_bytes:
                        self._client.sendall(data[: max(0, remaining_bytes)])
                        raise OSError("truncated")
        return data


class FaultProxy:
    """Maps, rules and open connections of the proxy."""

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
            case ["maps", map_number]:
                self._targets[int(map_number)] = command["target"]
                return {}
            case ["rules"]:
                self._set_rules(command["rules"])
                return {}
        return RawReply("404 Not Found", b"")

    def rules_for(self, source: str, map_number: int) -> list[Rule]:
        """Return the rules that apply to a connection."""
        return [rule for rule in self._rules if rule.matches(source, map_number)]

    def _add_map(self, target: str) -> dict[str, Any]:
        listener = listen(self._host)
        self._targets.append(target)
        map_number = len(self._targets) - 1
        eventlet.spawn_n(self._accept, listener, map_number)
        host, port = listener.getsockname()[:2]
        return {"map": map_number, "address": f"{host}:{port}"}

    def _set_rules(self, rules: list[dict[str, Any]]) -> None:
        self._rules = [
            Rule(**{**fields, "maps": tuple(fields["maps"])}) for fields in rules
        ]
        for connection in list(self.connections):
            modes = {
                rule.mode
                for rule in self.rules_for(connection.source, connection.map_number)
            }
            if "cut" in modes:
                connection.close()
            if "freeze_old" in modes:
                connection.is_frozen = True

    def _accept(self, listener: Any, map_number: int) -> None:
        while True:
            client, address = listener.accept()
            source = address[0]
            if any(r.mode == "cut" for r in self.rules_for(source, map_number)):
                client.close()
                continue
            connection = Connection(self, map_number, client, source)
            self.connections.add(connection)
            eventlet.spawn_n(connection.run, self._targets[map_number])


def main() -> None:
    """Run the proxy until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    arguments = parser.parse_args()
    listener = listen(arguments.host)
    announce_ready(http=listener)
    serve(listener, FaultProxy(arguments.host).handle)


if __name__ == "__main__":
    main()

"""Stand-in for the store of the users' platform: its calls and their JSON bodies."""

import base64
from typing import Any

from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import Clock
from corianderpitch.errors import HistoryLost
from corianderpitch.ports import Check, PartitionedKey, Row, Write
from corianderpitch_standins.userprotocol import Reply

MAX_ENTRIES = 100  # of one transaction


class StoreService:
    """Serves the calls of the store from rows in memory."""

    def __init__(self, rows: MemoryRowStore, clock: Clock):
        self._rows = rows
        self._clock = clock

    def serve(self, name: str, body: dict[str, Any]) -> Reply:
        """Carry out one call; ``body`` holds the fields of its body and query."""
        match name:
            case "rows-tx":
                return self._commit(body)
            case "rows-get":
                page = self._rows.read(
                    body["table"],
                    body.get("part", ""),
                    body.get("from", ""),
                    body.get("to", ""),
                ).unwrap()
                rows = [_row_fields(row) for row in page.rows]
                return self._reply({"rows": rows, "has_more": False}, page.version)
            case "rows-parts":
                parts = self._rows.list_partitions(body["table"]).unwrap()
                return self._reply({"parts": list(parts)}, 0)
            case "rows-feed":
                return self._read_feed(body)
        return Reply(404, {})

    def _commit(self, body: dict[str, Any]) -> Reply:
        checks = tuple(
            Check(_parse_key(r), r["row_version"]) for r in body["expected_rev"]
        )
        writes = [
            Write(_parse_key(r), base64.b64decode(r["value"])) for r in body["put"]
        ]
        writes += [Write(_parse_key(r), None) for r in body["remove"]]
        keys = {entry.key for entry in (*checks, *writes)}
        if len(checks) + len(writes) > MAX_ENTRIES:
            return Reply(400, {})
        if len({key.part for key in keys}) > 1 and not body.get("cross_shard"):
            return Reply(400, {})
        match self._rows.commit(checks, tuple(writes)):
            case Success(version):
                return self._reply({}, version)
        return Reply(412, {"rows": []})

    def _read_feed(self, body: dict[str, Any]) -> Reply:
        result = self._rows.follow(
            body["table"], int(body["after"]), int(body["wait_ms"])
        )
        match result:
            case Failure(HistoryLost()):
                return Reply(410, {})
        changes = result.unwrap()
        rows = [_row_fields(row) for row in changes.rows]
        rows += [_key_fields(key) | {"deleted": True} for key in changes.deleted]
        return self._reply({"rows": rows}, changes.version)

    def _reply(self, fields: dict[str, Any], version: int) -> Reply:
        now_ms = int(self._clock.now_ms())
        return Reply(200, fields | {"row_version": version, "now_ms": now_ms})


def parts_of(body: dict[str, Any]) -> set[str]:
    """Return the partitions that a call reads or writes."""
    entries = [
        *body.get("expected_rev", ()),
        *body.get("put", ()),
        *body.get("remove", ()),
    ]
    return {entry.get("part", "") for entry in (body, *entries)} - {""}


def _key_fields(key: PartitionedKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.name}


def _parse_key(fields: dict[str, Any]) -> PartitionedKey:
    return PartitionedKey(fields["table"], fields.get("part", ""), fields["key"])


def _row_fields(row: Row) -> dict[str, Any]:
    value = base64.b64encode(row.value).decode()
    return _key_fields(row.key) | {"value": value, "row_version": row.version}

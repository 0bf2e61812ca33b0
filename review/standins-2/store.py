"""Stand-in for the platform's store: tables with partitions, transactions, feeds."""

import asyncio
import base64
import json
import time
from typing import Any

from httpserver import HttpServer, Reply, Request

TRANSACTION_S = 0.004
RowKey = tuple[str, str, str]


def steady_ms() -> float:
    """Return the time of the steady clock in milliseconds."""
    return time.monotonic() * 1000.0


class Store:
    """Rows in memory.

    Attributes
    ----------
    silent_parts : set of str
        Partitions that are unavailable: a call that needs one of them is not
        carried out and gets no answer. Feeds go on.
    """

    def __init__(self):
        self.server = HttpServer(self._serve)
        self.silent_parts: set[str] = set()
        self._rows: dict[RowKey, tuple[str, int]] = {}
        self._history: list[tuple[int, RowKey, str | None]] = []
        self._version = 1
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, fields: dict[str, Any]) -> None:
        """Write a row of the empty partition, as operators and minions do."""
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        await self._apply({(table, "", key): value})

    async def remove(self, table: str, key: str) -> None:
        """Remove a row of the empty partition."""
        await self._apply({(table, "", key): None})

    def partitions_of(self, table: str, key: str) -> list[str]:
        """Return the partitions that hold a row with a key."""
        return sorted(p for t, p, k in self._rows if (t, k) == (table, key))

    async def _apply(self, changes: dict[RowKey, str | None]) -> int:
        self._version += 1
        for key, value in changes.items():
            if value is not None:
                self._rows[key] = (value, self._version)
            elif self._rows.pop(key, None) is None:
                continue
            self._history.append((self._version, key, value))
        async with self._changed:
            self._changed.notify_all()
        return self._version

    async def _serve(self, request: Request) -> Reply | None:
        fields = request.fields
        match request.name:
            case "rows-tx":
                return await self._commit(fields)
            case "rows-get":
                if fields.get("part", "") in self.silent_parts:
                    return None
                return self._read(fields)
            case "rows-parts":
                after = fields.get("after", "")
                parts = {p for t, p, _ in self._rows if t == fields["table"]}
                return self._reply({"parts": sorted(p for p in parts if p > after)})
            case "rows-feed":
                return await self._feed(fields)
        return Reply(404)

    async def _commit(self, fields: dict[str, Any]) -> Reply | None:
        checks = {_row_key(r): r["row_version"] for r in fields["expected_rev"]}
        changes: dict[RowKey, str | None] = {
            _row_key(r): r["value"] for r in fields["put"]
        }
        changes |= {_row_key(r): None for r in fields["remove"]}
        parts = {part for _, part, _ in (*checks, *changes)}
        entries = sum(len(fields[name]) for name in ("expected_rev", "put", "remove"))
        if entries > 100 or (len(parts) > 1 and not fields.get("cross_shard")):
            return Reply(400)
        if any(table in ("op", "servers") for table, _, _ in changes):
            return Reply(403)
        await asyncio.sleep(TRANSACTION_S * min(2, len(parts)))
        if parts & self.silent_parts:
            return None
        if any(self._row_version(key) != version for key, version in checks.items()):
            rows = [self._row(key) for key in checks if key in self._rows]
            return self._reply({"rows": rows}, status=412)
        version = await self._apply(changes)
        return self._reply({"row_version": version})

    def _read(self, fields: dict[str, Any]) -> Reply:
        table, part = fields["table"], fields.get("part", "")
        first, end = fields.get("from", ""), fields.get("to", "")
        limit = min(500, int(fields.get("limit", 500)))
        names = sorted(
            k
            for t, p, k in self._rows
            if (t, p) == (table, part) and k >= first and (not end or k < end)
        )
        rows = [self._row((table, part, name)) for name in names[:limit]]
        return self._reply({"rows": rows, "has_more": len(names) > limit})

    async def _feed(self, fields: dict[str, Any]) -> Reply:
        table, after = fields["table"], int(fields["after"])
        until_ms = steady_ms() + int(fields.get("wait_ms", 0))
        while not (rows := self._changes_since(table, after)):
            remaining_s = (until_ms - steady_ms()) / 1000.0
            if remaining_s <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    break
        return self._reply({"rows": rows})

    def _changes_since(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = []
        for version, key, value in reversed(self._history):
            if version <= after:
                break
            if key[0] == table:
                content = {"deleted": True} if value is None else {"value": value}
                rows.append(_key_fields(key) | content | {"row_version": version})
        return rows[::-1]

    def _row_version(self, key: RowKey) -> int:
        return self._rows[key][1] if key in self._rows else 0

    def _row(self, key: RowKey) -> dict[str, Any]:
        value, version = self._rows[key]
        return _key_fields(key) | {"value": value, "row_version": version}

    def _reply(self, fields: dict[str, Any], status: int = 200) -> Reply:
        clock = {"row_version": self._version, "now_ms": int(steady_ms())}
        return Reply(status, clock | fields)


def _row_key(fields: dict[str, Any]) -> RowKey:
    return fields["table"], fields.get("part", ""), fields["key"]


def _key_fields(key: RowKey) -> dict[str, str]:
    return dict(zip(("table", "part", "key"), key, strict=True))

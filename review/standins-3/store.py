"""Stand-in for the platform's store: rows, transactions and feeds (PROTOCOL.md)."""

import asyncio
import base64
import json
import random
import time
from dataclasses import dataclass
from typing import Any

from httpserver import HttpServer, NoAnswer, Reply, Request, ResetConnection

TXN_S = 0.004
MAX_ROWS = 500
PARTS_PER_PAGE = 1000
MAX_ENTRIES = 100

Place = tuple[str, str, str]


@dataclass
class Door:
    """The store as one entry reaches it; ``mode`` is how its calls are answered.

    An empty ``mode`` is normal service; ``busy``, ``many``, ``reset`` and ``silent``
    refuse every call; ``lost`` carries a share of the writes out without an answer.
    """

    server: HttpServer
    entry: str = ""
    mode: str = ""
    slow_s: float = 0.0
    wrote_s: float = 0.0  # when it last wrote under a condition
    lost_share: float = 0.0  # of the writes that are done and not answered
    is_lost_late: bool = False  # such writes are done 1 to 6 s later


class Store:
    """All rows, with one counter of versions."""

    def __init__(self):
        self._began_s = time.monotonic()
        self.version = 1
        self.rows: dict[tuple[str, str], dict[str, tuple[str, int]]] = {}
        self.history: list[tuple[int, Place]] = []
        self.forgotten = 0
        self._changed = asyncio.Condition()
        self.doors: list[Door] = []
        # The address of a minion as an entry reaches it, by entry and address.
        self.paths: dict[tuple[str, str], str] = {}
        self.away_parts: frozenset[str] = frozenset()
        self.rng = random.Random(1)

    async def open_door(self, entry: str = "") -> Door:
        """Open an address of the store for one entry."""
        door = Door(HttpServer(lambda request: self._serve(door, request)), entry)
        await door.server.start()
        self.doors.append(door)
        return door

    # Direct access, for the operator and the minions.

    async def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Write a row as an operator or a minion does; return its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self._apply([((table, part, key), text)])

    async def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        if key in self.rows.get((table, part), {}):
            await self._apply([((table, part, key), None)])

    def get(self, table: str, key: str, part: str = "") -> bytes | None:
        """Return the value of a row."""
        row = self.rows.get((table, part), {}).get(key)
        return base64.b64decode(row[0]) if row else None

    async def forget_history(self) -> None:
        """Drop the history, as after a compaction."""
        self.history.clear()
        self.forgotten = self.version
        async with self._changed:
            self._changed.notify_all()

    async def _apply(self, writes: list[tuple[Place, str | None]]) -> int:
        self.version += 1
        for (table, part, key), text in writes:
            rows = self.rows.setdefault((table, part), {})
            if text is None:
                if rows.pop(key, None) is None:
                    continue
            else:
                rows[key] = (text, self.version)
            self.history.append((self.version, (table, part, key)))
        async with self._changed:
            self._changed.notify_all()
        return self.version

    # Calls of entries.

    async def _serve(self, door: Door, request: Request) -> Reply:
        match door.mode:
            case "busy":
                return Reply(503)
            case "many":
                return Reply(429)
            case "reset":
                raise ResetConnection
            case "silent":
                raise NoAnswer
        if door.slow_s:
            await asyncio.sleep(door.slow_s)
        match request.name:
            case "rows-tx":
                await asyncio.sleep(TXN_S)
                body = request.json()
                if not self.away_parts.isdisjoint(_parts(body)):
                    return Reply(503)
                if self.rng.random() < door.lost_share:
                    late_s = self.rng.uniform(1.0, 6.0) if door.is_lost_late else 0.0
                    asyncio.get_running_loop().create_task(
                        self._transact_late(door, body, late_s)
                    )
                    raise NoAnswer
                return await self._transact(door, body)
            case "rows-get":
                await asyncio.sleep(TXN_S / 2)
                if request.query.get("part", "") in self.away_parts:
                    return Reply(503)
                return self._on_paths(door, self._read(request.query))
            case "rows-parts":
                return self._parts(request.query)
            case "rows-feed":
                reply = await self._feed(request.query)
                if door.mode == "silent":
                    raise NoAnswer
                return self._on_paths(door, reply)
        return Reply(404)

    def _on_paths(self, door: Door, reply: Reply) -> Reply:
        """Name the addresses at which the entry reaches the minions."""
        for row in reply.body.get("rows", []):
            if row["table"] == "servers" and "value" in row and self.paths:
                try:
                    fields = json.loads(base64.b64decode(row["value"]))
                    path = self.paths.get((door.entry, fields["address"]))
                except (ValueError, LookupError, TypeError):
                    continue
                if path is not None:
                    text = json.dumps(fields | {"address": path}).encode()
                    row["value"] = base64.b64encode(text).decode()
        return reply

    def _answer(self, body: dict[str, Any]) -> Reply:
        now_ms = int((time.monotonic() - self._began_s) * 1000) + 50_000
        return Reply(200, {"row_version": self.version} | body | {"now_ms": now_ms})

    async def _transact_late(
        self, door: Door, body: dict[str, Any], late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        await self._transact(door, body)

    async def _transact(self, door: Door, body: dict[str, Any]) -> Reply:
        checks = body.get("expected_rev", [])
        puts, removes = body.get("put", []), body.get("remove", [])
        if len(checks) + len(puts) + len(removes) > MAX_ENTRIES:
            return Reply(400, {"error": "too many entries"})
        places = {_place(entry) for entry in (*checks, *puts, *removes)}
        if len({part for _, part, _ in places}) > 1 and not body.get("cross_shard"):
            return Reply(400, {"error": "several parts"})
        for check in checks:
            table, part, key = _place(check)
            row = self.rows.get((table, part), {}).get(key)
            if (row[1] if row else 0) != check["row_version"]:
                current = [self._row(_place(c)) for c in checks]
                reply = self._answer({"rows": [row for row in current if row]})
                return Reply(412, reply.body)
        writes = [(_place(entry), entry["value"]) for entry in puts]
        writes += [(_place(entry), None) for entry in removes]
        if not writes:
            return self._answer({})
        if checks:
            door.wrote_s = time.monotonic()
        version = await self._apply(writes)
        return self._answer({"row_version": version})

    def _row(self, place: Place) -> dict[str, Any] | None:
        table, part, key = place
        row = self.rows.get((table, part), {}).get(key)
        if row is None:
            return None
        fields = {"table": table, "part": part, "key": key}
        return fields | {"value": row[0], "row_version": row[1]}

    def _read(self, query: dict[str, str]) -> Reply:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        keys = sorted(
            (k for k in self.rows.get((table, part), {}) if k >= first),
            key=lambda k: k.encode(),
        )
        if end:
            keys = [k for k in keys if k < end]
        rows = [self._row((table, part, key)) for key in keys[:limit]]
        return self._answer({"rows": rows, "has_more": len(keys) > limit})

    def _parts(self, query: dict[str, str]) -> Reply:
        after = query.get("after")
        parts = sorted(
            p for (t, p), rows in self.rows.items() if t == query["table"] and rows
        )
        if after is not None:
            parts = [p for p in parts if p > after]
        return self._answer({"parts": parts[:PARTS_PER_PAGE]})

    async def _feed(self, query: dict[str, str]) -> Reply:
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000.0
        while True:
            if after < self.forgotten:
                return Reply(410)
            seen = self.version
            latest: dict[Place, int] = {}
            for version, place in self.history:
                if version > after and place[0] == table:
                    latest[place] = version
            if latest:
                rows = [
                    self._row(place) or _key_fields(place) | {"deleted": True}
                    for place, _ in sorted(latest.items(), key=lambda item: item[1])
                ]
                for row, version in zip(rows, sorted(latest.values()), strict=True):
                    row.setdefault("row_version", version)
                return self._answer({"rows": rows})
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return self._answer({"rows": []})
            try:
                async with self._changed:
                    changed = self._changed.wait_for(
                        lambda: self.version != seen  # noqa: B023
                    )
                    await asyncio.wait_for(changed, left_s)
            except TimeoutError:
                pass


def _place(entry: dict[str, Any]) -> Place:
    return entry["table"], entry.get("part", ""), entry["key"]


def _key_fields(place: Place) -> dict[str, Any]:
    return {"table": place[0], "part": place[1], "key": place[2]}


def _parts(body: dict[str, Any]) -> set[str]:
    names = ("expected_rev", "put", "remove")
    return {entry.get("part", "") for name in names for entry in body.get(name, [])}

"""Answers of the store with fields that are missing or of another type."""

import base64

import pytest
from returns.result import Success

from corianderpitch.clock import ManualClock
from corianderpitch.errors import OutcomeLost
from corianderpitch.ports import PartitionedKey, Row, Write
from corianderpitch_platform.http import Response
from corianderpitch_platform.store import PlatformStore

ROW = {
    "table": "my",
    "part": "p",
    "key": "a",
    "value": base64.b64encode(b"v").decode(),
    "row_version": 412,
}
PAGE = {"rows": [ROW], "has_more": False, "row_version": 530, "now_ms": 51230}
KEY = PartitionedKey("my", "p", "a")


class FixedClient:
    """Returns the given responses one after the other, the last one for ever."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)
        self.paths = []

    def call(self, method, path, *arguments, **options):
        self.paths.append(path)
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return Response(200, body)


def store_with(*bodies):
    store = PlatformStore("10.1.0.9:80", ManualClock(1000.0))
    store._client = store._follow_client = FixedClient(*bodies)
    return store


ODD_PAGES = [
    {},
    PAGE | {"rows": None},
    PAGE | {"rows": {}},
    PAGE | {"rows": [7]},
    PAGE | {"rows": [ROW, ROW | {"key": 7}]},
    PAGE | {"rows": [ROW, ROW | {"key": None}]},
    PAGE | {"rows": [ROW | {"table": ["my"]}]},
    PAGE | {"rows": [ROW | {"part": {}}]},
    PAGE | {"rows": [ROW | {"row_version": "412"}]},
    PAGE | {"rows": [ROW | {"row_version": 1e300}]},
    PAGE | {"row_version": None},
    PAGE | {"row_version": "530"},
    PAGE | {"row_version": -1},
    PAGE | {"row_version": True},
]


@pytest.mark.parametrize("body", [*ODD_PAGES, PAGE | {"has_more": "false"}])
def test_an_odd_answer_to_a_read_is_a_lost_answer(body):
    """A row is not left out: its absence would be taken for its deletion."""
    assert isinstance(store_with(body).read("my", "p").failure(), OutcomeLost)


@pytest.mark.parametrize("body", ODD_PAGES)
def test_an_odd_answer_to_a_feed_is_a_lost_answer(body):
    assert isinstance(store_with(body).follow("my", 3, 0).failure(), OutcomeLost)


@pytest.mark.parametrize("parts", [None, {}, "ab", [1], [["a"]]])
def test_an_odd_list_of_partitions_is_a_lost_answer(parts):
    answer = store_with({"parts": parts}).list_partitions("my")
    assert isinstance(answer.failure(), OutcomeLost)


@pytest.mark.parametrize("version", [None, "531", {}, True, -1, 1e300])
def test_a_commit_without_its_version_is_a_lost_answer(version):
    """It may have been carried out."""
    answer = store_with({"row_version": version}).commit((), (Write(KEY, b"v"),))
    assert isinstance(answer.failure(), OutcomeLost)


@pytest.mark.parametrize("now_ms", ["51230", None, [], True, -5, 1e300])
def test_an_odd_time_leaves_the_estimate_of_the_time_unchanged(now_ms):
    store = store_with(PAGE, PAGE | {"now_ms": now_ms})
    store.read("my", "p")
    assert isinstance(store.read("my", "p"), Success)
    assert store.time_ms() == 51230.0


@pytest.mark.parametrize("value", [None, 7, [], "%%%", "dg", "é"])
def test_a_value_that_is_not_base64_is_empty(value):
    rows = store_with(PAGE | {"rows": [ROW | {"value": value}]}).read("my", "p")
    assert rows.unwrap().rows == (Row(KEY, 412, b""),)


def test_pages_are_joined_and_have_the_version_of_the_first():
    store = store_with(
        PAGE | {"has_more": True},
        PAGE | {"rows": [ROW | {"key": "b"}], "row_version": 540},
    )
    snapshot = store.read("my", "p").unwrap()
    assert [row.key.name for row in snapshot.rows] == ["a", "b"]
    assert snapshot.version == 530
    assert "from=a%00" in store._client.paths[1]


def test_deleted_rows_of_a_feed_are_told_apart():
    deleted = {"table": "my", "part": "p", "key": "b", "deleted": True}
    changes = store_with(PAGE | {"rows": [ROW, deleted]}).follow("my", 3, 0).unwrap()
    assert [row.key.name for row in changes.rows] == ["a"]
    assert [key.name for key in changes.deleted] == ["b"]

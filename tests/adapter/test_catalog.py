"""The operators' configuration, as read from the users' platform."""

import json

import pytest

from corianderpitch.ids import QueueName
from corianderpitch.ports import PartitionedKey, Row
from corianderpitch_platform.operators import PlatformOperatorRows


@pytest.mark.parametrize("rejects_overload", [True, False])
def test_a_queue_tells_whether_its_workers_guard_their_capacity(rejects_overload):
    value = {
        "version": 1,
        "routes": [{"name": "q", "prefix": "/q/", "service": "s"}],
        "services": [
            {"name": "s", "rejects_overload": rejects_overload},
            {"name": "other", "rejects_overload": not rejects_overload},
        ],
    }
    row = Row(PartitionedKey("op", "", "config"), 1, json.dumps(value).encode())
    catalog = PlatformOperatorRows(None)._parse_changes((row,), 1).catalog
    assert catalog.queues[QueueName("q")].workers_guard_capacity is rejects_overload

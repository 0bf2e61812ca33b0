"""The operators' configuration, as read from the users' platform."""

import json

import pytest

from corianderpitch.domain.quotas import UNLIMITED, Quota
from corianderpitch.domain.scheduling.teams import digest_key
from corianderpitch.ids import QueueName
from corianderpitch.ports import PartitionedKey, Row
from corianderpitch_platform.operators import PlatformOperatorRows


def read_catalog(value):
    row = Row(PartitionedKey("op", "", "config"), 1, json.dumps(value).encode())
    return PlatformOperatorRows(None)._parse_changes((row,), 1).catalog


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
    catalog = read_catalog(value)
    assert catalog.queues[QueueName("q")].workers_guard_capacity is rejects_overload


def test_teams_and_their_keys_are_read():
    value = {
        "version": 1,
        "routes": [
            {"name": "q", "prefix": "/q/", "service": "s"},
            {"name": "p", "prefix": "/p/", "service": "s", "public": True},
        ],
        "services": [{"name": "s"}],
        "tenants": [
            {
                "name": "t",
                "api_keys": ["one", "two"],
                "weight": 3,
                "cap": {"cpu": 1500, "mem_mb": 0},
            }
        ],
    }
    catalog = read_catalog(value)
    (team,) = catalog.teams.values()
    assert (team.name, team.weight) == ("t", 3)
    assert team.quota == Quota(1.5, UNLIMITED, UNLIMITED)
    assert catalog.teams_by_key == {digest_key(key): "t" for key in ("one", "two")}
    assert [route.is_public for route in catalog.routes] == [False, True]


def test_without_teams_all_calls_come_without_a_key():
    """The earlier customers' calls have none."""
    routes = [{"name": "q", "prefix": "/q/", "service": "s", "public": False}]
    catalog = read_catalog({"version": 1, "routes": routes, "services": []})
    assert catalog.routes[0].is_public
    assert not catalog.teams


@pytest.mark.parametrize(
    "tenant",
    [{}, {"name": 7}, {"name": "t", "api_keys": "one"}, {"name": "t", "weight": "3"}],
)
def test_a_configuration_with_a_malformed_team_changes_nothing(tenant):
    fields = {"version": 1, "routes": [], "services": [], "tenants": [tenant]}
    assert read_catalog(fields) is None

"""Callers' keys: found in the configuration in force, which is confirmed before 401."""

import pytest
from returns.result import Failure, Success

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.catalogs import CONFIRM_RETRY_MS, CatalogTask
from corianderpitch.daemon.scheduling.teamkeys import (
    MAX_CONFIGURATION_AGE_MS,
    MAX_KEY_CHARS,
    ConfigurationUnconfirmed,
    TeamKeys,
    UnknownKey,
)
from corianderpitch.domain.scheduling.catalog import Catalog, OperatorChanges
from corianderpitch.domain.scheduling.teams import digest_key
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import TeamName

TEAM = TeamName("yard-staff")
UNKNOWN = Failure(UnknownKey())
UNCONFIRMED = Failure(ConfigurationUnconfirmed())


def catalog(version, *keys):
    return Catalog(
        version, {}, (), {}, teams_by_key={digest_key(k): TEAM for k in keys}
    )


class OperatorsRow:
    """The operators' row; it counts how often it is read."""

    def __init__(self, newest):
        self.newest = newest
        self.reads = 0
        self.is_away = False

    def read(self):
        self.reads += 1
        if self.is_away:
            return Failure(PlatformUnavailable("away"))
        return Success(OperatorChanges(self.newest, (), self.newest.version))


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def row():
    return OperatorsRow(catalog(1, "old-key"))


@pytest.fixture
def keys(row, clock):
    catalogs = CatalogTask(row, clock)
    assert catalogs.confirm(0.0)
    row.reads = 0
    return TeamKeys(catalogs)


def make_old(clock):
    clock.advance(MAX_CONFIGURATION_AGE_MS + 1.0)


def test_a_known_key_is_found_without_a_call_to_the_store(keys, row, clock):
    make_old(clock)
    assert keys.find_team("old-key") == Success(TEAM)
    assert row.reads == 0


def test_a_key_that_was_added_since_is_found_in_the_operators_row(keys, row, clock):
    """An entry whose configuration is old would refuse a key that is in force."""
    row.newest = catalog(2, "old-key", "new-key")
    make_old(clock)
    assert keys.find_team("new-key") == Success(TEAM)
    assert row.reads == 1


def test_a_key_that_was_removed_is_refused_once_that_is_known(keys, row, clock):
    row.newest = catalog(2, "new-key")
    make_old(clock)
    assert keys.find_team("new-key") == Success(TEAM)
    assert keys.find_team("old-key") == UNKNOWN


def test_a_flood_of_false_keys_costs_the_store_one_read(keys, row, clock):
    make_old(clock)
    assert {keys.find_team(f"false-{n}") for n in range(1000)} == {UNKNOWN}
    assert row.reads == 1


def test_a_flood_of_false_keys_does_not_press_a_store_that_is_away(keys, row, clock):
    make_old(clock)
    row.is_away = True
    assert {keys.find_team(f"false-{n}") for n in range(1000)} == {UNCONFIRMED}
    assert row.reads == 1
    clock.advance(CONFIRM_RETRY_MS)
    row.is_away = False
    assert keys.find_team("false") == UNKNOWN


def test_known_keys_go_on_while_the_store_is_away(keys, row, clock):
    make_old(clock)
    row.is_away = True
    assert keys.find_team("old-key") == Success(TEAM)


@pytest.mark.parametrize(
    "key", ["", "x" * (MAX_KEY_CHARS + 1), "ключ", "k\u00e9y", "x" * 1_000_000]
)
def test_a_malformed_key_is_refused_without_a_read(keys, row, clock, key):
    make_old(clock)
    assert keys.find_team(key) == UNKNOWN
    assert row.reads == 0


def test_an_older_configuration_that_is_read_late_replaces_nothing(keys, row, clock):
    row.newest = catalog(2, "new-key")
    make_old(clock)
    keys.find_team("false")
    row.newest = catalog(1, "old-key")
    make_old(clock)
    assert keys.find_team("old-key") == UNKNOWN

"""A short seeded soak of real entries; ``make soak`` runs longer ones."""

import signal
from pathlib import Path

import pytest

from corianderpitch_standins.localfleet import wait_until
from corianderpitch_standins.soak import Soak
from corianderpitch_standins.soakfleet import SoakFleet

SEED = 1
SOAK_S = 50.0
ENTRIES = 4


def test_a_short_soak_finds_nothing(tmp_path):
    soak = Soak(SEED, SOAK_S, ENTRIES, tmp_path)
    findings = soak.run()
    assert not findings, f"{soak.summary()}: {findings}, logs in {tmp_path}"


@pytest.fixture
def fleet(tmp_path):
    soak_fleet = SoakFleet(tmp_path)
    yield soak_fleet
    soak_fleet.close()


def test_a_reload_requested_while_an_entry_starts_does_not_end_it(fleet):
    entry = fleet.start_entry("e0")
    # The libraries are loaded one after the other; this is one of the first.
    maps = Path(f"/proc/{entry.process.pid}/maps")
    wait_until(lambda: "greenlet" in maps.read_text(), 20.0, "libraries loading")
    fleet.signal(entry, signal.SIGHUP)
    fleet.wait_ready()
    assert entry.is_running

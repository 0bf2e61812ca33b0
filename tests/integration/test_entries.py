"""Entries are killed, frozen, replaced and cut off while they serve."""

import json
import time

import pytest
from fleets import (
    base_text,
    load,
    post,
    refused_busy,
    start_fleet,
    verdict,
)

from corianderpitch_standins.localfleet import wait_until


@pytest.fixture
def fleet():
    fleet = start_fleet(("a", "b"))
    yield fleet
    fleet.close()


def answered_share(found):
    return found.outcomes["answered"] / sum(found.outcomes.values())


def test_killed_entry_breaks_no_promise(fleet):
    callers = load(fleet)
    time.sleep(1.0)
    fleet.entries["a0"].process.kill()
    time.sleep(2.0)
    found = verdict(fleet, callers.stop())
    assert refused_busy(fleet) == 0
    assert answered_share(found) > 0.95


def test_slots_hold_when_an_owner_dies_while_all_are_in_use(fleet):
    """Runs outlast the time after which others take over."""
    callers = load(fleet, threads=80, run_ms=2000.0, pause_ms=0.0, timeout_ms=8000)
    time.sleep(2.5)
    fleet.entries["a0"].process.kill()
    fleet.entries["b1"].process.kill()
    time.sleep(3.0)
    verdict(fleet, callers.stop())
    assert refused_busy(fleet) == 0


def test_connections_of_an_instance_stay_within_its_limit(fleet):
    """Slots in use, idle connections of every entry and probes together."""
    text = base_text("ab").replace(
        "instance_connections = 64", "instance_connections = 24"
    )
    fleet.apply_config(text, 1, "fewer")
    wait_until(lambda: set(fleet.revisions().values()) == {2}, 7.0, "in force")
    callers = load(fleet, threads=96, run_ms=100.0, pause_ms=0.0)
    time.sleep(3.0)
    verdict(fleet, callers.stop())
    most = {vm_id: fleet.vm_log(vm_id)["max_connections"] for vm_id in fleet.vms}
    assert all(8 <= count <= 24 for count in most.values()), most


def test_frozen_entry_breaks_no_promise_when_it_wakes(fleet):
    """Frozen for longer than others wait before they take over its services."""
    callers = load(fleet, threads=72, run_ms=200.0, pause_ms=0.0)
    time.sleep(2.0)
    fleet.entries["a0"].process.pause()
    time.sleep(2.5)
    fleet.entries["a0"].process.resume()
    time.sleep(1.5)
    sent = callers.stop()
    in_time = [s for s in sent if s.outcome.total_ms < 2500.0]
    verdict(fleet, in_time)
    late = [s for s in sent if s.outcome.total_ms >= 2500.0]
    runs = [key for log in fleet.run_logs() for key in log]
    assert all(runs.count(s.key) <= 1 for s in late if not s.is_idempotent)
    assert refused_busy(fleet) == 0


def test_orderly_stop_cuts_nothing_off_and_hands_its_tickets_over(fleet):
    leaving = fleet.entries["a1"]
    redirect = post(fleet, leaving, "s1", "", **{"X-Idempotent": "false"})
    unused = post(fleet, leaving, "s1", "", **{"X-Idempotent": "false"})
    path, unused_path = redirect.headers["Location"], unused.headers["Location"]
    body = json.dumps({"key": "order", "run_ms": 10})
    answer = fleet.http.request("POST", leaving.url + path, body=body)
    callers = load(fleet)
    time.sleep(0.5)
    urls = [e.url for e in fleet.running_entries() if e is not leaving]
    callers.entries = lambda: urls
    assert leaving.process.terminate() == 0
    time.sleep(0.5)
    found = verdict(fleet, callers.stop())
    assert found.outcomes["unknown"] == 0
    other = fleet.entries["b0"]
    again = fleet.http.request("POST", other.url + path, body=body)
    assert again.data == answer.data
    fresh = json.dumps({"key": "fresh", "run_ms": 10})
    late = fleet.http.request("POST", other.url + unused_path, body=fresh)
    assert late.status == 200
    runs = [key for log in fleet.run_logs() for key in log]
    assert (runs.count("order"), runs.count("fresh")) == (1, 1)


def test_ticket_of_a_killed_entry_is_unknown_at_once(fleet):
    issuer = fleet.entries["a1"]
    redirect = post(fleet, issuer, "s1", "", **{"X-Idempotent": "false"})
    issuer.process.kill()
    started_s = time.monotonic()
    url = fleet.entries["b0"].url + redirect.headers["Location"]
    headers = {"X-Timeout-Ms": "10000"}
    response = fleet.http.request("POST", url, body="{}", headers=headers)
    assert response.headers["X-Outcome"] == "unknown"
    assert time.monotonic() - started_s < 5.0


def test_callers_are_served_while_the_platform_is_away(fleet):
    """A new entry learns members and configuration from its peers."""
    fleet.control_platform(is_down=True)
    callers = load(fleet)
    time.sleep(1.0)
    peer = fleet.entries["a0"].process.addresses["peers"]
    fleet.start_entry("a9", "a", "--peers", peer)
    wait_until(
        lambda: post(fleet, fleet.entries["a9"], "s1", "{}").status == 200,
        10.0,
        "the new entry serves",
    )
    fleet.wait_ready()
    time.sleep(1.0)
    sent = callers.stop()
    verdict(fleet, sent)
    assert [s.outcome for s in sent if s.outcome.outcome != "answered"] == []
    fleet.control_platform(is_down=False)
    wait_until(
        lambda: fleet.apply_config(base_text("ab", default_timeout_ms=700), 1, "up"),
        15.0,
        "a change is accepted after the outage",
    )
    wait_until(lambda: set(fleet.revisions().values()) == {2}, 7.0, "in force")


def test_cut_off_data_centre_serves_and_catches_up(fleet):
    fleet.set_rules(*fleet.cut_site("b"))
    callers = load(fleet)
    accepted = fleet.apply_config(base_text("ab", default_timeout_ms=900), 1, "cut")
    assert accepted == {"revision": 2}
    time.sleep(2.0)
    found = verdict(fleet, callers.stop())
    assert answered_share(found) > 0.95
    here = fleet.revisions()
    assert {here["a0"], here["a1"]} == {2}
    fleet.set_rules()
    wait_until(
        lambda: list(fleet.revisions().values()) == [2, 2, 2, 2], 10.0, "caught up"
    )


def test_data_centre_without_platform_learns_a_change_from_its_peers(fleet):
    fleet.set_rules(*fleet.cut_platform("b"))
    fleet.apply_config(base_text("ab", default_timeout_ms=900), 1, "peers")
    wait_until(
        lambda: list(fleet.revisions().values()) == [2, 2, 2, 2], 7.0, "in force"
    )


def test_revision_never_goes_back_when_every_entry_is_replaced(fleet):
    for revision in range(1, 4):
        text = base_text("ab", default_timeout_ms=1000 + revision)
        fleet.apply_config(text, revision, f"op{revision}")
    old = list(fleet.entries)
    for name in old:
        new = fleet.start_entry(f"{name}n", name[0])
        wait_until(
            lambda entry=new: post(fleet, entry, "s1", "{}").status == 200,
            15.0,
            "the new entry serves",
        )
        assert fleet.entries[name].process.terminate() == 0
        assert set(fleet.revisions().values()) == {4}

"""Documents from the table and from peers, whose versions must never decrease."""

import random

import pytest
from fakes import BASE_FLEET, FakeNetwork
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.messages import Document, DocumentQuery, Heartbeat, VmChange
from corianderpitch.ports import Row
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    ConfigRecord,
    decode_row,
    encode_row,
    fleet_key,
)


class UnreachableTable(MemoryTable):
    def read(self, known):
        return Failure(PlatformUnavailable("cut off"))


def config_row(revision, text=BASE_FLEET):
    record = ConfigRecord(revision, revision - 1, f"op{revision}", "me", 0, text, {})
    return Row(CONFIG_HEAD_KEY, revision, encode_row(record))


class Entry:
    def __init__(self, table=None):
        clock = ManualClock()
        membership = Membership(MemberInfo("e1", "i", "a", "x:1"))
        membership.add_members([MemberInfo("f1", "i", "b", "x:2")])
        self.network = FakeNetwork("e1")
        members = MembershipTask(membership, self.network, clock, random.Random(1))
        self.task = DocumentTask(
            membership, self.network, members, table or UnreachableTable(), clock
        )

    def receive(self, message):
        self.network.handlers[type(message)]("f1", message)

    def sent(self, kind):
        return [m for _, m in self.network.sent if isinstance(m, kind)]

    @property
    def revision(self):
        record = self.task.config_record
        return record.revision if record else 0


@pytest.fixture
def entry():
    return Entry()


@given(st.lists(st.integers(1, 9), max_size=12))
def test_a_lower_version_is_never_put_in_force(revisions):
    entry = Entry()
    highest = 0
    for revision in revisions:
        row = config_row(revision)
        entry.receive(Document(row.key, row.version, row.value))
        highest = max(highest, revision)
        assert entry.revision == highest


def test_entry_without_platform_fetches_newer_document_from_peer(entry):
    entry.task.poll()
    assert not entry.task.is_ready
    entry.receive(Heartbeat(1, 0, 7, 3, (), ()))
    assert entry.sent(DocumentQuery) == [DocumentQuery(CONFIG_HEAD_KEY, 0)]
    row = config_row(7)
    entry.receive(Document(row.key, row.version, row.value))
    assert entry.task.is_ready
    entry.receive(Heartbeat(2, 0, 7, 3, (), ()))
    assert len(entry.sent(DocumentQuery)) == 1


def test_peer_with_an_older_version_gets_the_document(entry):
    entry.task.apply_rows({CONFIG_HEAD_KEY: config_row(5)})
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 5))
    assert entry.sent(Document) == []
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 4))
    [document] = entry.sent(Document)
    assert document.version == 5


def test_new_config_version_is_announced_to_other_sites_at_once(entry):
    entry.task.apply_rows({CONFIG_HEAD_KEY: config_row(5)})
    assert {heartbeat.config_version for heartbeat in entry.sent(Heartbeat)} == {5}


def test_invalid_document_does_not_replace_the_one_in_force(entry):
    entry.task.apply_rows({CONFIG_HEAD_KEY: config_row(1)})
    entry.task.apply_rows({CONFIG_HEAD_KEY: config_row(2, "name = 1")})
    assert entry.revision == 1


@given(st.lists(st.integers(0, 4), max_size=12), st.randoms(use_true_random=False))
def test_lost_or_reordered_vm_changes_never_yield_an_uncommitted_row(picks, rng):
    """Each version that the entry applies equals the row committed under it."""
    committed = [SiteFleet({f"vm{n}": VmRecord("p", "rack", "x:1") for n in range(5)})]
    changes = []
    for version, pick in enumerate(picks, start=1):
        record = VmRecord("p", "rack", f"x:{version}", VmState.DRAINING)
        committed.append(committed[-1].with_vm(f"vm{pick}", record))
        changes.append(VmChange("a", version, version + 1, f"vm{pick}", record))
    entry = Entry()
    key = fleet_key("a")
    entry.receive(Document(key, 1, encode_row(committed[0])))
    for change in rng.sample(changes, len(changes)) + changes:
        before = entry.task.versions()[1]
        entry.receive(change)
        version = entry.task.versions()[1]
        assert version >= before
        assert entry.task.fleet == committed[version - 1]
    assert entry.task.versions()[1] == len(committed)


def test_row_made_from_a_vm_change_is_sent_to_peers():
    entry = Entry()
    key, old = fleet_key("a"), VmRecord("p", "rack", "x:1")
    entry.receive(Document(key, 1, encode_row(SiteFleet({"vm": old}))))
    new = VmRecord("p", "rack", "x:1", VmState.DRAINED)
    entry.receive(VmChange("a", 1, 2, "vm", new))
    entry.receive(DocumentQuery(key, 1))
    document = entry.sent(Document)[-1]
    assert document.version == 2
    assert decode_row(SiteFleet, document.value) == SiteFleet({"vm": new})


def test_vm_change_of_another_data_centre_is_ignored():
    entry = Entry()
    entry.receive(VmChange("b", 0, 2, "vm", VmRecord("p", "rack", "x:1")))
    assert entry.task.fleet == SiteFleet({})

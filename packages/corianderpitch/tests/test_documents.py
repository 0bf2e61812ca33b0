"""Documents come from the table or from peers, and never go back."""

import random

import pytest
from fakes import BASE, FakeNetwork
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.messages import Document, DocumentQuery, Heartbeat
from corianderpitch.ports import Row
from corianderpitch.records import CONFIG_HEAD_KEY, ConfigRecord, encode_row


class CutOffTable(MemoryTable):
    def read(self, known):
        return Failure(PlatformUnavailable("cut off"))


def config_row(revision, text=BASE):
    record = ConfigRecord(revision, revision - 1, f"op{revision}", "me", 0, text, {})
    return Row(CONFIG_HEAD_KEY, revision, encode_row(record))


class Entry:
    def __init__(self, table=None):
        clock = ManualClock()
        membership = Membership(MemberInfo("e1", "i", "a", "x:1"))
        membership.learn([MemberInfo("f1", "i", "b", "x:2")])
        self.network = FakeNetwork("e1")
        members = MembershipTask(membership, self.network, clock, random.Random(1))
        self.task = DocumentTask(
            membership, self.network, members, table or CutOffTable(), clock
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


def test_entry_without_platform_fetches_what_a_peer_has_newer(entry):
    entry.task.poll()
    assert not entry.task.is_ready
    entry.receive(Heartbeat(1, 0, 7, 3, (), ()))
    assert entry.sent(DocumentQuery) == [DocumentQuery(CONFIG_HEAD_KEY, 0)]
    row = config_row(7)
    entry.receive(Document(row.key, row.version, row.value))
    assert entry.task.is_ready
    entry.receive(Heartbeat(2, 0, 7, 3, (), ()))
    assert len(entry.sent(DocumentQuery)) == 1


def test_peer_that_is_behind_gets_the_document(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(5)})
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 5))
    assert entry.sent(Document) == []
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 4))
    [document] = entry.sent(Document)
    assert document.version == 5


def test_new_version_is_announced_to_other_sites_at_once(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(5)})
    assert {beat.config_version for beat in entry.sent(Heartbeat)} == {5}


def test_invalid_document_keeps_the_one_in_force(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(1)})
    entry.task.offer({CONFIG_HEAD_KEY: config_row(2, "name = 1")})
    assert entry.revision == 1

"""Fakes and a minimal fleet file that several tests share."""

from returns.result import Failure

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.errors import OutcomeLost

BASE_FLEET = """
name = "x"
[sites.a]
region = "r"
[pools.p]
vm_processors = 1
vm_memory_mb = 1
[services.s]
pool = "p"
instance_slots = 8
instance_connections = 64
budget = { min_available = 1 }
"""


class LossyTable(MemoryTable):
    """Applies commits and loses the answers of the next ``lose`` of them."""

    def __init__(self):
        super().__init__()
        self.lose = 0

    def commit(self, checks, writes):
        result = super().commit(checks, writes)
        if self.lose:
            self.lose -= 1
            return Failure(OutcomeLost("test"))
        return result


class FakeNetwork:
    """Delivers messages to ``own`` at once and records those to other entries."""

    def __init__(self, own):
        self.own = own
        self.handlers = {}
        self.sent = []
        self.closed = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def reset(self, entry, lane=None):
        self.closed.append((entry, lane))

    def send(self, entry, message, lane=None):
        if entry != self.own:
            self.sent.append((entry, message))
        elif type(message) in self.handlers:
            self.handlers[type(message)](entry, message)


class DeferringStore(MemoryRowStore):
    """A store that can apply commits late, without an answer, or take its time."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.is_deferring = False
        self.commit_ms = 0.0
        self._deferred = []

    def commit(self, checks, writes):
        if self.is_deferring:
            self._deferred.append((checks, writes))
            return Failure(OutcomeLost("deferred"))
        self.clock.advance(self.commit_ms)
        return super().commit(checks, writes)

    def apply_deferred(self):
        deferred, self._deferred = self._deferred, []
        for checks, writes in deferred:
            super().commit(checks, writes)


class LaggingStore:
    """A store whose time is known within bounds only, as its answers come late.

    Its lower bound is ``lag_ms`` too early, and its upper bound ``lead_ms`` too late.
    """

    def __init__(self, store, lag_ms, lead_ms=0.0):
        self._store = store
        self._lag_ms = lag_ms
        self._lead_ms = lead_ms

    def __getattr__(self, name):
        return getattr(self._store, name)

    def time_ms(self):
        return self._store.time_ms() - self._lag_ms

    def latest_time_ms(self):
        return self._store.latest_time_ms() + self._lead_ms


class RacingStore(DeferringStore):
    """A store that calls a function once, right before it applies a commit."""

    before_commit = None

    def commit(self, checks, writes):
        call, self.before_commit = self.before_commit, None
        if call is not None:
            call()
        return super().commit(checks, writes)

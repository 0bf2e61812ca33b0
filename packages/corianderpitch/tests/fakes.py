"""Small fakes and a small fleet file, shared by the tests."""

BASE = """
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


class FakeNetwork:
    """Delivers to oneself at once and records what goes to others."""

    def __init__(self, own):
        self.own = own
        self.handlers = {}
        self.sent = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, entry, message, lane=None):
        if entry != self.own:
            self.sent.append((entry, message))
        elif type(message) in self.handlers:
            self.handlers[type(message)](entry, message)

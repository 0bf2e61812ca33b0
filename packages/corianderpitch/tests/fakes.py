"""Small fakes shared by the tests."""


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

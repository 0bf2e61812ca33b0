"""Logging: short sentences behind the name of the part that speaks."""

import json
import os
import sys
from collections import deque
from typing import Literal

import eventlet
import logbook

LogFormat = Literal["text", "json"]

MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_S = 0.05

_TEXT_FORMAT = (
    "{record.time:%H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)


class _Verbosity:
    is_debugging = False


def logger(part: str) -> logbook.Logger:
    """Return the logger of one part of the daemon."""
    return logbook.Logger(part)


_verbosity = _Verbosity()


def is_debugging() -> bool:
    """Tell whether debug records are wanted, before any are built."""
    return _verbosity.is_debugging


def install(log_format: LogFormat, level: str) -> None:
    """Send all log records to standard error."""
    _verbosity.is_debugging = level == "debug"
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    if log_format == "json":
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()


class StructuredHandler(logbook.Handler):
    """Queues each record as a JSON line for standard output.

    Logging never waits: lines beyond the bound are counted, and the count is
    logged when there is room again.
    """

    def __init__(self, level: str):
        super().__init__(level=level)
        self._lines: deque[str] = deque()
        self._dropped = 0
        os.set_blocking(sys.stdout.fileno(), False)
        self._rest = b""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(_json_line(record, self))

    def run(self) -> None:
        """Write queued lines until killed."""
        while True:
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as much as standard output takes now."""
        if self._dropped and len(self._lines) < MAX_QUEUED_LINES:
            self._lines.append(json.dumps({"part": "logs", "dropped": self._dropped}))
            self._dropped = 0
        if self._lines and not self._rest:
            self._rest = ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        while self._rest:
            try:
                written = os.write(sys.stdout.fileno(), self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]


def install_structured(level: str = "info") -> StructuredHandler:
    """Send all log records to standard output as JSON lines, without waiting."""
    _verbosity.is_debugging = level == "debug"
    handler = StructuredHandler(level.upper())
    handler.push_application()
    return handler


def _json_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    fields.update(record.kwargs)
    if record.exc_info:
        fields["cause"] = record.formatted_exception
    return json.dumps(fields, default=str)

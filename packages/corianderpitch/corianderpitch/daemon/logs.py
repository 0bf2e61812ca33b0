"""Log handlers, and loggers that are named after the parts of the daemon."""

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
    is_debug_enabled = False


def logger(part: str) -> logbook.Logger:
    """Return the logger of one part of the daemon."""
    return logbook.Logger(part)


_verbosity = _Verbosity()


def is_debug_enabled() -> bool:
    """Return whether debug records are logged; if not, callers need not build any."""
    return _verbosity.is_debug_enabled


def install_console_handler(log_format: LogFormat, level: str) -> None:
    """Send all log records of a level or above to standard error."""
    _verbosity.is_debug_enabled = level == "debug"
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    if log_format == "json":
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()


class StructuredHandler(logbook.Handler):
    """Queues each record as a JSON line for standard output.

    Logging never blocks. Lines beyond ``MAX_QUEUED_LINES`` are dropped and
    counted, and the count is logged when the queue has room again.
    """

    def __init__(self, level: str):
        super().__init__(level=level)
        self._lines: deque[str] = deque()
        self._dropped_lines = 0
        os.set_blocking(sys.stdout.fileno(), False)
        self._unwritten = b""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._lines.append(_json_line(record, self))

    def run(self) -> None:
        """Write the queued lines periodically until killed."""
        while True:
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as many queued lines as standard output accepts without blocking."""
        if self._dropped_lines and len(self._lines) < MAX_QUEUED_LINES:
            self._lines.append(
                json.dumps({"part": "logs", "dropped": self._dropped_lines})
            )
            self._dropped_lines = 0
        if self._lines and not self._unwritten:
            self._unwritten = ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(sys.stdout.fileno(), self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]


def install_structured(level: str = "info") -> StructuredHandler:
    """Send all log records to standard output as JSON lines, without blocking.

    The ``run`` method of the returned handler writes them.
    """
    _verbosity.is_debug_enabled = level == "debug"
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

"""Logging: short sentences behind the name of the part that speaks."""

import json
import sys
from typing import Literal

import logbook

LogFormat = Literal["text", "json"]

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


def _json_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    fields.update(record.kwargs)
    return json.dumps(fields, default=str)

"""Strict parser of HTTP requests for every interface of the daemon.

A request whose end is ambiguous is refused, and its connection is closed.
Otherwise the bytes that follow could be read as a request of another client
(request smuggling; RFC 9112, sections 5 and 6.3).
"""

import json
import re
from email.message import Message
from http import HTTPStatus

import eventlet
from eventlet import wsgi

from corianderpitch.domain.outcomes import OutcomeKind

MAX_COUNT_DIGITS = 18  # fits into 64 bits
ARRIVAL_POLLS = 3  # to accept a connection, start its green thread and read a request
_TOKEN_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


def limit_headers(total_bytes: int) -> None:
    """Set the size limit of the header section, in bytes, for all later requests."""
    wsgi.MAX_TOTAL_HEADER_SIZE = total_bytes
    wsgi.MAX_HEADER_LINE = total_bytes


def read_arrived_requests() -> None:
    """Let the servers of this process read the requests that have arrived.

    A stopping entry calls this before it closes connections. Once the process has
    been held up, timers that are due come before connections with unread requests.
    """
    for _ in range(ARRIVAL_POLLS):
        eventlet.sleep(0)


def parse_count(text: str) -> int | None:
    """Return the number in a header or path, or ``None`` if the text is no number.

    A number consists of at most ``MAX_COUNT_DIGITS`` ASCII digits.

    >>> parse_count("120")
    120
    >>> parse_count("-1") is None
    True
    """
    if len(text) > MAX_COUNT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def framing_problem(headers: Message) -> str | None:
    """Return why the end of a request is ambiguous, or ``None`` if it is not.

    >>> headers = Message()
    >>> headers["Content-Length"] = "5"
    >>> headers["Content-Length"] = "6"
    >>> framing_problem(headers)
    'Content-Length is given twice'
    """
    if headers.defects:
        return "a header line is malformed"
    for name, value in headers.items():
        if not _TOKEN_PATTERN.fullmatch(name) or "\r" in value or "\n" in value:
            return "a header line is malformed"
    lengths = headers.get_all("Content-Length", [])
    if len(lengths) > 1:
        return "Content-Length is given twice"
    if lengths and parse_count(lengths[0]) is None:
        return "Content-Length is not a number"
    if lengths and "Transfer-Encoding" in headers:
        return "Content-Length and Transfer-Encoding are given together"
    return None


class StrictProtocol(wsgi.HttpProtocol):
    """Reads requests for ``eventlet.wsgi`` and refuses malformed ones."""

    def parse_request(self) -> bool:
        """Read the request line and headers; return ``False`` if they are refused."""
        try:
            if not super().parse_request():
                return False
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            detail = "the headers are too large"
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, detail)
            return False
        problem = framing_problem(self.headers)
        if problem is not None:
            self._refuse(HTTPStatus.BAD_REQUEST, problem)
            return False
        return True

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Refuse a request with the JSON body that all refusals of the daemon have."""
        self._refuse(HTTPStatus(code), message or HTTPStatus(code).phrase)

    def _refuse(self, status: HTTPStatus, detail: str) -> None:
        self.close_connection = True
        body = json.dumps({"outcome": OutcomeKind.NOT_RUN.value, "detail": detail})
        lines = (
            f"HTTP/1.1 {int(status)} {status.phrase}",
            f"X-Outcome: {OutcomeKind.NOT_RUN.value}",
            "Content-Type: application/json",
            f"Content-Length: {len(body.encode())}",
            "Connection: close",
            "",
            body,
        )
        self.wfile.write("\r\n".join(lines).encode())
        self.wfile.flush()

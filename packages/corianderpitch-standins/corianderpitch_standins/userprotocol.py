"""Requests and replies of the stand-ins for the users' platform."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    ``name`` is the last part of the path, ``fields`` are those of the JSON body and of
    the query. The others come from headers: ``holder`` and ``fence`` of an order, and
    ``instance``, the worker that a call is meant for.
    """

    name: str
    fields: dict[str, Any]
    holder: str = ""
    fence: int = 0
    instance: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply with a JSON body."""

    status: int
    body: dict[str, Any]

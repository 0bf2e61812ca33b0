"""Replies of the stand-ins that speak the users' platform's HTTP interface."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply with a JSON body."""

    status: int
    body: dict[str, Any]

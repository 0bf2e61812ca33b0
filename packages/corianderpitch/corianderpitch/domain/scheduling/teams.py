"""Teams that submit jobs: their keys, weights and quotas."""

import hashlib
from dataclasses import dataclass
from typing import NewType

from corianderpitch.domain.quotas import Quota
from corianderpitch.ids import TeamName

KeyDigest = NewType("KeyDigest", bytes)


@dataclass(frozen=True, slots=True)
class Team:
    """A team, with its share of the room and the limit on what it has running.

    ``weight`` is its share where there is not enough room for all, and the jobs a
    second that it is owed.
    """

    name: TeamName
    weight: float
    quota: Quota


def digest_key(key: str) -> KeyDigest:
    """Return the digest by which a key is kept and compared."""
    return KeyDigest(hashlib.sha256(key.encode()).digest())

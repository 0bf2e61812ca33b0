"""Choice of one member per key by rendezvous (highest random weight) hashing.

The method is due to Thaler and Ravishankar (1998). The owner of a key changes only
when that owner leaves, or when a new member has a higher weight for the key.
"""

import hashlib
from collections.abc import Iterable

from corianderpitch.ids import EntryId


def choose_owner(key: str, members: Iterable[EntryId]) -> EntryId | None:
    """Return the member with the highest weight for ``key``.

    Returns ``None`` if there are no members.
    """
    return max(members, key=lambda member: _weight(key, member), default=None)


def _weight(key: str, member: EntryId) -> tuple[bytes, str]:
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return digest, member

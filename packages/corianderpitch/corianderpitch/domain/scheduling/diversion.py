"""Which of its two partitions a job's rows are taken from.

The load it answers: some partitions of the store refuse for seconds while the others
work, in the turn of a queue whose jobs they hold. A job that its home partition does
not take is handed in at its fallback partition instead, so that its caller is served.

An entry that does so cannot know what the home partition holds: the same job may have
been taken there before, or be taken there later. The holder therefore decides once,
and records every job that it serves from its fallback partition before it starts
anything of it. A successor goes by that record, and needs to read just the one
partition that a job is served from.
"""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlaceView:
    """What is known of a job in one of its partitions."""

    is_read: bool
    has_rows: bool = False


class Place(enum.Enum):
    """Where a job is served from.

    ``UNKNOWN`` waits for a partition that could not be read. ``TO_DIVERT`` must be
    recorded before the job is served from its fallback partition; ``TO_RETURN`` must
    be struck off the record, for the job's rows there were deleted long after its end.
    """

    UNKNOWN = "unknown"
    NOWHERE = "nowhere"
    HOME = "home"
    FALLBACK = "fallback"
    TO_DIVERT = "to_divert"
    TO_RETURN = "to_return"


def choose_place(home: PlaceView, fallback: PlaceView, is_diverted: bool) -> Place:
    """Return where a job is served from.

    >>> away, empty, full = PlaceView(False), PlaceView(True), PlaceView(True, True)
    >>> choose_place(full, away, False), choose_place(away, full, False)
    (<Place.HOME: 'home'>, <Place.UNKNOWN: 'unknown'>)
    >>> choose_place(empty, full, False), choose_place(full, full, True)
    (<Place.TO_DIVERT: 'to_divert'>, <Place.FALLBACK: 'fallback'>)
    """
    if is_diverted:
        if not fallback.is_read:
            return Place.UNKNOWN
        return Place.FALLBACK if fallback.has_rows else Place.TO_RETURN
    if not home.is_read:
        return Place.UNKNOWN
    if home.has_rows:
        return Place.HOME
    return Place.TO_DIVERT if fallback.has_rows else Place.NOWHERE

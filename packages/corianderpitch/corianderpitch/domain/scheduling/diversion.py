"""Choice between the two partitions that may hold a job's rows.

Some partitions of the store refuse calls for seconds while the others work, also
during the peak of a queue whose jobs they hold. A job that its home partition refuses
is submitted to its fallback partition instead, so that its caller is served.

An entry that diverts a job cannot read the home partition: the same job may have been
stored there before, or may be stored there later. The role holder therefore decides
once, and records every job that it serves from its fallback partition before it
starts any of the job's tasks. A successor follows that record, and needs to read only
the partition that a job is served from.
"""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartitionView:
    """A job's rows in one of its partitions, as far as it could be read.

    ``has_ended`` tells whether they hold the job's final state.
    """

    is_read: bool
    has_rows: bool = False
    has_ended: bool = False


class JobLocation(enum.Enum):
    """Partition that a job is served from.

    ``UNKNOWN`` means that a partition could not be read yet. A job with
    ``TO_DIVERT`` must be recorded before it is served from its fallback partition.
    A job with ``TO_RETURN`` must be removed from the record: its rows in the fallback
    partition were deleted long after its end.
    """

    UNKNOWN = "unknown"
    NOWHERE = "nowhere"
    HOME = "home"
    FALLBACK = "fallback"
    TO_DIVERT = "to_divert"
    TO_RETURN = "to_return"


def locate_job(
    home: PartitionView, fallback: PartitionView, is_diverted: bool
) -> JobLocation:
    """Return the partition that a job is served from.

    An end in the fallback partition was moved there by a predecessor, which may have
    failed to record that. It takes precedence over the rows in the home partition.

    >>> unread, empty = PartitionView(False), PartitionView(True)
    >>> full = PartitionView(True, True)
    >>> locate_job(full, unread, False), locate_job(unread, full, False)
    (<JobLocation.HOME: 'home'>, <JobLocation.UNKNOWN: 'unknown'>)
    >>> locate_job(empty, full, False), locate_job(full, full, True)
    (<JobLocation.TO_DIVERT: 'to_divert'>, <JobLocation.FALLBACK: 'fallback'>)
    """
    if is_diverted:
        if not fallback.is_read:
            return JobLocation.UNKNOWN
        return JobLocation.FALLBACK if fallback.has_rows else JobLocation.TO_RETURN
    if not home.is_read:
        return JobLocation.UNKNOWN
    if home.has_ended or (home.has_rows and not fallback.has_ended):
        return JobLocation.HOME
    return JobLocation.TO_DIVERT if fallback.has_rows else JobLocation.NOWHERE

"""Exceptions and error values, one type for each kind of failure."""

import enum
from dataclasses import dataclass

from corianderpitch.domain.problems import Problem
from corianderpitch.domain.vms import VmRefusal
from corianderpitch.ids import EntryId, JobId, Revision, VmId, WaveName


class CorianderpitchError(Exception):
    """Base of all errors raised by this project."""


class SlotAccountingError(CorianderpitchError):
    """The slot ledger reported a free slot but could not grant it."""

    def __init__(self, owner: EntryId):
        super().__init__(f"slot accounting of {owner} is inconsistent")


class WireError(CorianderpitchError):
    """The data is not a valid message of the peer protocol."""


class MalformedData(CorianderpitchError, ValueError):
    """A row or a response cannot be read, because another program wrote it wrongly.

    The message names the field and never contains its value, which may be large.
    """


class SettingsError(CorianderpitchError):
    """A setting is missing or has a value that is not allowed.

    ``source`` names the flag or environment variable, and ``allowed`` describes
    the allowed values.
    """

    def __init__(self, name: str, source: str, allowed: str):
        super().__init__(f"{name} (from {source}): {allowed}")
        self.name = name
        self.source = source
        self.allowed = allowed


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not accept the request, which had no effect.

    ``was_answered`` is set if the platform refused the request, and clear if the
    request did not reach it.
    """

    detail: str
    was_answered: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """The platform's answer was lost; the request may have taken effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class RowConflict:
    """A check of a transaction failed, so nothing was written.

    ``keys`` lists the rows with a failed check.
    """

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueueFull:
    """A queue takes no more jobs until some of its open ones have ended."""

    queue: str


@dataclass(frozen=True, slots=True)
class JobIdTaken:
    """Another team has submitted a job with this id."""

    job_id: JobId


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The platform refused the request because of a rate limit; it had no effect."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has discarded the requested changes; all rows must be read again."""


class WorkerProblem(enum.Enum):
    """Reason why there is no report from a worker.

    ``UNREACHABLE``: the request could not be sent. ``UNANSWERED``: it was sent, but
    no answer came back. ``SUPERSEDED``: the worker has received a higher fence
    number. ``OTHER_INCARNATION``: another process than the expected one runs at
    the worker's address. ``UNHEALTHY``: the worker is overloaded or
    unavailable. ``MALFORMED``: the answer is not valid.
    """

    UNREACHABLE = "unreachable"
    UNANSWERED = "silent"
    SUPERSEDED = "superseded"
    OTHER_INCARNATION = "other_life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class WorkerError:
    """There is no usable report from a worker."""

    problem: WorkerProblem


PlatformError = PlatformUnavailable | OutcomeLost | RateLimited
CommitError = PlatformError | RowConflict


@dataclass(frozen=True, slots=True)
class InstanceUnreachable:
    """The connection could not be opened, so nothing was sent to the instance."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class InstanceRefused:
    """The instance reported that it did not run the request.

    ``is_leaving`` is set if it refused because it is about to exit.
    """

    vm_id: VmId
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class InstanceTimedOut:
    """No complete answer arrived before the deadline; the request may have run."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class InstanceDisconnected:
    """The connection ended before the whole answer arrived.

    The request may have run.
    """

    vm_id: VmId


InstanceError = (
    InstanceUnreachable | InstanceRefused | InstanceTimedOut | InstanceDisconnected
)


@dataclass(frozen=True, slots=True)
class ConfigInvalid:
    """The fleet file has problems, so no change was accepted."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class ConfigConflict:
    """Another change was accepted first.

    ``head_revision`` and ``author`` are those of the latest accepted change.
    ``difference`` shows what has changed since ``based_on``.
    """

    head_revision: Revision
    based_on: Revision
    author: str
    difference: str


@dataclass(frozen=True, slots=True)
class VmRefused:
    """The state of the VM does not allow the request.

    ``nearest`` suggests the pool whose name is closest to an unknown one.
    """

    vm_id: VmId
    refusal: VmRefusal
    nearest: str = ""


class WaveRefusal(enum.Enum):
    """Reason for which a request about a wave is refused."""

    EXISTS = "exists"
    NO_SUCH_WAVE = "no_such_wave"
    NO_VMS = "no_vms"
    NO_SUCH_POOL = "no_such_pool"
    BAD_CONCURRENCY = "bad_concurrency"
    IS_OVER = "is_over"


@dataclass(frozen=True, slots=True)
class WaveRefused:
    """The state of the wave does not allow the request."""

    wave: WaveName
    refusal: WaveRefusal


@dataclass(frozen=True, slots=True)
class NoSuchRevision:
    """The table has no such revision of the configuration."""

    revision: Revision


class JobRefusal(enum.Enum):
    """Reason for which a job is refused or cannot be cancelled."""

    TOO_LARGE = "too_large"
    OVER_QUOTA = "over_quota"
    NO_SUCH_JOB = "no_such_job"
    HAS_ENDED = "has_ended"
    NO_SUCH_SITE = "no_such_site"


@dataclass(frozen=True, slots=True)
class JobRefused:
    """The job can never run, or its state does not allow the request."""

    job_id: JobId
    refusal: JobRefusal


OperationError = (
    CommitError
    | JobRefused
    | ConfigInvalid
    | ConfigConflict
    | VmRefused
    | WaveRefused
    | NoSuchRevision
)

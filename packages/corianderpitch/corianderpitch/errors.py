"""Every failure of the project, each with its own type."""

import enum
from dataclasses import dataclass

from corianderpitch.domain.problems import Problem
from corianderpitch.domain.vms import VmRefusal
from corianderpitch.ids import EntryId, JobId, Revision, VmId, WaveName


class CorianderpitchError(Exception):
    """Base of all errors raised by this project."""


class SlotAccountingError(CorianderpitchError):
    """The slot ledger reported a free slot that it could not grant."""

    def __init__(self, owner: EntryId):
        super().__init__(f"slot accounting of {owner} is inconsistent")


class WireError(CorianderpitchError):
    """A peer sent bytes that are not a message of this protocol."""


class SettingsError(CorianderpitchError):
    """A setting is missing or not allowed.

    ``source`` names the flag or environment variable.
    """

    def __init__(self, name: str, source: str, allowed: str):
        super().__init__(f"{name} (from {source}): {allowed}")
        self.name = name
        self.source = source
        self.allowed = allowed


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not take the request; it had no effect.

    ``was_answered`` tells a refusal of the platform from one that it never got.
    """

    detail: str
    was_answered: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """The platform's answer was lost; the request may have had its effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class RowConflict:
    """A transaction's check failed; nothing was written."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The platform refused the request for its rate; it had no effect."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes asked for; all must be read anew."""


class WorkerProblem(enum.Enum):
    """Why a worker gave no list."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    SUPERSEDED = "superseded"
    OTHER_LIFE = "other_life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class WorkerError:
    """A worker gave no list that can be used."""

    problem: WorkerProblem


PlatformError = PlatformUnavailable | OutcomeLost | RateLimited
CommitError = PlatformError | RowConflict


@dataclass(frozen=True, slots=True)
class InstanceUnreachable:
    """No byte of the request reached the instance."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class InstanceRefused:
    """The instance said that it did not run the request."""

    vm_id: VmId
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class InstanceSilent:
    """The request was sent and no answer came in time."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class InstanceBrokeOff:
    """The connection ended before the whole answer had arrived."""

    vm_id: VmId


InstanceError = (
    InstanceUnreachable | InstanceRefused | InstanceSilent | InstanceBrokeOff
)


@dataclass(frozen=True, slots=True)
class ConfigInvalid:
    """The fleet file has problems; nothing was accepted."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class ConfigConflict:
    """Another change was accepted first; ``difference`` shows what it changed."""

    head_revision: Revision
    based_on: Revision
    author: str
    difference: str


@dataclass(frozen=True, slots=True)
class VmRefused:
    """The request does not fit the state that the VM is in."""

    vm_id: VmId
    refusal: VmRefusal
    nearest: str = ""


class WaveRefusal(enum.Enum):
    """Why a request about a wave is refused."""

    EXISTS = "exists"
    NO_SUCH_WAVE = "no_such_wave"
    NO_VMS = "no_vms"
    NO_SUCH_POOL = "no_such_pool"
    BAD_CONCURRENCY = "bad_concurrency"
    IS_OVER = "is_over"


@dataclass(frozen=True, slots=True)
class WaveRefused:
    """The request does not fit the state that the wave is in."""

    wave: WaveName
    refusal: WaveRefusal


@dataclass(frozen=True, slots=True)
class NoSuchRevision:
    """The table holds no such revision."""

    revision: Revision


class JobRefusal(enum.Enum):
    """Why a job is refused or cannot be cancelled."""

    TOO_LARGE = "too_large"
    OVER_QUOTA = "over_quota"
    NO_SUCH_JOB = "no_such_job"
    HAS_ENDED = "has_ended"
    NO_SUCH_SITE = "no_such_site"


@dataclass(frozen=True, slots=True)
class JobRefused:
    """A job that can never run, or a request that does not fit its state."""

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

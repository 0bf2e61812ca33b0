"""Rows of the platform's table: their keys, contents and encoding."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar

import msgpack
import pydantic

from corianderpitch.domain.membership import MemberInfo
from corianderpitch.ids import (
    DataCenterId,
    EntryId,
    JobId,
    OperationId,
    Revision,
    WaveName,
    WorkerId,
)

CONFIG_HEAD_KEY = "config/head"
CONFIG_REVISION_PREFIX = "config/revision/"
FLEET_PREFIX = "fleet/"
MEMBER_PREFIX = "member/"
WAVE_PREFIX = "wave/"

RowValue = TypeVar("RowValue")


@dataclass(frozen=True, slots=True)
class AcceptedOperation:
    """An operation id and the revision that it led to."""

    operation_id: OperationId
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One accepted revision of the configuration.

    ``recent`` lists the latest operations, so that an operator whose answer
    was lost learns on retry that the change is accepted.
    """

    revision: Revision
    based_on: Revision
    operation_id: OperationId
    author: str
    accepted_ms: int
    base_text: str
    overlay_texts: Mapping[DataCenterId, str]
    recent: tuple[AcceptedOperation, ...] = ()


@dataclass(frozen=True, slots=True)
class RoleEpoch:
    """Who holds a role; ``epoch`` grows with every holder.

    ``taken_ms`` is the table's own time of the taking, 0 where it has no clock.
    """

    holder: EntryId
    epoch: int
    taken_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleBeat:
    """Renewal of a role's lease, sent at ``sent_ms`` of the table's own time."""

    epoch: int
    sequence: int
    sent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CandidateRecord:
    """An entry that may hold a role, its cores, and the table's time of the row."""

    processors: float
    sent_ms: float


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """An entry's lease; a row that stays unchanged has lapsed."""

    info: MemberInfo
    sequence: int


@dataclass(frozen=True, slots=True)
class JobInbox:
    """Jobs that were submitted or cancelled since the scheduler last looked.

    ``must_rescan`` stands for more changes than are listed.
    """

    job_ids: tuple[JobId, ...] = ()
    must_rescan: bool = False


@dataclass(frozen=True, slots=True)
class WorkerMarks:
    """Workers of a data centre that operators have taken out of service."""

    drained: frozenset[WorkerId] = frozenset()


def job_prefix(data_center: DataCenterId) -> str:
    """Return the prefix of the keys of a data centre's jobs."""
    return f"job/{data_center}/"


def job_key(data_center: DataCenterId, job_id: JobId) -> str:
    """Return the key of a job."""
    return f"{job_prefix(data_center)}{job_id}"


def job_inbox_key(data_center: DataCenterId) -> str:
    """Return the key of the list of changed jobs."""
    return f"jobinbox/{data_center}"


def worker_marks_key(data_center: DataCenterId) -> str:
    """Return the key of the workers taken out of service."""
    return f"workermarks/{data_center}"


def fleet_key(data_center: DataCenterId) -> str:
    """Return the key of a data centre's VMs."""
    return f"{FLEET_PREFIX}{data_center}"


def member_key(info: MemberInfo) -> str:
    """Return the key of an entry's lease."""
    return f"{MEMBER_PREFIX}{info.data_center}/{info.entry}"


def wave_key(name: WaveName) -> str:
    """Return the key of a wave."""
    return f"{WAVE_PREFIX}{name}"


def config_revision_key(revision: Revision) -> str:
    """Return the key of one accepted revision; keys sort by revision."""
    return f"{CONFIG_REVISION_PREFIX}{revision:012d}"


def encode_row(value: Any) -> bytes:
    """Return the compressed bytes of a row's value."""
    plain = _adapter(type(value)).dump_python(value, mode="json")
    return zlib.compress(msgpack.packb(plain), level=1)


def decode_row(row_type: type[RowValue], data: bytes) -> RowValue:
    """Read a row's value back."""
    plain = msgpack.unpackb(zlib.decompress(data))
    return _adapter(row_type).validate_python(plain)


@cache
def _adapter(row_type: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(row_type)

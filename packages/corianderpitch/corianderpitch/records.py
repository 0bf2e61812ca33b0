"""Rows of the platform's table: their keys, contents and encoding."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar

import msgpack
import pydantic

from corianderpitch.domain.membership import MemberInfo
from corianderpitch.errors import MalformedData
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
    """An operation id and the revision that resulted from it."""

    operation_id: OperationId
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One accepted revision of the configuration.

    ``recent`` lists the latest operations, so that an operator's client that
    retries after a lost answer is told that the change is accepted.
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
    """Holder of a role; ``epoch`` increases with every change of the holder.

    ``taken_ms`` is the time by the table's clock at which the holder acquired the
    role, or 0 if the table has no clock.
    """

    holder: EntryId
    epoch: int
    taken_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleHeartbeat:
    """Renewal of a role's lease, sent at ``sent_ms`` by the table's clock."""

    epoch: int
    sequence: int
    sent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CandidateRecord:
    """An entry that may hold a role.

    ``processors`` is its number of cores, and ``sent_ms`` the time by the table's
    clock at which the row was written.
    """

    processors: float
    sent_ms: float


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """An entry's lease, which expires unless the row changes.

    ``sequence`` increases with every renewal.
    """

    info: MemberInfo
    sequence: int


@dataclass(frozen=True, slots=True)
class JobInbox:
    """Jobs submitted or cancelled since the scheduler last emptied the inbox.

    ``must_rescan`` is set when there are too many changes to list, so that the
    scheduler has to read all jobs.
    """

    job_ids: tuple[JobId, ...] = ()
    must_rescan: bool = False


@dataclass(frozen=True, slots=True)
class DrainedWorkers:
    """Workers of a data centre that operators have taken out of service."""

    drained: frozenset[WorkerId] = frozenset()


def job_prefix(data_center: DataCenterId) -> str:
    """Return the key prefix of a data centre's jobs."""
    return f"job/{data_center}/"


def job_key(data_center: DataCenterId, job_id: JobId) -> str:
    """Return the key of a job."""
    return f"{job_prefix(data_center)}{job_id}"


def job_inbox_key(data_center: DataCenterId) -> str:
    """Return the key of a data centre's :class:`JobInbox`."""
    return f"jobinbox/{data_center}"


def drained_workers_key(data_center: DataCenterId) -> str:
    """Return the key of a data centre's :class:`DrainedWorkers`."""
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
    """Return the key of a revision; the keys sort in the order of the revisions."""
    return f"{CONFIG_REVISION_PREFIX}{revision:012d}"


def encode_row(value: Any) -> bytes:
    """Encode a row's value as compressed MessagePack."""
    encodable = _type_adapter(type(value)).dump_python(value, mode="json")
    return zlib.compress(msgpack.packb(encodable), level=1)


def decode_row(row_type: type[RowValue], data: bytes) -> RowValue:
    """Decode a row's value, the inverse of :func:`encode_row`.

    Raises
    ------
    MalformedData
        If the value is not an encoded ``row_type``.
    """
    try:
        decoded = msgpack.unpackb(zlib.decompress(data))
        return _type_adapter(row_type).validate_python(decoded)
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise MalformedData(f"not a {row_type.__name__}") from error


@cache
def _type_adapter(row_type: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(row_type)

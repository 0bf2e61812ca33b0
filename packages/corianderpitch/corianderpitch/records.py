"""Rows of the platform's table: their keys, contents and encoding."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar

import msgpack
import pydantic

from corianderpitch.domain.membership import MemberInfo
from corianderpitch.domain.vms import SiteFleet
from corianderpitch.domain.waves import Wave
from corianderpitch.ids import (
    DataCenterId,
    EntryId,
    OperationId,
    Revision,
    WaveName,
)

CONFIG_HEAD_KEY = "config/head"
CONFIG_REVISION_PREFIX = "config/revision/"
FLEET_PREFIX = "fleet/"
MEMBER_PREFIX = "member/"
WAVE_PREFIX = "wave/"
MANAGER_EPOCH_KEY = "manager/epoch"
MANAGER_BEAT_KEY = "manager/beat"

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
class ManagerEpoch:
    """Who holds the manager role; ``epoch`` grows with every holder."""

    holder: EntryId
    epoch: int


@dataclass(frozen=True, slots=True)
class ManagerBeat:
    """Renewal of the manager's lease."""

    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """An entry's lease; a row that stays unchanged has lapsed."""

    info: MemberInfo
    sequence: int


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


__all__ = [
    "AcceptedOperation",
    "ConfigRecord",
    "ManagerBeat",
    "ManagerEpoch",
    "MemberRecord",
    "SiteFleet",
    "Wave",
    "config_revision_key",
    "decode_row",
    "encode_row",
    "fleet_key",
    "member_key",
    "wave_key",
]

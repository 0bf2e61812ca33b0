"""Encoding of peer messages: one MessagePack array per message.

A message is a frozen data class registered with :func:`message`. Its encoding is
``[kind, field, field, ...]``, with enums as their values and nested data classes
as arrays.

>>> @message(99)
... @dataclass(frozen=True, slots=True)
... class Ping:
...     sequence: int
>>> Decoder().feed(encode(Ping(7)))
[Ping(sequence=7)]
"""

import dataclasses
import enum
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass  # noqa: F401 - used by the example above
from functools import cache
from typing import Any

import msgpack

from corianderpitch.errors import WireError

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_kind_by_type: dict[type, int] = {}
_type_by_kind: dict[int, type] = {}
_SCALARS = frozenset({int, float, str, bytes, bool, type(None)})
_reader_by_type: dict[type, Callable[[Any], Any]] = {}


def message(kind: int) -> Callable[[type], type]:
    """Register a data class as the message type with the number ``kind``."""

    def register(cls: type) -> type:
        if kind in _type_by_kind:
            raise WireError(f"message kind {kind} is already registered")
        _kind_by_type[cls] = kind
        _type_by_kind[kind] = cls
        return cls

    return register


def encode(value: Any) -> bytes:
    """Encode one message."""
    return msgpack.packb([_kind_by_type[type(value)], *_encodable_fields(value)])


class Decoder:
    """Incremental decoder of a stream of messages."""

    def __init__(self):
        self._unpacker = msgpack.Unpacker(
            use_list=True, max_buffer_size=MAX_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> list[Any]:
        """Append ``data`` to the stream and return the messages that it completes.

        Raises
        ------
        WireError
            If the stream contains anything but valid messages of registered types.
        """
        try:
            self._unpacker.feed(data)
            return [_read_message(item) for item in self._unpacker]
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise WireError(f"cannot decode the stream: {error}") from error


def message_types() -> frozenset[type]:
    """Return every registered message type."""
    return frozenset(_type_by_kind.values())


def _encodable_fields(value: Any) -> list[Any]:
    return [_encodable(getattr(value, name)) for name in _field_names(type(value))]


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def _encodable(value: Any) -> Any:
    if type(value) in _SCALARS:
        return value
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple | frozenset):
        return [_encodable(item) for item in value]
    if dataclasses.is_dataclass(value):
        return _encodable_fields(value)
    return value


def _read_message(item: Any) -> Any:
    if not isinstance(item, list) or not item or item[0] not in _type_by_kind:
        raise WireError("not a message of a registered kind")
    return _reader(_type_by_kind[item[0]])(item[1:])


def _reader(annotation: Any) -> Callable[[Any], Any]:
    """Return the function that converts a decoded value to the annotated type."""
    while isinstance(annotation, typing.NewType):
        annotation = annotation.__supertype__
    if annotation not in _reader_by_type:
        _reader_by_type[annotation] = _make_reader(annotation)
    return _reader_by_type[annotation]


def _make_reader(annotation: Any) -> Callable[[Any], Any]:
    origin = typing.get_origin(annotation)
    if origin in (tuple, frozenset):
        return _sequence_reader(origin, typing.get_args(annotation)[0])
    if origin in (typing.Union, types.UnionType):
        return _optional_reader(typing.get_args(annotation))
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return annotation
    if dataclasses.is_dataclass(annotation):
        return _dataclass_reader(annotation)
    return _scalar_reader(annotation)


def _sequence_reader(origin: type, item_type: Any) -> Callable[[Any], Any]:
    read_item = _reader(item_type)

    def read(value: Any) -> Any:
        return origin(read_item(item) for item in value)

    return read


def _optional_reader(options: tuple[Any, ...]) -> Callable[[Any], Any]:
    value_type = next(option for option in options if option is not type(None))
    read_value = _reader(value_type)

    def read(value: Any) -> Any:
        return None if value is None else read_value(value)

    return read


def _dataclass_reader(cls: type) -> Callable[[Any], Any]:
    hints = typing.get_type_hints(cls)
    readers = [_reader(hints[field.name]) for field in dataclasses.fields(cls)]

    def read(values: Any) -> Any:
        if not isinstance(values, list) or len(values) != len(readers):
            raise WireError(f"{cls.__name__} has the wrong number of fields")
        pairs = zip(readers, values, strict=True)
        return cls(*[read_field(value) for read_field, value in pairs])

    return read


def _scalar_reader(cls: type) -> Callable[[Any], Any]:
    accepted_types = (int, float) if cls is float else (cls,)

    def read(value: Any) -> Any:
        if not isinstance(value, accepted_types):
            raise WireError(f"expected {cls.__name__}, got {type(value).__name__}")
        return value

    return read

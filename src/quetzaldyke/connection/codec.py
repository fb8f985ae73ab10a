"""Converts messages to and from rows: the kind followed by the fields.

`frames.py` encodes rows with msgpack. Decoding checks kind, field count and
field types, so that a message of an incompatible peer is rejected clearly.
"""

from __future__ import annotations

import types
import typing
from dataclasses import fields
from typing import Final, TypeVar

from quetzaldyke.connection.frames import FrameError
from quetzaldyke.connection.messages import Message

MessageT = TypeVar('MessageT', bound=Message)


def field_classes(annotation: object) -> tuple[type, ...]:
    """Return the classes accepted for a field with this annotation."""
    origin = typing.get_origin(annotation)
    if origin is types.UnionType or origin is typing.Union:
        return tuple(
            one
            for part in typing.get_args(annotation)
            for one in field_classes(part)
        )
    concrete = origin or annotation
    if concrete is float:
        return (float, int)
    return (concrete,) if isinstance(concrete, type) else (object,)


def message_fields(
    message_type: type[Message],
) -> tuple[tuple[str, tuple[type, ...]], ...]:
    """Return the names and accepted classes of a message's fields."""
    hints = typing.get_type_hints(message_type)
    return tuple(
        (one.name, field_classes(hints[one.name]))
        for one in fields(message_type)
    )


MESSAGE_TYPES: Final = {
    message_type.kind: message_type for message_type in Message.__subclasses__()
}
# `slots=True` makes dataclass create a second class that replaces the original;
# both are subclasses, and of two with the same kind the later one is used.
FIELDS_BY_KIND: Final = {
    kind: message_fields(message_type)
    for kind, message_type in MESSAGE_TYPES.items()
}


def register_message(message_type: type[MessageT]) -> type[MessageT]:
    """Register a message that is defined in another module."""
    MESSAGE_TYPES[message_type.kind] = message_type
    FIELDS_BY_KIND[message_type.kind] = message_fields(message_type)
    return message_type


def to_row(message: Message) -> list[object]:
    """Return the row of a message."""
    expected_fields = FIELDS_BY_KIND[message.kind]
    return [
        message.kind,
        *(getattr(message, name) for name, _ in expected_fields),
    ]


def from_row(row: list[object]) -> Message:
    """Return the message of a row; raises FrameError if it is invalid.

    >>> from quetzaldyke.connection.messages import Cancel
    >>> from_row(to_row(Cancel('r1')))
    Cancel(request_id='r1')
    """
    kind, *values = row
    message_type = MESSAGE_TYPES.get(kind) if isinstance(kind, int) else None
    if message_type is None:
        raise FrameError(f'unknown message kind {kind!r}')
    expected_fields = FIELDS_BY_KIND[message_type.kind]
    if len(values) != len(expected_fields):
        raise FrameError(f'{message_type.__name__}: wrong field count')
    for (name, classes), value in zip(expected_fields, values, strict=True):
        if not isinstance(value, classes):
            raise FrameError(f'{message_type.__name__}.{name}: wrong type')
    return message_type(*values)

"""Messages by which processes exchange configuration versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from quetzaldyke.connection.codec import register_message
from quetzaldyke.connection.messages import Message


@register_message
@dataclass(slots=True)
class ConfigRequest(Message):
    """The sender has `version` and asks for the receiver's version.

    Version 0 asks for the full document.
    """

    kind: ClassVar[int] = 56
    version: int


@register_message
@dataclass(slots=True)
class ConfigDelta(Message):
    """The patches from `base_version` to `version`."""

    kind: ClassVar[int] = 57
    base_version: int
    version: int
    patches: list[bytes]  # zlib-compressed JSON, one for each version
    digest: str  # of the document at `version`


@register_message
@dataclass(slots=True)
class VersionQuery(Message):
    """Asks an entry which processes have reported this version."""

    kind: ClassVar[int] = 58
    query_id: int
    version: int
    timeout_ms: int


@register_message
@dataclass(slots=True)
class VersionReply(Message):
    """Reply once all connected processes have the version, or at timeout.

    `reached` concatenates the 8-byte hashes of the names of the processes
    that have it, so that a reply for 500 processes takes 4 KB.
    """

    kind: ClassVar[int] = 59
    query_id: int
    reached: bytes

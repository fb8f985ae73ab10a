"""Messages about batch segments between entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from quetzaldyke.connection.codec import register_message
from quetzaldyke.connection.messages import Message


@register_message
@dataclass(slots=True)
class SegmentState(Message):
    """Reply of a segment's owner; `state` is open, done or closed."""

    kind: ClassVar[int] = 60
    job_id: str
    segment: int
    state: str
    finished: int
    failed: int
    waiting: int  # items that were not started

"""Decides when an event stream without length or chunks counts as whole.

Failure pattern: an endpoint, or its system after a crash, closes the
connection cleanly between two events. Nothing in such an answer tells it from
a whole one. What can be asked for once more behind its last event tells it:

* an answer that brings a further event proves that the one before was cut;
* an answer with length or chunks that ends without an event proves the end;
* an answer without them that ends without an event says what the one before
  said. Two endpoints that say so independently are believed, or one that says
  so twice while there is no other.

The endpoints to ask are those that may still get the request. Answers with
length or chunks are never confirmed: their own end proves them.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

# Statements of the same end that are believed.
AGREEING_ENDS: Final = 2


@dataclass(slots=True)
class StreamEnds:
    """Endpoints whose answers ended cleanly behind the same event.

    >>> ends = StreamEnds()
    >>> ends.add(20, 'a')
    >>> ends.agree({'a', 'b'})
    False
    >>> ends.add(20, 'b')
    >>> ends.agree({'a', 'b'})
    True
    >>> ends.add(60, 'b')
    >>> ends.endpoints
    ['b']
    """

    last_event: int = 0
    endpoints: list[str] = field(default_factory=list)

    def add(self, last_event: int, endpoint_id: str) -> None:
        """Record an answer that ended; an end elsewhere drops all others."""
        if last_event != self.last_event:
            self.last_event = last_event
            self.endpoints.clear()
        self.endpoints.append(endpoint_id)

    def agree(self, usable: Collection[str]) -> bool:
        """Return whether the end is proven, with the endpoints to ask."""
        if len(self.endpoints) < AGREEING_ENDS:
            return False
        asked = set(self.endpoints)
        return len(asked) >= AGREEING_ENDS or asked.issuperset(usable)

    def asked(self, last_event: int) -> frozenset[str]:
        """Return the endpoints that have stated an end behind an event."""
        if last_event != self.last_event:
            return frozenset()
        return frozenset(self.endpoints)

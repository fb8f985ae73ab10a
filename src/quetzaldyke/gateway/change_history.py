"""Keeps the latest changes of a key prefix, for entries that missed some.

Load pattern: a few values, such as the configuration, are large and change
often. The oldest changes are dropped beyond a bound on their bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.transactions import WatchedChange

# The last change is kept whatever its size.
MAX_HISTORY_BYTES: Final = 131_072


def size_of(changes: Collection[WatchedChange]) -> int:
    """Return the bytes of the keys and values of changes."""
    return sum(len(change.key) + len(change.value or b'') for change in changes)


@dataclass(slots=True)
class ChangeHistory:
    """All changes after a revision, in order.

    >>> history = ChangeHistory()
    >>> history.restart(4)
    >>> history.add([WatchedChange('a', 5, b'1'), WatchedChange('a', 7, b'2')])
    >>> [change.revision for change in history.since(4)]
    [5, 7]
    >>> history.since(7), history.since(3)
    ((), None)
    """

    # The changes up to this revision were dropped.
    dropped: int = 0
    changes: deque[WatchedChange] = field(default_factory=deque)
    size: int = 0

    def restart(self, revision: int) -> None:
        """Drop all changes; those after a revision will follow."""
        self.dropped = revision
        self.changes.clear()
        self.size = 0

    def add(self, changes: Collection[WatchedChange]) -> None:
        """Add the changes that follow the last ones."""
        self.changes.extend(changes)
        self.size += size_of(changes)
        while self.size > MAX_HISTORY_BYTES and len(self.changes) > 1:
            oldest = self.changes.popleft()
            self.size -= size_of([oldest])
            self.dropped = oldest.revision

    def since(self, revision: int) -> tuple[WatchedChange, ...] | None:
        """Return the changes after a revision; None if some were dropped."""
        if revision < self.dropped:
            return None
        return tuple(
            change for change in self.changes if change.revision > revision
        )

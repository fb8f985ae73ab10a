"""Records concurrent operations and checks their consistency.

Start and end are positions in one sequence, so that the order of operations
can be compared without a clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True)
class Operation:
    """One operation with its start, end and value.

    `end` is None while the operation runs or if its result is unknown; such
    an operation may take effect at any later time.
    """

    name: str  # 'run', 'write' or 'read'
    key: str
    start: int
    end: int | None = None
    value: object = None
    revision: int = 0


@dataclass(slots=True)
class History:
    """Operations of all processes, ordered by start."""

    operations: list[Operation] = field(default_factory=list)
    position: int = 0

    def next_position(self) -> int:
        """Return the next position of the sequence."""
        self.position += 1
        return self.position

    def begin(self, name: str, key: str, value: object = None) -> Operation:
        """Record the start of an operation."""
        operation = Operation(name, key, self.next_position(), value=value)
        self.operations.append(operation)
        return operation

    def finish(self, operation: Operation) -> None:
        """Record that an operation has succeeded."""
        operation.end = self.next_position()

    @contextmanager
    def during(
        self,
        name: str,
        key: str,
        value: object = None,
    ) -> Iterator[Operation]:
        """Record an operation that succeeds when the block ends.

        Its end stays None if the block raises.
        """
        operation = self.begin(name, key, value)
        yield operation
        self.finish(operation)

    def named(self, name: str) -> list[Operation]:
        """Return the operations with this name."""
        return [one for one in self.operations if one.name == name]


def duplicate_runs(history: History) -> list[str]:
    """Return the keys that were run more than once."""
    runs = Counter(one.key for one in history.named('run'))
    return sorted(key for key, count in runs.items() if count > 1)


def lost_writes(history: History) -> list[Operation]:
    """Return acknowledged writes that a later read of the key missed.

    A read that began after a write was acknowledged must return its value or
    that of a concurrent or later write.
    """
    lost = []
    writes = history.named('write')
    for read in history.named('read'):
        allowed = allowed_values(read, writes)
        if allowed is not None and read.value not in allowed:
            lost.extend(acknowledged_before(read, writes))
    return lost


def acknowledged_before(
    read: Operation,
    writes: Iterable[Operation],
) -> list[Operation]:
    """Return the writes of a read's key that ended before it began."""
    return [
        one
        for one in writes
        if one.key == read.key and one.end is not None and one.end < read.start
    ]


def allowed_values(
    read: Operation,
    writes: list[Operation],
) -> list[object] | None:
    """Return the values that a read may return; None if any is allowed."""
    before = acknowledged_before(read, writes)
    if not before:
        return None
    newest_start = max(one.start for one in before)
    return [
        one.value
        for one in writes
        if one.key == read.key
        and (one.end is None or one.end >= newest_start)
        and (read.end is None or one.start < read.end)
    ]


def decreasing_revisions(history: History) -> list[tuple[Operation, Operation]]:
    """Return pairs of reads where the later one saw a lower revision."""
    pairs = []
    reads = history.named('read')
    for first in reads:
        for second in reads:
            if first.key != second.key or first.end is None:
                continue
            if first.end < second.start and first.revision > second.revision:
                pairs.append((first, second))
    return pairs


def check(history: History) -> None:
    """Assert no duplicate run, lost write or decreasing revision."""
    assert not duplicate_runs(history)
    assert not lost_writes(history)
    assert not decreasing_revisions(history)

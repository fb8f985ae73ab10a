"""Tests that the history checker finds each kind of inconsistency."""

from __future__ import annotations

import pytest

from history import (
    History,
    Operation,
    decreasing_revisions,
    duplicate_runs,
    lost_writes,
)


def history_of(*operations: Operation) -> History:
    """Return a history with these operations."""
    return History(list(operations))


WRITE = Operation('write', 'k', 1, 2, 'a')


@pytest.mark.parametrize(
    'operations',
    [
        [WRITE, Operation('read', 'k', 3, 4, None)],
        [
            WRITE,
            Operation('write', 'k', 3, 4, 'b'),
            Operation('read', 'k', 5, 6, 'a'),
        ],
        [WRITE, Operation('read', 'k', 3, 4, 'never written')],
        # The read returns a value whose write began after the read had ended.
        [
            WRITE,
            Operation('read', 'k', 3, 4, 'b'),
            Operation('write', 'k', 5, 6, 'b'),
        ],
    ],
)
def test_finds_lost_write(operations: list[Operation]) -> None:
    """Guards against a checker that accepts lost writes."""
    assert lost_writes(history_of(*operations))


@pytest.mark.parametrize(
    'operations',
    [
        [WRITE, Operation('read', 'k', 3, 4, 'a')],
        [WRITE, Operation('read', 'other', 3, 4, None)],
        # The read began before the write was acknowledged.
        [
            Operation('write', 'k', 1, 4, 'a'),
            Operation('read', 'k', 2, 5, None),
        ],
        # A write with unknown result may take effect at any time, or never.
        [
            WRITE,
            Operation('write', 'k', 3, None, 'b'),
            Operation('read', 'k', 5, 6, 'b'),
            Operation('read', 'k', 7, 8, 'a'),
        ],
        # Concurrent writes: either may be the last.
        [
            Operation('write', 'k', 1, 4, 'a'),
            Operation('write', 'k', 2, 3, 'b'),
            Operation('read', 'k', 5, 6, 'b'),
        ],
    ],
)
def test_accepts_correct_reads(operations: list[Operation]) -> None:
    """Guards against errors reported for reads that are allowed."""
    assert not lost_writes(history_of(*operations))


def test_finds_duplicate_run() -> None:
    """Guards against a checker that accepts a duplicate run."""
    run = Operation('run', 'k', 1, None)
    other = Operation('run', 'other', 2, 3)
    assert not duplicate_runs(history_of(run, other))
    assert duplicate_runs(history_of(run, other, Operation('run', 'k', 4)))


@pytest.mark.parametrize(
    ('start', 'end', 'revision', 'found'),
    [(3, 4, 5, True), (3, 4, 7, False), (2, 4, 5, False)],
)
def test_finds_decreasing_revision(
    start: int,
    end: int,
    revision: int,
    found: bool,
) -> None:
    """Guards against a checker that accepts a decreasing revision."""
    history = history_of(
        Operation('read', 'k', 1, 2, revision=6),
        Operation('read', 'k', start, end, revision=revision),
    )
    assert bool(decreasing_revisions(history)) is found

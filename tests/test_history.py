"""Tests of the history checker: it must find each kind of fault."""

from __future__ import annotations

import pytest

from history import (
    History,
    Operation,
    duplicate_runs,
    lost_writes,
    went_back,
)


def history_of(*operations: Operation) -> History:
    """Return a history of given operations."""
    return History(list(operations))


W = Operation('write', 'k', 1, 2, 'a')


@pytest.mark.parametrize(
    'operations',
    [
        [W, Operation('read', 'k', 3, 4, None)],
        [
            W,
            Operation('write', 'k', 3, 4, 'b'),
            Operation('read', 'k', 5, 6, 'a'),
        ],
        [W, Operation('read', 'k', 3, 4, 'never written')],
        # A write that began only after the read had ended.
        [
            W,
            Operation('read', 'k', 3, 4, 'b'),
            Operation('write', 'k', 5, 6, 'b'),
        ],
    ],
)
def test_finds_lost_write(operations: list[Operation]) -> None:
    """Guards against a checker that passes lost writes."""
    assert lost_writes(history_of(*operations))


@pytest.mark.parametrize(
    'operations',
    [
        [W, Operation('read', 'k', 3, 4, 'a')],
        [W, Operation('read', 'other', 3, 4, None)],
        # The read began before the write was acknowledged.
        [
            Operation('write', 'k', 1, 4, 'a'),
            Operation('read', 'k', 2, 5, None),
        ],
        # A write of unknown result may show at any time, or never.
        [
            W,
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
    """Guards against false alarms for reads that are allowed."""
    assert not lost_writes(history_of(*operations))


def test_finds_second_run() -> None:
    """Guards against a checker that passes a doubled run."""
    run = Operation('run', 'k', 1, None)
    other = Operation('run', 'other', 2, 3)
    assert not duplicate_runs(history_of(run, other))
    assert duplicate_runs(history_of(run, other, Operation('run', 'k', 4)))


@pytest.mark.parametrize(
    ('start', 'end', 'revision', 'found'),
    [(3, 4, 5, True), (3, 4, 7, False), (2, 4, 5, False)],
)
def test_finds_older_revision(
    start: int,
    end: int,
    revision: int,
    found: bool,
) -> None:
    """Guards against a checker that passes a value that went back."""
    history = history_of(
        Operation('read', 'k', 1, 2, revision=6),
        Operation('read', 'k', start, end, revision=revision),
    )
    assert bool(went_back(history)) is found

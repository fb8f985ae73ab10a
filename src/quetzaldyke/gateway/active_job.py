"""A job that this entry runs: its items and their progress."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.batch_schedule import Candidate, RunTimes
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    PartialOutput,
)
from quetzaldyke.gateway.model import Route

MS_IN_S: Final = 1000


@dataclass(slots=True)
class ItemProgress:
    """One item that has no result yet."""

    item: int
    record: ItemRecord
    splitter: EventSplitter = field(default_factory=EventSplitter)
    outputs: list[bytes] = field(default_factory=list)
    failures: int = 0
    # Endpoints at which this entry saw it fail.
    failed_at: frozenset[str] = frozenset()
    not_before_s: float = 0.0
    exchange: Exchange | None = None
    endpoint_id: str = ''
    running: bool = False
    finished: bool = False

    @property
    def events_done(self) -> int:
        """Return the number of the last event."""
        return self.splitter.last_id or 0


@dataclass(frozen=True, slots=True)
class FinishedItem:
    """A result that is not listed yet."""

    item: int
    completed: bool
    output: bytes


@dataclass(slots=True)
class ActiveJob:
    """A job that this entry owns and runs."""

    record: JobRecord
    route: Route
    items: dict[int, ItemProgress]
    bodies: dict[int, bytes]
    finished: list[FinishedItem] = field(default_factory=list)
    finished_since_s: float = 0.0
    listing: bool = False
    stopped: bool = False
    saving: bool = False
    saved_s: float = 0.0
    saved_events: int = 0

    @property
    def due_ms(self) -> float:
        """Return the Unix time at which all results are due."""
        assert self.route.batch is not None
        target_ms = self.route.batch.completion_target_s * MS_IN_S
        return self.record.accepted_ms + target_ms

    @property
    def give_up_ms(self) -> float:
        """Return the Unix time from which items may be given up."""
        assert self.route.batch is not None
        return self.record.accepted_ms + self.route.batch.max_wait_s * MS_IN_S

    def candidates(self, now_s: float, times: RunTimes) -> list[Candidate]:
        """Return the items that could start now."""
        left_s = self.due_ms / MS_IN_S - time.time()
        return [
            Candidate(
                self.record.job_id,
                one.item,
                self.due_ms,
                one.events_done,
                left_s < times.left_s(one.events_done),
                one.failed_at,
            )
            for one in self.items.values()
            if not one.running
            and not one.finished
            and one.not_before_s <= now_s
        ]

    def running(self) -> int:
        """Return how many items run."""
        return sum(one.running for one in self.items.values())

    def partials(self) -> list[PartialOutput]:
        """Return what the runs of unfinished items produced."""
        return [
            PartialOutput(
                one.item,
                one.splitter.last_id or 0,
                b'\n'.join(one.outputs),
            )
            for one in self.items.values()
            if one.outputs and not one.finished
        ]

"""The items of a job that this entry runs, and their progress."""

from __future__ import annotations

import math
import time
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.answer_ends import StreamEnds
from quetzaldyke.gateway.batch_schedule import (
    URGENT_RUNS,
    Candidate,
    RunTimeEstimator,
)
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.item_services import Waiting
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    JobTerms,
    PartialOutput,
)
from quetzaldyke.parts.byte_budget import ByteBudget, Holding

MS_IN_S: Final = 1000
# Memory that the data of an event takes beyond its bytes.
EVENT_OVERHEAD_BYTES: Final = 48


@dataclass(slots=True)
class ItemProgress:
    """An item whose result is not yet written, and its runs so far."""

    item: int
    record: ItemRecord
    splitter: EventSplitter = field(default_factory=EventSplitter)
    outputs: list[bytes] = field(default_factory=list)
    # Bytes of the outputs, and what they count for in memory.
    output_bytes: int = 0
    held: Holding | None = None
    failures: int = 0
    # How many of the failed runs the store holds. The item runs again only
    # when that is all: an owner that ends takes no counted failure with it.
    saved_failures: int = 0
    # Endpoints on which it failed in runs by this entry.
    failed_at: frozenset[str] = frozenset()
    not_before_s: float = 0.0
    # Runs that were interrupted since the item last made progress, and the
    # number of its last event then.
    interruptions: int = 0
    interrupted_at_event: int = 0
    exchange: Exchange | None = None
    endpoint_id: str = ''
    # What answers without length or chunks say of its last event.
    ends: StreamEnds = field(default_factory=StreamEnds)
    # Service that its events have come from; empty if that is not known.
    service: str = ''
    running: bool = False
    finished: bool = False

    @property
    def interruptible(self) -> bool:
        """Return whether a run is under way that has not ended yet."""
        exchange = self.exchange
        return (
            self.running
            and exchange is not None
            and exchange.failure is None
            and not exchange.complete
        )

    @property
    def has_unsaved_failure(self) -> bool:
        """Return whether it has failed in a run that the store lacks."""
        return self.failures > self.saved_failures

    def note_interruption(self) -> None:
        """Count a run that an endpoint cut off, if it made no progress."""
        if self.events_done > self.interrupted_at_event:
            self.interruptions = 0
        self.interruptions += 1
        self.interrupted_at_event = self.events_done

    def enter_service(self, service: str) -> None:
        """Note the service of the next run.

        Events of another service are dropped, as an output is never joined
        from two services.
        """
        if self.outputs and self.service not in {'', service}:
            self.start_over()
        self.service = service

    def count_bytes(self, budget: ByteBudget) -> None:
        """Count the outputs against a budget.

        The item that holds the most bytes of all that exceed it starts over.
        """
        self.held = budget.hold(self.evict)

    def restore(self, partial: PartialOutput) -> None:
        """Continue from an output that another owner has saved."""
        self.splitter.last_id = partial.last_event
        self.service = partial.service
        self.add_outputs([partial.output])

    def add_outputs(self, outputs: list[bytes]) -> None:
        """Add the data of further events."""
        self.outputs.extend(outputs)
        added = sum(map(len, outputs)) + len(outputs)
        self.output_bytes += added
        if self.held is not None:
            self.held.grow(added + EVENT_OVERHEAD_BYTES * len(outputs))

    def evict(self) -> None:
        """Drop the outputs and fail the run, if one is under way."""
        budget = self.held.budget if self.held is not None else None
        self.start_over()
        if budget is not None:
            self.count_bytes(budget)
        if self.exchange is not None:
            self.exchange.evict()

    def release(self) -> None:
        """Stop counting the outputs, also those that still arrive."""
        if self.held is not None:
            self.held.release()
            self.held = None

    def withhold(self) -> None:
        """Take a result back that the store can never keep.

        The item does not run again, as it would bring the same, and is failed
        when its wait is over.
        """
        self.start_over()
        self.finished = False
        self.not_before_s = math.inf

    def start_over(self) -> None:
        """Drop the events received so far: the next run begins at the first."""
        self.splitter = EventSplitter()
        self.outputs.clear()
        self.output_bytes = 0
        if self.held is not None:
            self.held.shrink(self.held.size)
        self.ends = StreamEnds()

    @property
    def avoided(self) -> frozenset[str]:
        """Return the endpoints that other ones are preferred to."""
        return self.failed_at | self.ends.asked(self.events_done)

    @property
    def events_done(self) -> int:
        """Return the number of the last event, 0 before the first."""
        return self.splitter.last_id or 0


@dataclass(frozen=True, slots=True)
class FinishedItem:
    """A result that is not yet written to the store."""

    item: int
    completed: bool
    output: bytes


@dataclass(slots=True)
class ActiveJob:
    """A job that this entry owns and runs."""

    record: JobRecord
    terms: JobTerms
    items: dict[int, ItemProgress]
    bodies: dict[int, bytes]
    finished: list[FinishedItem] = field(default_factory=list)
    finished_since_s: float = 0.0
    appending: bool = False
    # When the last write of results or failed runs ended.
    appended_s: float = -math.inf
    # Whether the last write of results failed; the next one waits then.
    append_failed: bool = False
    stopped: bool = False
    saving: bool = False
    saved_s: float = 0.0
    saved_events: int = 0
    # Since when its route has ended and no endpoint takes its items.
    unserved_since_s: float | None = None

    @property
    def due_ms(self) -> float:
        """Return the Unix time at which all results are due."""
        target_ms = self.terms.completion_target_s * MS_IN_S
        return self.record.accepted_ms + target_ms

    @property
    def expires_ms(self) -> float:
        """Return the Unix time from which unfinished items may be failed."""
        return self.record.accepted_ms + self.terms.max_wait_s * MS_IN_S

    def may_run_at(self, service: str) -> bool:
        """Return whether the terms still name a service."""
        return any(share.service == service for share in self.terms.services)

    def count_runs_elsewhere(self) -> int:
        """Return how many runs are at services that the terms don't name."""
        return sum(
            progress.running and not self.may_run_at(progress.service)
            for progress in self.items.values()
        )

    def note_served(self, *, served: bool, now_s: float) -> float:
        """Record whether any endpoint takes items; return since how long not.

        Returns 0 if one does.
        """
        if served:
            self.unserved_since_s = None
            return 0.0
        if self.unserved_since_s is None:
            self.unserved_since_s = now_s
        return now_s - self.unserved_since_s

    def waiting(
        self, now_s: float, estimator: RunTimeEstimator
    ) -> list[Waiting]:
        """Return the items to start or resume, each marked if it is late.

        These are neither running nor finished nor delayed for a retry.
        """
        left_s = self.due_ms / MS_IN_S - time.time()
        return [
            Waiting(
                Candidate(
                    self.record.job_id,
                    progress.item,
                    self.due_ms,
                    progress.events_done,
                    left_s < estimator.remaining_s(progress.events_done),
                    progress.avoided,
                    left_s
                    < URGENT_RUNS * estimator.remaining_s(progress.events_done),
                    self.record.organisation,
                ),
                progress.record.item_id,
                self.terms.services,
                progress.service if progress.events_done else '',
            )
            for progress in self.items.values()
            if not progress.running
            and not progress.finished
            and not progress.has_unsaved_failure
            and progress.not_before_s <= now_s
        ]

    def exhausted(self) -> list[ItemProgress]:
        """Return the unfinished items that have failed in all attempts."""
        return [
            progress
            for progress in self.items.values()
            if not progress.finished
            and progress.failures >= self.terms.max_attempts
        ]

    def failures(self) -> dict[int, int]:
        """Return the failed runs of the items without a listed result.

        Finished items are among them, as their results may not get listed.
        """
        return {
            progress.item: progress.failures
            for progress in self.items.values()
            if progress.failures
        }

    @property
    def has_unsaved_failures(self) -> bool:
        """Return whether the store lacks failed runs or failed items."""
        return any(not row.completed for row in self.finished) or any(
            progress.has_unsaved_failure for progress in self.items.values()
        )

    def partials(self) -> list[PartialOutput]:
        """Return the partial outputs of the unfinished items."""
        return [
            PartialOutput(
                progress.item,
                progress.splitter.last_id or 0,
                b'\n'.join(progress.outputs),
                progress.service,
            )
            for progress in self.items.values()
            if progress.outputs and not progress.finished
        ]


def unlisted_items(
    record: JobRecord, done: Container[int], failures: Mapping[int, int]
) -> dict[int, ItemProgress]:
    """Return the items not in `done`, with the failed runs that are known."""
    return {
        index: ItemProgress(
            index,
            item,
            failures=failures.get(index, 0),
            saved_failures=failures.get(index, 0),
        )
        for index, item in enumerate(record.items)
        if index not in done
    }

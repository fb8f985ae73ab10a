"""Claims offered segments, also those of owners that are gone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Literal

from result import Err, Ok, Result

from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable import inputs, jobs, progress
from quetzaldyke.parts.kv import KeyValueStore, Refused
from quetzaldyke.process.batch_state import OwnedSegment
from quetzaldyke.process.fleet import Fleet

# An owner without a connection for this long counts as gone. A connection
# that only broke is back within a second.
OWNER_ABSENT_S: Final = 4.0

# `taken`: the record has another owner or is closed.
ClaimFailure = Literal['taken', 'not_ready']


@dataclass(slots=True)
class Claims:
    """Claims of one entry."""

    store: KeyValueStore
    fleet: Fleet
    now_s: Callable[[], float]
    # Live entries without a connection, and since when.
    absent: dict[str, float] = field(default_factory=dict)

    def note_absent(self) -> None:
        """Note which entries of the list are not connected."""
        now_s = self.now_s()
        missing = set(self.fleet.live_entries()) - set(self.fleet.entries)
        for name in list(self.absent):
            if name not in missing:
                self.absent.pop(name)
        for name in missing:
            self.absent.setdefault(name, now_s)

    def may_take_from(self, owner: str) -> bool:
        """Tell whether another owner has left.

        An owner that lost its connection may only be paused; it can't write
        any more after the claim.
        """
        if owner == self.fleet.own.instance:
            return True
        if owner not in self.fleet.live_entries():
            return True
        since_s = self.absent.get(owner)
        return since_s is not None and self.now_s() - since_s >= OWNER_ABSENT_S

    async def claim(
        self,
        offer: SegmentOffer,
    ) -> Result[OwnedSegment, ClaimFailure]:
        """Read what a segment needs, then become its owner."""
        found = await jobs.read_job(
            self.store,
            offer.organisation,
            offer.job_id,
        )
        job = found.unwrap_or(None)
        if job is None or job.state != 'in_progress':
            return Err('not_ready')
        segment = job.segments[offer.segment]
        items = await inputs.read_segment(self.store, segment.name)
        if isinstance(items, Err):
            return Err('not_ready')
        claimed = await progress.claim(
            self.store,
            job.job_id,
            offer.segment,
            segment.items,
            self.fleet.own.instance,
            self.may_take_from,
        )
        if isinstance(claimed, Err):
            refused = isinstance(claimed.err_value, Refused)
            return Err('taken' if refused else 'not_ready')
        return Ok(
            OwnedSegment.from_claim(
                job,
                offer.segment,
                claimed.ok_value,
                items.ok_value,
            ),
        )

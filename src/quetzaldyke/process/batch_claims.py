"""Claims offered segments, and takes them over from owners that are gone."""

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

# An owner that was disconnected for this long counts as gone. A connection that
# only broke is restored within a second.
OWNER_DISCONNECT_TIMEOUT_S: Final = 4.0

# `taken`: the record has another owner or is closed. `not_ready`: the job isn't
# in progress, or its records can't be read or written now.
ClaimFailure = Literal['taken', 'not_ready']


@dataclass(slots=True)
class SegmentClaimer:
    """Claims segments for one entry."""

    store: KeyValueStore
    fleet: Fleet
    now_s: Callable[[], float]
    # Live entries without a connection, with the time of the disconnection.
    disconnected_since: dict[str, float] = field(default_factory=dict)

    def update_disconnected(self) -> None:
        """Record which live entries are disconnected, and since when."""
        now_s = self.now_s()
        disconnected = set(self.fleet.live_entries()) - set(self.fleet.entries)
        for name in list(self.disconnected_since):
            if name not in disconnected:
                self.disconnected_since.pop(name)
        for name in disconnected:
            self.disconnected_since.setdefault(name, now_s)

    def may_take_from(self, owner: str) -> bool:
        """Return whether a segment may be claimed from this owner.

        True if the owner is this entry, is no longer listed as live, or was
        disconnected for too long. A disconnected owner may only be paused:
        after the claim its writes are rejected.
        """
        if owner == self.fleet.own.instance:
            return True
        if owner not in self.fleet.live_entries():
            return True
        since_s = self.disconnected_since.get(owner)
        return (
            since_s is not None
            and self.now_s() - since_s >= OWNER_DISCONNECT_TIMEOUT_S
        )

    async def claim(
        self,
        offer: SegmentOffer,
    ) -> Result[OwnedSegment, ClaimFailure]:
        """Read a segment's job and items, then become its owner."""
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

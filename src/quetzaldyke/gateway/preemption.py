"""Decides which batch runs leave an endpoint that has more requests than slots.

Load pattern: entries place requests by counts that are some milliseconds old,
so that now and then two take the same slot. The excess request waits in the
engine's own queue.

A placement that needs the slot of a batch run asks for one run at once. For
what remains, the entry with the most batch runs there preempts runs as soon as
a load report shows it. Runs that the engine has not begun go first: they lose
no work.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.logs import log_event


def has_begun(progress: ItemProgress) -> bool:
    """Return whether the endpoint has begun to answer the current run."""
    return progress.exchange is not None and progress.exchange.head is not None


def run_to_preempt(
    jobs: Iterable[ActiveJob],
    endpoint_id: str,
) -> ItemProgress | None:
    """Return the run on an endpoint that loses the least work; None if none.

    Runs that have not begun go first, then those with the fewest events, then
    those due last.
    """
    runs = [
        (
            has_begun(progress),
            progress.events_done,
            -job.due_ms,
            index,
            progress,
        )
        for job in jobs
        for index, progress in job.items.items()
        if progress.endpoint_id == endpoint_id and progress.interruptible
    ]
    return min(runs, key=lambda run: run[:4])[4] if runs else None


@dataclass(slots=True)
class Preemption:
    """Cancels runs of this entry on endpoints without enough slots."""

    own_id: str
    jobs: Mapping[str, ActiveJob]
    loads: LoadTable
    endpoints: EndpointTable

    def preempt_overfull(self) -> None:
        """Cancel own runs on endpoints that have more requests than slots."""
        for endpoint_id, excess in self.overfull_endpoints().items():
            for _ in range(excess - self.leaving(endpoint_id)):
                self.preempt(endpoint_id, 'endpoint_overfull')

    def leaving(self, endpoint_id: str) -> int:
        """Return how many cancelled own runs still hold a slot."""
        return sum(
            progress.running and not progress.interruptible
            for job in self.jobs.values()
            for progress in job.items.values()
            if progress.endpoint_id == endpoint_id
        )

    def overfull_endpoints(self) -> dict[str, int]:
        """Return the number of own runs that must leave, by endpoint."""
        found: dict[str, int] = {}
        for endpoint_id, running in self.loads.own.items():
            tracked = self.endpoints.by_id.get(endpoint_id)
            if running.batch and tracked is not None:
                slots = tracked.endpoint.slots
                found[endpoint_id] = self.runs_to_preempt(endpoint_id, slots)
        return {key: excess for key, excess in found.items() if excess}

    def preempt(self, endpoint_id: str, reason: str) -> bool:
        """Cancel an own run on an endpoint; return whether there was one.

        `reason` is logged with the load that this entry knows of.
        """
        chosen = run_to_preempt(self.jobs.values(), endpoint_id)
        if chosen is None or chosen.exchange is None:
            return False
        log_event(
            'item_preempted',
            item=chosen.record.item_id,
            endpoint=endpoint_id,
            events=chosen.events_done,
            begun=has_begun(chosen),
            reason=reason,
            own_batch=self.loads.own_counts(endpoint_id).batch,
            online=self.loads.online(endpoint_id),
            total=self.loads.total(endpoint_id),
        )
        chosen.exchange.cancel()
        return True

    def runs_to_preempt(self, endpoint_id: str, slots: int) -> int:
        """Return how many own batch runs must leave an endpoint.

        Only the entry with the most batch runs there preempts any.
        """
        own = self.loads.own_counts(endpoint_id).batch
        excess = self.loads.total(endpoint_id) - slots
        if excess <= 0 or not own:
            return 0
        peers = self.loads.batch_peers(endpoint_id)
        if peers and peers[0] > (own, self.own_id):
            return 0
        return min(own, excess)

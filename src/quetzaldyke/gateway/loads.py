"""Counts the requests on each endpoint over all entries.

Several entries send to the same endpoints at once, and engines admit requests
in order of arrival, so an entry that counted only its own requests would
overload some endpoints while others have free slots.

Each entry counts its own requests exactly and sends the counts to its peers.
The report of a silent peer expires after one second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

PEER_REPORT_TTL_S: Final = 1.0


@dataclass(slots=True)
class RequestCounts:
    """Numbers of online requests and batch items on one endpoint."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Return the sum of online requests and batch items."""
        return self.online + self.batch


# Shared default for endpoints without requests; must not be modified.
NO_REQUESTS: Final = RequestCounts()


@dataclass(slots=True)
class PeerReport:
    """The last load report of one peer."""

    counts: dict[str, RequestCounts]
    # Queued online requests by service.
    waiting: dict[str, int]
    # Batch items that could start if there was capacity.
    pending: int
    received_s: float


@dataclass(slots=True)
class LoadTable:
    """Request counts of this entry and of its peers, by endpoint id."""

    own: dict[str, RequestCounts] = field(default_factory=dict)
    peers: dict[str, PeerReport] = field(default_factory=dict)
    peer_totals: dict[str, RequestCounts] = field(default_factory=dict)

    def own_counts(self, endpoint_id: str) -> RequestCounts:
        """Return this entry's mutable counts; create them on first use."""
        counts = self.own.get(endpoint_id)
        if counts is None:
            counts = self.own[endpoint_id] = RequestCounts()
        return counts

    def online(self, endpoint_id: str) -> int:
        """Return the number of online requests on an endpoint, all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        return (
            own.online + self.peer_totals.get(endpoint_id, NO_REQUESTS).online
        )

    def total(self, endpoint_id: str) -> int:
        """Return the number of all requests on an endpoint, all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        return own.total + self.peer_totals.get(endpoint_id, NO_REQUESTS).total

    def waiting_elsewhere(self, service: str) -> int:
        """Return the number of online requests that are queued at the peers."""
        return sum(
            report.waiting.get(service, 0) for report in self.peers.values()
        )

    def pending_elsewhere(self) -> int:
        """Return the number of batch items that the peers could start."""
        return sum(report.pending for report in self.peers.values())

    def batch_peers(self, endpoint_id: str) -> list[tuple[int, str]]:
        """Return the peers that run batch items on an endpoint.

        Each row holds the number of items and the peer, most items first.
        """
        found = [
            (report.counts[endpoint_id].batch, peer)
            for peer, report in self.peers.items()
            if endpoint_id in report.counts and report.counts[endpoint_id].batch
        ]
        return sorted(found, reverse=True)

    def apply_report(
        self,
        peer: str,
        counts: dict[str, RequestCounts],
        waiting: dict[str, int],
        pending: int,
        now_s: float,
    ) -> None:
        """Replace the load report of a peer."""
        self.peers[peer] = PeerReport(counts, waiting, pending, now_s)
        self.sum_peers()

    def remove_silent_peers(self, now_s: float) -> list[str]:
        """Remove expired peer reports; return the ids of their peers."""
        silent = [
            peer
            for peer, report in self.peers.items()
            if now_s - report.received_s > PEER_REPORT_TTL_S
        ]
        for peer in silent:
            del self.peers[peer]
        if silent:
            self.sum_peers()
        return silent

    def sum_peers(self) -> None:
        """Recompute the sums of the peers' counts by endpoint."""
        sums: dict[str, RequestCounts] = {}
        for report in self.peers.values():
            for endpoint_id, running in report.counts.items():
                counts = sums.setdefault(endpoint_id, RequestCounts())
                counts.online += running.online
                counts.batch += running.batch
        self.peer_totals = sums

    def report(self) -> dict[str, RequestCounts]:
        """Return this entry's counts for the peers, without idle endpoints.

        The counts of idle endpoints are removed.
        """
        self.own = {key: one for key, one in self.own.items() if one.total}
        return self.own

"""How many requests run on each endpoint, over all entries.

Load pattern: several entries fill the same endpoints at once, and engines
admit in order of arrival, so an entry that counts only its own requests
overfills some endpoints while others have room.

Each entry counts its own requests exactly and tells its peers the counts;
what a silent peer said is forgotten after a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

PEER_REPORT_TTL_S: Final = 1.0


@dataclass(slots=True)
class RequestCounts:
    """Requests on one endpoint."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Return all requests."""
        return self.online + self.batch


# Stands for endpoints without requests; never changed.
NO_REQUESTS: Final = RequestCounts()


@dataclass(slots=True)
class PeerReport:
    """The counts of one peer and when they came."""

    counts: dict[str, RequestCounts]
    # Online requests in line by service.
    waiting: dict[str, int]
    # Batch items that could start.
    pending: int
    received_s: float


@dataclass(slots=True)
class LoadTable:
    """Counts of this entry and of its peers, by endpoint id."""

    own: dict[str, RequestCounts] = field(default_factory=dict)
    peers: dict[str, PeerReport] = field(default_factory=dict)
    peer_totals: dict[str, RequestCounts] = field(default_factory=dict)

    def own_counts(self, endpoint_id: str) -> RequestCounts:
        """Return this entry's counts."""
        counts = self.own.get(endpoint_id)
        if counts is None:
            counts = self.own[endpoint_id] = RequestCounts()
        return counts

    def online(self, endpoint_id: str) -> int:
        """Return the online requests of all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        return (
            own.online + self.peer_totals.get(endpoint_id, NO_REQUESTS).online
        )

    def total(self, endpoint_id: str) -> int:
        """Return all requests of all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        return own.total + self.peer_totals.get(endpoint_id, NO_REQUESTS).total

    def waiting_elsewhere(self, service: str) -> int:
        """Return the online requests that wait at the peers."""
        return sum(
            report.waiting.get(service, 0) for report in self.peers.values()
        )

    def pending_elsewhere(self) -> int:
        """Return the batch items that could start at the peers."""
        return sum(report.pending for report in self.peers.values())

    def batch_peers(self, endpoint_id: str) -> list[tuple[int, str]]:
        """Return the peers with batch work on an endpoint, most first."""
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
        """Replace what a peer said."""
        self.peers[peer] = PeerReport(counts, waiting, pending, now_s)
        self.sum_peers()

    def remove_silent_peers(self, now_s: float) -> list[str]:
        """Drop the reports of peers that fell silent."""
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
        """Add up the peers' counts."""
        sums: dict[str, RequestCounts] = {}
        for report in self.peers.values():
            for endpoint_id, running in report.counts.items():
                counts = sums.setdefault(endpoint_id, RequestCounts())
                counts.online += running.online
                counts.batch += running.batch
        self.peer_totals = sums

    def report(self) -> dict[str, RequestCounts]:
        """Return what to tell the peers, and forget idle endpoints."""
        self.own = {key: one for key, one in self.own.items() if one.total}
        return self.own

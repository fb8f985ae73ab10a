"""Counts the requests on each endpoint over all entries.

Several entries send to the same endpoints at once, and engines admit requests
in order of arrival, so an entry that counted only its own requests would
overload some endpoints while others have free slots.

Each entry counts its own requests exactly and sends the counts to its peers.
The report of a silent peer expires after one second.

Load pattern: in a fleet of n entries, n reports arrive for each report sent.
The sums over the peers are therefore kept by difference: a report costs as
much as it has rows, however many peers there are.
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
class EndpointSum:
    """Requests of all peers on one endpoint."""

    online: int = 0
    batch: int = 0
    # Batch items by peer, for the peers that run any.
    batch_by_peer: dict[str, int] = field(default_factory=dict)

    def replace(self, peer: str, old: RequestCounts, new: RequestCounts) -> int:
        """Replace a peer's counts; return the change of the total."""
        self.online += new.online - old.online
        self.batch += new.batch - old.batch
        if new.batch:
            self.batch_by_peer[peer] = new.batch
        else:
            self.batch_by_peer.pop(peer, None)
        return new.total - old.total


@dataclass(slots=True)
class LoadTable:
    """Request counts of this entry and of its peers, by endpoint id."""

    own: dict[str, RequestCounts] = field(default_factory=dict)
    peers: dict[str, PeerReport] = field(default_factory=dict)
    # Kept up to date with `peers`, without zeros: sums by endpoint and by
    # service, and batch items that could start by peer.
    peer_sums: dict[str, EndpointSum] = field(default_factory=dict)
    peer_waiting: dict[str, int] = field(default_factory=dict)
    peer_pending: dict[str, int] = field(default_factory=dict)

    def own_counts(self, endpoint_id: str) -> RequestCounts:
        """Return this entry's mutable counts; create them on first use."""
        counts = self.own.get(endpoint_id)
        if counts is None:
            counts = self.own[endpoint_id] = RequestCounts()
        return counts

    def online(self, endpoint_id: str) -> int:
        """Return the number of online requests on an endpoint, all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        peers = self.peer_sums.get(endpoint_id)
        return own.online + peers.online if peers else own.online

    def total(self, endpoint_id: str) -> int:
        """Return the number of all requests on an endpoint, all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        peers = self.peer_sums.get(endpoint_id)
        if peers is None:
            return own.total
        return own.total + peers.online + peers.batch

    def batch(self, endpoint_id: str) -> int:
        """Return the number of batch items on an endpoint, all entries."""
        own = self.own.get(endpoint_id, NO_REQUESTS)
        peers = self.peer_sums.get(endpoint_id)
        return own.batch + peers.batch if peers else own.batch

    def waiting_elsewhere(self, service: str) -> int:
        """Return the number of online requests that are queued at the peers."""
        return self.peer_waiting.get(service, 0)

    def pending_by_peer(self) -> dict[str, int]:
        """Return the batch items that each peer could start, without zeros."""
        return dict(self.peer_pending)

    def batch_peers(self, endpoint_id: str) -> list[tuple[int, str]]:
        """Return the peers that run batch items on an endpoint.

        Each row holds the number of items and the peer, most items first.
        """
        peers = self.peer_sums.get(endpoint_id)
        if peers is None:
            return []
        rows = [(items, peer) for peer, items in peers.batch_by_peer.items()]
        return sorted(rows, reverse=True)

    def apply_report(
        self,
        peer: str,
        counts: dict[str, RequestCounts],
        waiting: dict[str, int],
        pending: int,
        now_s: float,
    ) -> bool:
        """Replace the load report of a peer; return whether slots came free.

        That is so if the peer has fewer requests on some endpoint than its
        last report said.
        """
        old = self.peers.get(peer, NO_REPORT)
        new = self.peers[peer] = PeerReport(counts, waiting, pending, now_s)
        return self.replace_in_sums(peer, old, new)

    def last_report_s(self, peer: str) -> float | None:
        """Return when the last report of a peer arrived; None if it expired."""
        report = self.peers.get(peer)
        return None if report is None else report.received_s

    def remove_silent_peers(self, now_s: float) -> list[str]:
        """Remove expired peer reports; return the ids of their peers."""
        silent = [
            peer
            for peer, report in self.peers.items()
            if now_s - report.received_s > PEER_REPORT_TTL_S
        ]
        for peer in silent:
            self.replace_in_sums(peer, self.peers.pop(peer), NO_REPORT)
        return silent

    def replace_in_sums(
        self,
        peer: str,
        old: PeerReport,
        new: PeerReport,
    ) -> bool:
        """Replace one report in the sums; return whether slots came free."""
        freed = False
        for endpoint_id in old.counts.keys() | new.counts.keys():
            before = old.counts.get(endpoint_id, NO_REQUESTS)
            after = new.counts.get(endpoint_id, NO_REQUESTS)
            if before != after:
                change = self.replace_counts(peer, endpoint_id, before, after)
                freed |= change < 0
        for service in old.waiting.keys() | new.waiting.keys():
            change = new.waiting.get(service, 0) - old.waiting.get(service, 0)
            waiting = self.peer_waiting.pop(service, 0) + change
            if waiting:
                self.peer_waiting[service] = waiting
        if new.pending:
            self.peer_pending[peer] = new.pending
        else:
            self.peer_pending.pop(peer, None)
        return freed

    def replace_counts(
        self,
        peer: str,
        endpoint_id: str,
        before: RequestCounts,
        after: RequestCounts,
    ) -> int:
        """Replace a peer's counts of one endpoint; return the change."""
        peers = self.peer_sums.get(endpoint_id)
        if peers is None:
            peers = self.peer_sums[endpoint_id] = EndpointSum()
        change = peers.replace(peer, before, after)
        if not peers.online and not peers.batch:
            del self.peer_sums[endpoint_id]
        return change

    def report(self) -> dict[str, RequestCounts]:
        """Return this entry's counts for the peers, without idle endpoints.

        The counts of idle endpoints are removed.
        """
        self.own = {key: one for key, one in self.own.items() if one.total}
        return self.own


# The report of a peer that has not sent one; must not be modified.
NO_REPORT: Final = PeerReport({}, {}, 0, 0.0)

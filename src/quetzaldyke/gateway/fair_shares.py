"""Counts what each organisation has running and waiting, over all entries.

Load pattern: one organisation sends many times its usual to all entries at
once. Each entry for itself would see a share of it that looks modest, and
together they would give it every slot.

Each entry counts its own requests by service and organisation. It tells its
peers only of organisations with requests in its queue, and of those that would
be beyond their share if all entries ran as many of their requests; idle ones
cost nothing. A report replaces the one before and expires with its sender.
Until a report arrives, and for rows that found no room in one, each entry
shares by what it counts itself.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, TypeVar

from quetzaldyke.gateway.loads import PEER_REPORT_TTL_S
from quetzaldyke.gateway.wait_queue import WaitQueue
from quetzaldyke.parts.fair_order import FlowTable, equal_weight

# Rows of online requests, and of batch items, in one report: with names of
# usual length they fit one datagram that is not split.
MAX_ROWS: Final = 16
# An organisation that a peer told of counts as active for this time: requests
# of small ones come and go, and each would find the slots taken anew.
ACTIVE_S: Final = 2.0

KeyT = TypeVar('KeyT')


@dataclass(frozen=True, slots=True)
class RequestRow:
    """Online requests of an organisation for a service, at one entry."""

    service: str
    organisation: str
    # The most urgent priority of those that wait.
    priority: int
    running: int
    waiting: int


@dataclass(slots=True)
class PeerRows:
    """The rows of a peer's last report."""

    rows: tuple[RequestRow, ...]
    received_s: float


@dataclass(slots=True)
class FairShares:
    """Requests by service and organisation, of this entry and its peers."""

    # Returns the weight of an organisation.
    weight_of: Callable[[str], float] = equal_weight
    tables: dict[str, FlowTable] = field(default_factory=dict)
    peers: dict[str, PeerRows] = field(default_factory=dict)
    # Requests that wait at peers, by service, then by organisation and
    # priority; without zeros.
    waiting: dict[str, dict[tuple[str, int], int]] = field(default_factory=dict)

    def table(self, service: str) -> FlowTable:
        """Return what organisations hold of a service."""
        known = self.tables.get(service)
        if known is None:
            known = self.tables[service] = FlowTable(
                lambda flow: self.weight_of(flow)
            )
        return known

    def apply(
        self, peer: str, rows: tuple[RequestRow, ...], now_s: float
    ) -> None:
        """Replace the rows of a peer."""
        old = self.peers.pop(peer, None)
        if old is not None:
            self.add(old.rows, -1)
        if rows:
            self.peers[peer] = PeerRows(rows, now_s)
            self.add(rows, 1)
        for row in rows:
            active = self.table(row.service).active_elsewhere
            active[row.organisation] = now_s

    def add(self, rows: Iterable[RequestRow], sign: int) -> None:
        """Add rows to the sums, or subtract them."""
        for row in rows:
            running = self.table(row.service).elsewhere
            add_nonzero(running, row.organisation, sign * row.running)
            waiting = self.waiting.setdefault(row.service, {})
            key = (row.organisation, row.priority)
            add_nonzero(waiting, key, sign * row.waiting)

    def remove_silent_peers(self, now_s: float) -> None:
        """Drop what silent peers told, and organisations not told of lately."""
        for peer, known in list(self.peers.items()):
            if now_s - known.received_s > PEER_REPORT_TTL_S:
                self.apply(peer, (), now_s)
        for table in self.tables.values():
            for flow, told_s in list(table.active_elsewhere.items()):
                if now_s - told_s > ACTIVE_S:
                    del table.active_elsewhere[flow]

    def is_shared(self, service: str, queue: WaitQueue) -> bool:
        """Return whether requests of organisations use or wait for a service.

        If not, all requests are one line.
        """
        table = self.table(service)
        return (
            any(table.running)
            or any(table.active_elsewhere)
            or any(one.flow for one in queue.requests)
        )

    def waiting_elsewhere(self, service: str, flow: str) -> int:
        """Return how many requests of an organisation wait at peers."""
        return sum(
            count
            for (other, _), count in self.waiting.get(service, {}).items()
            if other == flow
        )

    def count_ahead(
        self,
        service: str,
        queue: WaitQueue,
        elsewhere: int,
        priority: int,
        flow: str,
    ) -> int:
        """Return how many waiting requests are served before a new one.

        `elsewhere` counts all that wait at peers; those that no row tells of
        are taken to be ahead.
        """
        ahead, equals = own_line(queue, priority)
        told = 0
        for (other, urgency), count in self.waiting.get(service, {}).items():
            told += count
            if urgency < priority:
                ahead += count
            elif urgency == priority:
                equals[other] = equals.get(other, 0) + count
        ahead += max(0, elsewhere - told)
        return ahead + self.table(service).count_ahead(flow, equals)

    def count_before(
        self, service: str, queue: WaitQueue, priority: int, flow: str
    ) -> int:
        """Return how many requests of this queue are served before a new one."""
        ahead, equals = own_line(queue, priority)
        return ahead + self.table(service).count_ahead(flow, equals)

    def rows(
        self,
        service: str,
        queue: WaitQueue,
        slots: float,
        entries: int,
    ) -> list[RequestRow]:
        """Return this entry's rows of a service for its peers."""
        table = self.table(service)
        waiting: dict[str, int] = {}
        urgency: dict[str, int] = {}
        for one in queue.requests:
            if not one.cancelled:
                waiting[one.flow] = waiting.get(one.flow, 0) + 1
                known = urgency.get(one.flow, one.priority)
                urgency[one.flow] = min(known, one.priority)
        if not any(waiting) and not any(table.running):
            return []
        share = slots / max(table.active_weight(), 1.0)
        return [
            RequestRow(
                service,
                flow,
                urgency.get(flow, 0),
                table.running.get(flow, 0),
                waiting.get(flow, 0),
            )
            for flow in table.running.keys() | waiting.keys()
            if flow in waiting
            or table.running[flow] * entries > share * self.weight_of(flow)
        ]

    def heaviest(self, rows: Iterable[RequestRow]) -> tuple[RequestRow, ...]:
        """Return as many rows as a report holds, the heaviest first."""

        def weigh(row: RequestRow) -> tuple[float, str, str]:
            requests = row.running + row.waiting
            load = requests / self.weight_of(row.organisation)
            return load, row.organisation, row.service

        return tuple(heapq.nlargest(MAX_ROWS, rows, key=weigh))


def own_line(queue: WaitQueue, priority: int) -> tuple[int, dict[str, int]]:
    """Return the number of more urgent requests, and the equals by flow."""
    ahead = 0
    equals: dict[str, int] = {}
    for one in queue.requests:
        if one.cancelled:
            continue
        if one.priority < priority:
            ahead += 1
        elif one.priority == priority:
            equals[one.flow] = equals.get(one.flow, 0) + 1
    return ahead, equals


def add_nonzero(sums: dict[KeyT, int], key: KeyT, change: int) -> None:
    """Add to a sum; remove it if it becomes zero."""
    total = sums.pop(key, 0) + change
    if total:
        sums[key] = total

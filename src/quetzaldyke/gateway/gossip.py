"""Datagrams between entries: load reports, crashes and preemption requests.

Slots are taken and released many times a second, far faster than the store
could propagate. A report holds the complete load of its sender, so the next
one makes up for a lost datagram. The interval between reports grows with the
number of peers, so that the traffic of one entry stays bounded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, cast

import msgpack

from quetzaldyke.gateway.loads import RequestCounts
from quetzaldyke.parts.suspects import CrashTable

MIN_INTERVAL_S: Final = 0.005
INTERVAL_PER_PEER_S: Final = 0.0005
# Longest time between two reports: one is sent even if nothing changed, so
# that peers can tell that this entry is alive.
HEARTBEAT_S: Final = 0.3

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The sender's load by endpoint id, and its connection to the store."""

    sender: str
    counts: dict[str, RequestCounts]
    # Online requests that are queued at the sender, by service.
    waiting: dict[str, int]
    # Batch items that the sender could start if there was capacity.
    pending: int
    # For how long the sender has reached the platform's store directly; 0 if
    # it currently does not.
    store_up_s: float


@dataclass(frozen=True, slots=True)
class PreemptBatch:
    """Asks the receiver to preempt one of its batch runs on an endpoint."""

    sender: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Announces that a caller has ended a job."""

    sender: str
    job_id: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Announces endpoint crashes that happened while requests ran.

    Both tables map request fingerprints to crash ids, as defined in
    `parts/suspects.py`.
    """

    sender: str
    crashes: CrashTable
    cleared: CrashTable


GossipMessage = LoadReport | PreemptBatch | JobEnded | CrashReport


def encode(message: GossipMessage) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case LoadReport(sender, counts, waiting, pending, store_up_s):
            rows = [[key, one.online, one.batch] for key, one in counts.items()]
            row = [rows, waiting, pending, store_up_s]
            return bytes(msgpack.packb(['load', sender, row]))
        case PreemptBatch(sender, endpoint_id):
            return bytes(msgpack.packb(['room', sender, endpoint_id]))
        case JobEnded(sender, job_id):
            return bytes(msgpack.packb(['ended', sender, job_id]))
        case CrashReport(sender, crashes, cleared):
            return bytes(msgpack.packb(['crash', sender, [crashes, cleared]]))


def decode(datagram: bytes) -> GossipMessage | None:
    """Decode a datagram; return None if it is malformed or of unknown type.

    >>> decode(encode(PreemptBatch('a', 'e1')))
    PreemptBatch(sender='a', endpoint_id='e1')
    >>> decode(b'?')
    """
    try:
        kind, sender, content = msgpack.unpackb(datagram)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    if kind == 'room':
        return PreemptBatch(sender, content)
    if kind == 'ended':
        return JobEnded(sender, content)
    if kind == 'crash':
        return CrashReport(sender, *content)
    if kind == 'load':
        rows, waiting, pending, store_up_s = content
        counts = {
            key: RequestCounts(online, batch) for key, online, batch in rows
        }
        return LoadReport(sender, counts, waiting, pending, store_up_s)
    return None


@dataclass(slots=True)
class Gossip(asyncio.DatagramProtocol):
    """Datagram endpoint that exchanges messages with the peers of an entry."""

    own_id: str
    make_report: Callable[[], LoadReport]
    on_message: Callable[[GossipMessage], None]
    peers: dict[str, Address] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    changed: bool = False
    last_report_s: float = 0.0
    report_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass readable messages of other entries to the callback."""
        message = decode(data)
        if message is not None and message.sender != self.own_id:
            self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; a peer that has gone is removed by its lease."""

    def interval_s(self) -> float:
        """Return the minimum time between two reports."""
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * len(self.peers))

    def note_change(self) -> None:
        """Schedule a report; changes until it is sent are part of it."""
        if self.report_timer is not None or self.transport is None:
            return
        loop = asyncio.get_running_loop()
        due_s = max(0.0, self.last_report_s + self.interval_s() - loop.time())
        self.report_timer = loop.call_later(due_s, self.send_report)

    def send_report(self) -> None:
        """Send this entry's load report to all peers."""
        self.report_timer = None
        self.last_report_s = asyncio.get_running_loop().time()
        self.broadcast(self.make_report())

    async def heartbeat(self) -> None:
        """Send a report if the last one is older than the heartbeat."""
        if asyncio.get_running_loop().time() - self.last_report_s > HEARTBEAT_S:
            self.send_report()

    def broadcast(self, message: GossipMessage) -> None:
        """Send a message to all peers."""
        datagram = encode(message)
        for address in self.peers.values():
            self.send_to(address, datagram)

    def send(self, peer: str, message: GossipMessage) -> None:
        """Send a message to one peer; ignore unknown peers."""
        address = self.peers.get(peer)
        if address is not None:
            self.send_to(address, encode(message))

    def send_to(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; drop it if the socket is not open yet."""
        if self.transport is not None:
            self.transport.sendto(datagram, address)

    def close(self) -> None:
        """Cancel a scheduled report and close the socket."""
        if self.report_timer is not None:
            self.report_timer.cancel()
        if self.transport is not None:
            self.transport.close()

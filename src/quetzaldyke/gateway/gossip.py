"""Datagrams between entries: what runs where, what broke, what to preempt.

Load pattern: slots change hands many times a second, far faster than the
store could tell. Reports hold the whole state of their sender, so a lost
datagram is mended by the next one; the interval grows with the number of
peers, so that the traffic of one entry stays bounded.
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
# Sent even if nothing changed, so that peers know that this entry lives.
HEARTBEAT_S: Final = 0.3

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests of the sender by endpoint id, and whether it has a store."""

    sender: str
    counts: dict[str, RequestCounts]
    # Online requests that wait for a slot at the sender, by service.
    waiting: dict[str, int]
    # Batch items that could start at the sender, were there room.
    pending: int
    # For how long the sender itself has reached the platform's store; 0 when
    # it does not.
    store_up_s: float


@dataclass(frozen=True, slots=True)
class PreemptBatch:
    """Asks the receiver to stop one batch run on an endpoint."""

    sender: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Tells that a job was ended by its caller."""

    sender: str
    job_id: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tells of endpoints that broke while they ran requests.

    Both tables hold crash ids by fingerprint, as `parts/suspects.py` has
    them.
    """

    sender: str
    crashes: CrashTable
    cleared: CrashTable


GossipMessage = LoadReport | PreemptBatch | JobEnded | CrashReport


def encode(message: GossipMessage) -> bytes:
    """Return the datagram of a message."""
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
    """Return the message of a datagram, or None if it is not readable.

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
    """The datagram socket of one entry."""

    own_id: str
    make_report: Callable[[], LoadReport]
    on_message: Callable[[GossipMessage], None]
    peers: dict[str, Address] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    changed: bool = False
    last_report_s: float = 0.0
    report_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a readable message over."""
        message = decode(data)
        if message is not None and message.sender != self.own_id:
            self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer that is not there; it leaves by its lease."""

    def interval_s(self) -> float:
        """Return the shortest time between two reports."""
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * len(self.peers))

    def note_change(self) -> None:
        """Send a report soon; changes in the meantime share it."""
        if self.report_timer is not None or self.transport is None:
            return
        loop = asyncio.get_running_loop()
        due_s = max(0.0, self.last_report_s + self.interval_s() - loop.time())
        self.report_timer = loop.call_later(due_s, self.send_report)

    def send_report(self) -> None:
        """Tell all peers the own counts."""
        self.report_timer = None
        self.last_report_s = asyncio.get_running_loop().time()
        self.broadcast(self.make_report())

    async def heartbeat(self) -> None:
        """Report if nothing was sent lately."""
        if asyncio.get_running_loop().time() - self.last_report_s > HEARTBEAT_S:
            self.send_report()

    def broadcast(self, message: GossipMessage) -> None:
        """Send a message to all peers."""
        datagram = encode(message)
        for address in self.peers.values():
            self.send_to(address, datagram)

    def send(self, peer: str, message: GossipMessage) -> None:
        """Send a message to one peer."""
        address = self.peers.get(peer)
        if address is not None:
            self.send_to(address, encode(message))

    def send_to(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that can't be sent is as good as lost."""
        if self.transport is not None:
            self.transport.sendto(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        if self.report_timer is not None:
            self.report_timer.cancel()
        if self.transport is not None:
            self.transport.close()

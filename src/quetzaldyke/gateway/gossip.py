"""Exchanges datagrams between entries, and sends load reports.

Slots are taken and released many times a second, far faster than the store
could propagate. A report holds the complete load of its sender, so the next
one makes up for a lost datagram. The interval between reports grows with the
number of peers, so that the traffic of one entry stays bounded. Peers that
rarely send to the same endpoints, those in other failure domains, can be sent
fewer reports.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from typing import Any, Final, cast

from quetzaldyke.gateway.gossip_messages import (
    GossipMessage,
    LoadReport,
    decode,
    encode,
)
from quetzaldyke.gateway.job_records import Member

MIN_INTERVAL_S: Final = 0.005
INTERVAL_PER_PEER_S: Final = 0.0005
# Longest time between two reports: one is sent even if nothing changed, so
# that peers can tell that this entry is alive.
HEARTBEAT_S: Final = 0.3
# Least time between two reports to peers in other failure domains.
FAR_INTERVAL_S: Final = 0.25

Address = tuple[str, int]


@dataclass(slots=True)
class Gossip(asyncio.DatagramProtocol):
    """Datagram endpoint that exchanges messages with the peers of an entry."""

    own_id: str
    make_report: Callable[[], LoadReport]
    on_message: Callable[[GossipMessage], None]
    peers: dict[str, Address] = field(default_factory=dict)
    # Addresses of other entries that are heard: one that is being stopped is no
    # member any more, but still serves open connections.
    senders: dict[str, Address] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    # Whether the last report said that this entry reaches the store.
    reported_store: bool = False
    # Peers that get reports at longer intervals.
    far_peers: frozenset[str] = frozenset()
    # Whether they do: not while requests go to all endpoints alike.
    far_reports_rare: bool = True
    last_report_s: float = 0.0
    last_far_report_s: float = 0.0
    report_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass readable messages of other entries to the callback."""
        message = decode(data)
        if message is None or message.sender == self.own_id:
            return
        if message.sender not in self.peers:
            self.senders[message.sender] = addr
        self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; a peer that has gone is removed by its lease."""

    def set_members(
        self, members: Iterable[Member], near_domain: str = ''
    ) -> None:
        """Replace the peers; those that have left still get reports.

        Two that leave at the same moment would otherwise lose each other.
        Peers outside `near_domain` are far away; none are if it is empty.
        """
        members = list(members)
        self.far_peers = frozenset(
            member.owner_id
            for member in members
            if near_domain and member.failure_domain not in {'', near_domain}
        )
        peers = {
            member.owner_id: (member.host, member.port)
            for member in members
            if member.owner_id != self.own_id
        }
        for left in self.peers.keys() - peers.keys():
            self.senders[left] = self.peers[left]
        self.peers = peers

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
        """Send this entry's load report to the peers and other senders.

        Leaves out those that are far away if they got one a moment ago.
        """
        self.report_timer = None
        now_s = asyncio.get_running_loop().time()
        self.last_report_s = now_s
        report = self.make_report()
        receivers = {*self.peers, *self.senders}
        # The loss of the store concerns followers in any domain.
        lost = self.reported_store and not report.store_up_s
        rare = self.far_reports_rare and not lost
        if not rare or now_s - self.last_far_report_s >= FAR_INTERVAL_S:
            self.last_far_report_s = now_s
        else:
            receivers -= self.far_peers
        self.reported_store = report.store_up_s > 0
        self.send(receivers, report)

    async def heartbeat(self) -> None:
        """Send a report if the last one to any peer is too old."""
        oldest_s = self.last_report_s
        if self.far_peers:
            oldest_s = min(oldest_s, self.last_far_report_s)
        if asyncio.get_running_loop().time() - oldest_s > HEARTBEAT_S:
            self.send_report()

    def broadcast(self, message: GossipMessage) -> None:
        """Send a message to all peers."""
        self.send(self.peers, message)

    def send(self, peers: Iterable[str], message: GossipMessage) -> None:
        """Send a message to some peers; ignore unknown ones."""
        datagram = encode(message)
        for peer in peers:
            address = self.address_of(peer)
            if address is not None:
                self.send_to(address, datagram)

    def address_of(self, peer: str) -> Address | None:
        """Return the address of a peer or another sender; None if unknown."""
        return self.peers.get(peer) or self.senders.get(peer)

    def send_to(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; drop it if the socket is not open yet."""
        if self.transport is not None:
            self.transport.sendto(datagram, address)

    def keep_senders(self, heard: Container[str]) -> None:
        """Drop the addresses of senders that are no longer heard."""
        for sender in list(self.senders):
            if sender not in heard or sender in self.peers:
                del self.senders[sender]

    def close(self) -> None:
        """Cancel a scheduled report and close the socket."""
        if self.report_timer is not None:
            self.report_timer.cancel()
        if self.transport is not None:
            self.transport.close()

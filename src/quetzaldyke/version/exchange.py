"""Exchanges configuration versions over the existing peer connections.

A process announces its version; one that is behind requests what it lacks
from one peer at a time. If peers pushed instead, each of the 500 peers of a
restarted entry would send it the whole document. A peer that stays behind
without a request is sent the whole document, so that a peer that can't
send requests gets it too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.config_messages import ConfigDelta, ConfigRequest
from quetzaldyke.connection.messages import (
    ConfigPush,
    ConfigVersion,
    Heartbeat,
    Message,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.timers import Clock
from quetzaldyke.version.holder import ConfigHolder

CHECK_INTERVAL_S: Final = 0.25
# A reply takes one round trip; after this time another peer is asked.
REQUEST_TIMEOUT_S: Final = 1.0
# Sidecars connect to several entries, and the first push normally makes the
# others unnecessary. Each entry therefore adds a random delay.
PUSH_DELAY_S: Final = 0.5
PUSH_JITTER_S: Final = 1.5
PUSH_RETRY_S: Final = 3.0
# A peer of an older release may reject every push; the time between pushes
# doubles up to 96 s.
MAX_PUSH_DOUBLINGS: Final = 5
# Largest size of a delta relative to the document. A delta costs the
# receiver a replay of the patches, which has to be worth the bytes saved.
MAX_DELTA_RATIO: Final = 0.5

Random = Callable[[], float]


@dataclass(slots=True)
class PeerState:
    """Version that a connected peer reported, and the pushes to it."""

    session: PeerSession
    version: int
    # When the next push is due if the peer stays behind; 0 when it is not.
    push_at_s: float = 0.0
    pushes: int = 0


@dataclass(slots=True)
class ConfigExchange:
    """Versions of the connected peers, and the request in progress."""

    holder: ConfigHolder
    clock: Clock
    random: Random
    peers: dict[int, PeerState] = field(default_factory=dict)
    requested_peer: PeerSession | None = None
    requested_at_s: float = 0.0
    # Counters for metrics and measurements.
    sent_deltas: int = 0
    sent_documents: int = 0

    def add_peer(self, session: PeerSession) -> None:
        """Add a connection, with the version in its Hello message."""
        self.peers[id(session)] = PeerState(session, 0)
        # Our own Hello may predate a version adopted in the meantime.
        session.send(ConfigVersion(self.holder.version))
        self.record_version(session, session.remote.config_version)

    def remove_closed_peers(self) -> None:
        """Remove the peers whose connection is closed."""
        for key, peer in list(self.peers.items()):
            if peer.session.closed:
                self.peers.pop(key)

    def reported_version(self, instance: str) -> int | None:
        """Return the version that a process last reported.

        None if it is not connected.
        """
        for peer in self.peers.values():
            if peer.session.remote.instance == instance:
                return None if peer.session.closed else peer.version
        return None

    def highest_peer_version(self) -> int:
        """Return the highest version of the connected peers, or 0."""
        return max(
            (peer.version for peer in self.open_peers()),
            default=0,
        )

    def open_peers(self) -> list[PeerState]:
        """Return the peers whose connection is open."""
        return [peer for peer in self.peers.values() if not peer.session.closed]

    async def on_message(self, session: PeerSession, message: Message) -> None:
        """Handle one of the messages of the exchange."""
        self.handle(session, message)

    def handle(self, session: PeerSession, message: Message) -> bool:
        """Handle a message; return True if a version was adopted."""
        match message:
            case Heartbeat(config_version=version):
                self.record_version(session, version)
            case ConfigVersion(version=version):
                self.record_version(session, version)
            case ConfigRequest(version=version):
                self.answer_request(session, version)
            case ConfigPush():
                return self.adopt_push(session, message)
            case ConfigDelta():
                return self.adopt_delta(session, message)
        return False

    def record_version(self, session: PeerSession, version: int) -> None:
        """Record a peer's version and request it if it is newer than ours."""
        peer = self.peers.get(id(session))
        if peer is None:
            return
        peer.version = max(peer.version, version)
        if peer.version >= self.holder.version:
            peer.push_at_s = 0
        if peer.version > self.holder.version:
            self.request_from(peer)

    def request_from(self, peer: PeerState) -> None:
        """Request a peer's version unless another request is in progress.

        Sidecars are not asked; they push to entries that stay behind.
        """
        if peer.session.remote.role != 'entry':
            return
        if peer.version <= self.holder.refused_version:
            # This release could not read the document of that version.
            return
        now_s = self.clock.now()
        pending = (
            self.requested_peer is not None and not self.requested_peer.closed
        )
        if pending and now_s - self.requested_at_s < REQUEST_TIMEOUT_S:
            return
        self.requested_peer = peer.session
        self.requested_at_s = now_s
        peer.session.send(ConfigRequest(self.holder.version))

    def answer_request(self, session: PeerSession, version: int) -> None:
        """Send a delta if it is small enough, else the whole document.

        Sends nothing to a peer that is not behind.
        """
        if version >= self.holder.version:
            return
        patches = self.holder.patches_since(version) if version else None
        if patches is not None and self.saves_bytes(patches):
            self.sent_deltas += 1
            session.send(
                ConfigDelta(
                    version,
                    self.holder.version,
                    patches,
                    self.holder.digest,
                ),
            )
            return
        self.push(session)

    def saves_bytes(self, patches: list[bytes]) -> bool:
        """Tell whether patches are small enough next to the document."""
        size = sum(len(patch) for patch in patches)
        return size < len(self.holder.document) * MAX_DELTA_RATIO

    def push(self, session: PeerSession) -> None:
        """Send the whole document to a peer."""
        self.sent_documents += 1
        session.send(ConfigPush(self.holder.version, self.holder.document))

    def adopt_push(self, session: PeerSession, push: ConfigPush) -> bool:
        """Adopt a whole document; return False if it is not adopted."""
        self.end_request(session)
        adopted = self.holder.adopt(push.version, push.document)
        self.record_version(session, push.version)
        return adopted

    def adopt_delta(self, session: PeerSession, delta: ConfigDelta) -> bool:
        """Adopt patches; request the whole document if they can't be applied.

        Returns False unless the patches were adopted.
        """
        self.end_request(session)
        if delta.version <= self.holder.version:
            return False
        if delta.base_version == self.holder.version and (
            self.holder.adopt_patches(
                delta.version,
                delta.patches,
                delta.digest,
            )
        ):
            return True
        self.requested_peer = session
        self.requested_at_s = self.clock.now()
        session.send(ConfigRequest(0))
        return False

    def end_request(self, session: PeerSession) -> None:
        """End the request in progress if it was sent to this peer."""
        if self.requested_peer is session:
            self.requested_peer = None

    def announce(self) -> None:
        """Send the current version to every connected peer."""
        version = self.holder.version
        for peer in self.open_peers():
            peer.session.send(ConfigVersion(version))

    def check(self) -> None:
        """Request again when behind, and push to peers that stay behind."""
        self.remove_closed_peers()
        ahead = max(
            self.open_peers(),
            key=self.request_priority,
            default=None,
        )
        if ahead is not None and ahead.version > self.holder.version:
            self.request_from(ahead)
        for peer in self.open_peers():
            self.push_if_due(peer)

    def request_priority(self, peer: PeerState) -> tuple[bool, int, bool]:
        """Return the sort key of a peer; the highest is asked first."""
        is_entry = peer.session.remote.role == 'entry'
        return is_entry, peer.version, peer.session is not self.requested_peer

    def push_if_due(self, peer: PeerState) -> None:
        """Push to a peer that has been behind until its push is due."""
        if peer.version >= self.holder.version:
            peer.push_at_s = 0
            peer.pushes = 0
            return
        now_s = self.clock.now()
        if not peer.push_at_s:
            delay_s = PUSH_DELAY_S + PUSH_JITTER_S * self.random()
            peer.push_at_s = now_s + delay_s
        elif now_s >= peer.push_at_s:
            repeats = min(peer.pushes, MAX_PUSH_DOUBLINGS)
            peer.push_at_s = now_s + PUSH_RETRY_S * 2**repeats
            peer.pushes += 1
            self.push(peer.session)

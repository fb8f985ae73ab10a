"""Selects the path of this entry's calls to the platform's store.

The store may reject single instances, or a network partition may separate
them from it, while their peers still reach it. Calls then go through a peer
that reports a working direct path, and return to this entry's direct path as
soon as a probe on it succeeds.

Load pattern: the store rejects many entries at once. Each entry prefers other
peers, so that their calls don't all go through the same one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.parts.rendezvous import score

# No calls are sent through a peer whose last report is older.
PEER_REPORT_TTL_S: Final = 1.0
# A peer that has been silent for longer is removed.
PEER_RETENTION_S: Final = 30.0
# A peer is not used for this long after a call through it failed.
PEER_BACKOFF_S: Final = 2.0

Address = tuple[str, int]


@dataclass(slots=True)
class PeerPath:
    """The path through a peer, and the peer's report about its direct path."""

    address: Address
    # For how long the peer has reached the store; 0 if it currently does not.
    store_up_s: float
    reported_s: float
    paused_until_s: float = 0.0
    # The usable peer with the highest preference is used.
    preference: int = 0


def preference_of(peer_path: PeerPath) -> int:
    """Return the preference of a path."""
    return peer_path.preference


@dataclass(slots=True)
class StorePath:
    """The paths to the store, and the address that is in use.

    >>> path = StorePath(('10.0.0.1', 80))
    >>> path.note_peer('p', ('10.0.0.2', 70), store_up_s=9.0, now_s=1.0)
    >>> path.choose(1.0)
    ('10.0.0.1', 80)
    >>> for _ in range(2):
    ...     path.note(('10.0.0.1', 80), answered=False, now_s=1.0)
    >>> path.choose(1.0)
    ('10.0.0.2', 70)
    >>> path.note(('10.0.0.1', 80), answered=True, now_s=1.5)
    >>> path.choose(1.5)
    ('10.0.0.1', 80)
    """

    store: Address
    # Decides which peers are preferred.
    own_id: str = ''
    direct: StoreHealth = field(default_factory=StoreHealth)
    peers: dict[str, PeerPath] = field(default_factory=dict)
    # Called when the address in use changes.
    on_change: Callable[[Address], None] = lambda address: None
    in_use: Address | None = None

    def note_peer(
        self,
        peer: str,
        address: Address,
        *,
        store_up_s: float,
        now_s: float,
    ) -> None:
        """Record a peer's report about its direct path."""
        known = self.peers.get(peer)
        if known is None:
            preference = score(peer, self.own_id)
            self.peers[peer] = PeerPath(
                address, store_up_s, now_s, preference=preference
            )
            return
        known.address = address
        known.store_up_s = store_up_s
        known.reported_s = now_s

    def remove_silent_peers(self, now_s: float) -> None:
        """Remove the peers that have been silent for too long."""
        for peer, peer_path in list(self.peers.items()):
            if now_s - peer_path.reported_s > PEER_RETENTION_S:
                del self.peers[peer]

    def choose(self, now_s: float) -> Address:
        """Return the address for the next call, and report a change of it."""
        address = self.best_address(now_s)
        if address != self.in_use:
            self.in_use = address
            self.on_change(address)
        return address

    def best_address(self, now_s: float) -> Address:
        """Return the store's address, or a usable peer's while it is down."""
        if self.direct.up:
            return self.store
        usable = (
            peer_path
            for peer_path in self.peers.values()
            if peer_path.store_up_s
            and now_s - peer_path.reported_s <= PEER_REPORT_TTL_S
            and peer_path.paused_until_s <= now_s
        )
        preferred = max(usable, key=preference_of, default=None)
        return preferred.address if preferred is not None else self.store

    def peer_is_up(self, peer: str) -> bool:
        """Return whether a peer's last report says that it reaches the store.

        True for an unknown peer.
        """
        known = self.peers.get(peer)
        return known is None or known.store_up_s > 0

    def any_peer_up_since(self, since_s: float, now_s: float) -> bool:
        """Return whether any peer has reached the store ever since that time.

        If so, the store itself had no outage in that time.
        """
        return any(
            now_s - peer_path.reported_s <= PEER_REPORT_TTL_S
            and peer_path.reported_s - peer_path.store_up_s <= since_s
            for peer_path in self.peers.values()
            if peer_path.store_up_s
        )

    def note(self, address: Address, *, answered: bool, now_s: float) -> None:
        """Record the outcome of a call to the store or through a peer."""
        if address == self.store:
            self.direct.note(answered=answered, now_s=now_s)
            return
        if answered:
            return
        for peer_path in self.peers.values():
            if peer_path.address == address:
                peer_path.paused_until_s = now_s + PEER_BACKOFF_S

"""Relays crash records between sidecars and entries.

Sidecars are not connected to each other. An entry merges the records that it
receives and relays only new ones to its other peers, so that records neither
circulate between entries nor multiply with their number.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import Message, SuspectUpdate
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.process.fleet import Fleet

EXPIRY_CHECK_INTERVAL_S: Final = 30.0


@dataclass(slots=True)
class SuspectRelay:
    """Stores the crash records of one entry and relays new ones."""

    fleet: Fleet
    book: SuspectBook = field(default_factory=SuspectBook)
    read_wall_ms: Callable[[], int] = wall_clock_ms

    def subscribe(self) -> None:
        """Subscribe to crash records and new sessions."""
        self.fleet.subscribe(SuspectUpdate, self.on_update)
        self.fleet.on_open(self.on_open)

    async def on_update(self, session: PeerSession, message: Message) -> None:
        """Merge a peer's records and send the new ones to all others."""
        if not isinstance(message, SuspectUpdate):
            return
        crashes, cleared = self.book.merge(
            message.crashes,
            message.cleared,
            self.read_wall_ms(),
        )
        if not crashes and not cleared:
            return
        for peer in self.fleet.sessions():
            if peer is not session:
                peer.send(SuspectUpdate(crashes, cleared))

    async def on_open(self, session: PeerSession) -> None:
        """Send all records to a peer that has just connected."""
        crashes, cleared = self.book.tables()
        if crashes:
            session.send(SuspectUpdate(crashes, cleared))

    async def drop_expired(self) -> None:
        """Remove records older than their retention time."""
        self.book.drop_expired(self.read_wall_ms())

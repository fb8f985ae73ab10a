"""Notifies the other entries of endpoints that have stated that they drain.

Load pattern: all entries use the same endpoints, so many hear of one within
milliseconds, each from an answer of its own. The first to send notifies the
others; whoever hears of it before its own turn does not send. The messages
are therefore few however many answers state it.

Each message is repeated, since datagrams may be lost. An entry that misses
all of them learns it from its own next answer, as it does without peers. An
entry that is heard for the first time, or again after a silence, gets all
statements about registered endpoints from a few of the others.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from quetzaldyke.gateway.drain_notes import DrainNotes
from quetzaldyke.process.metrics import Metrics

# Times that a statement is sent to the peers.
SENDS: Final = 3
# Entries that notify one that is heard for the first time.
SOURCES: Final = 3
# An entry does not notify new peers for this long after its own start: it
# hears the others one after the other, and would take them for new.
SETTLE_S: Final = 2.0
# Lifetimes in one datagram, and the characters of one.
MAX_LIFETIMES: Final = 200
MAX_LIFETIME_CHARS: Final = 256


@dataclass(frozen=True, slots=True)
class DrainUpdate:
    """Names lifetimes of endpoints that have stated that they drain."""

    sender: str
    lifetimes: tuple[str, ...]


def decode_drain_update(sender: str, content: Any) -> DrainUpdate:
    """Decode the content of an update; raises `ValueError` if malformed."""
    if not isinstance(content, list) or len(content) > MAX_LIFETIMES:
        raise ValueError('no list of lifetimes')
    for one in content:
        if not isinstance(one, str) or len(one) > MAX_LIFETIME_CHARS:
            raise ValueError('no lifetime')
    return DrainUpdate(sender, tuple(content))


@dataclass(slots=True)
class DrainExchange:
    """Sends the statements of this entry's answers, and applies updates."""

    own_id: str
    notes: DrainNotes
    # Returns the other entries that are heard.
    heard: Callable[[], Collection[str]]
    send: Callable[[Iterable[str], DrainUpdate], None]
    # How often each statement is still to be sent, by lifetime.
    unsent: dict[str, int] = field(default_factory=dict)
    # Entries that were heard at the last tick.
    known_peers: set[str] = field(default_factory=set)
    started_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Note the start."""
        self.started_s = self.notes.now()

    def connect(self, metrics: Metrics, log_event: Callable[..., None]) -> None:
        """Send what answers state; count and log it."""
        self.notes.on_stated = self.note_stated
        self.notes.log_event = log_event
        self.notes.count = lambda event: metrics.count(
            'endpoint_drains_total', event=event
        )
        metrics.gauge('draining_endpoints', self.notes.table.count_draining)

    def note_stated(self, lifetime: str) -> None:
        """Send a statement with the next tick."""
        self.unsent[lifetime] = SENDS

    def apply(self, update: DrainUpdate) -> None:
        """Apply the update of a peer, which sends it to all others too.

        Of two that have begun to send the same, the one with the lower id
        goes on.
        """
        for lifetime in update.lifetimes:
            if self.unsent.get(lifetime) == SENDS or (
                update.sender < self.own_id
            ):
                self.unsent.pop(lifetime, None)
        self.notes.apply(update.lifetimes)

    async def tick(self) -> None:
        """Send what is due."""
        self.send_due()

    def send_due(self) -> None:
        """Send new statements to all, and the known ones to new peers."""
        heard = set(self.heard())
        new_peers = heard - self.known_peers
        known_before = heard & self.known_peers
        self.known_peers = heard
        if new_peers and self.is_source(known_before):
            self.send_all(new_peers, self.notes.table.stated_lifetimes())
        if self.unsent:
            self.send_all(heard, list(self.unsent))
            self.unsent = {
                lifetime: sends - 1
                for lifetime, sends in self.unsent.items()
                if sends > 1
            }

    def is_source(self, known_before: Iterable[str]) -> bool:
        """Return whether this entry is one that notifies new peers."""
        if self.notes.now() - self.started_s < SETTLE_S:
            return False
        candidates = {self.own_id, *known_before}
        return self.own_id in heapq.nsmallest(SOURCES, candidates)

    def send_all(self, peers: Collection[str], lifetimes: list[str]) -> None:
        """Send lifetimes to peers, in datagrams of limited size."""
        for start in range(0, len(lifetimes), MAX_LIFETIMES):
            chosen = tuple(lifetimes[start : start + MAX_LIFETIMES])
            self.send(peers, DrainUpdate(self.own_id, chosen))

    def clean_up(self) -> None:
        """Drop statements about lifetimes that ended long ago."""
        self.notes.table.drop_ended_drains(self.notes.now())

"""Simulates entries that share their watches on the store."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

import anyio

from gateway_kit import FakeStore, FakeTime
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.gossip_messages import (
    WatchMessage,
    WatchNotice,
    WatchUpdate,
    encode,
)
from quetzaldyke.gateway.missed_updates import GapCloser
from quetzaldyke.gateway.shared_watch import WatchSharing
from quetzaldyke.gateway.watch import (
    PrefixWatcher,
)
from quetzaldyke.parts.transactions import (
    Put,
    Transaction,
)

PREFIX = 'p/'


@dataclass(slots=True)
class SimulatedEntry:
    """An entry that follows one prefix, and the revisions it has applied."""

    sharing: WatchSharing
    watcher: PrefixWatcher
    reports: dict[str, float] = field(default_factory=dict)
    applied: list[int] = field(default_factory=list)
    closer: GapCloser | None = None

    async def close_gap(self) -> None:
        """Ask the sender of an update for what was missed, if anything."""
        if self.closer is not None and self.closer.gap is not None:
            gap, self.closer.gap = self.closer.gap, None
            await self.closer.close(gap)

    def must_call(self) -> bool:
        """Return whether the entry calls the store next."""
        return not self.sharing.follow_s(PREFIX) or self.watcher.behind.is_set()


@dataclass(slots=True)
class SimulatedFleet:
    """Entries that share a store, with the updates that are on their way."""

    entries: dict[str, SimulatedEntry] = field(default_factory=dict)
    updates: list[tuple[str, WatchMessage]] = field(default_factory=list)
    members: list[str] = field(default_factory=list)
    time: FakeTime = field(default_factory=FakeTime)
    store: FakeStore = field(default_factory=FakeStore)
    silent: set[str] = field(default_factory=set)
    # Entries whose calls the store refuses.
    refused: set[str] = field(default_factory=set)
    # Bytes of one burst of datagrams that the link of an entry holds; what is
    # sent beyond is lost. None if nothing is.
    link_bytes: int | None = None
    calls: int = 0

    @classmethod
    def of_size(cls, size: int) -> SimulatedFleet:
        """Return a fleet whose members all know each other."""
        fleet = cls()
        names = [f'e{number}' for number in range(size)]
        for name in names:
            fleet.entries[name] = fleet.make_entry(name)
        fleet.set_members(names)
        return fleet

    def set_members(self, members: list[str]) -> None:
        """Let all entries read the same member list."""
        self.members = members
        for entry in self.entries.values():
            entry.sharing.set_members(members)

    @classmethod
    async def settled(cls, size: int) -> SimulatedFleet:
        """Return a fleet whose followers have heard from their sources."""
        fleet = cls.of_size(size)
        for _ in range(3):
            await fleet.step()
            fleet.deliver_all()
        return fleet

    def follower(self) -> SimulatedEntry:
        """Return the first entry that follows others."""
        return next(one for one in self.entries.values() if one.sharing.sources)

    def make_entry(self, name: str) -> SimulatedEntry:
        """Return an entry that does not know the members yet."""
        reports: dict[str, float] = {}
        applied: list[int] = []
        sharing = WatchSharing(
            name, self.time.read, reports.get, self.send, EndpointTable()
        )
        watcher = PrefixWatcher(
            self.store,
            PREFIX,
            lambda snapshot: None,
            lambda changes, _: applied.extend(one.revision for one in changes),
        )
        sharing.non_members = lambda: set(self.entries) - set(self.members)
        sharing.add(watcher)
        closer = GapCloser(watcher, self.fetch, sharing.on_fetched)
        watcher.on_missed = closer.note
        return SimulatedEntry(sharing, watcher, reports, applied, closer)

    def send(self, peers: Collection[str], message: WatchMessage) -> None:
        """Put a message on its way, unless the sender is silent."""
        if message.sender in self.silent:
            return
        held = len(peers)
        if self.link_bytes is not None:
            held = self.link_bytes // len(encode(message))
        self.updates.extend((peer, message) for peer in list(peers)[:held])

    async def fetch(
        self, peer: str, prefix: str, after: int
    ) -> WatchUpdate | None:
        """Return what an entry holds, unless it is silent."""
        if peer in self.silent:
            return None
        return self.entries[peer].sharing.held_update(prefix, after)

    async def write(self, value: bytes = b'x') -> None:
        """Write one key of the prefix."""
        await self.store.transact(Transaction({}, (Put(f'{PREFIX}k', value),)))

    async def step(self) -> None:
        """Deliver reports; entries that can't follow others call the store."""
        for name, entry in self.entries.items():
            await entry.close_gap()
            for other in self.entries.values():
                if name not in self.silent:
                    other.reports[name] = self.time.now_s
            if entry.must_call() and name not in self.refused:
                entry.watcher.behind = anyio.Event()
                self.calls += 1
                await entry.watcher.poll()

    def deliver(self, position: int) -> None:
        """Deliver one of the updates that are on their way."""
        peer, message = self.updates.pop(position % len(self.updates))
        if isinstance(message, WatchNotice):
            self.entries[peer].sharing.on_notice(message)
        else:
            self.entries[peer].sharing.on_update(message)

    def deliver_all(self) -> None:
        """Deliver all updates in order."""
        while self.updates:
            self.deliver(0)

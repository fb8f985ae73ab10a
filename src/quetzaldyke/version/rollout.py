"""Waits until every live process has reported a configuration version.

No entry is connected to all sidecars, so the entry that waits queries all
entries. Each replies once its own peers have the version, with a hash of the
name of each of them; the entry that waits compares the hashes with the
instance list.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.config_messages import VersionQuery, VersionReply
from quetzaldyke.connection.messages import ConfigVersion, Heartbeat, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.version.exchange import ConfigExchange

HASH_BYTES: Final = 8
MS_IN_S: Final = 1000
# Time for the replies that entries send at their own time-out to arrive.
REPLY_MARGIN_S: Final = 0.5
ENTRY_TIMEOUT_RATIO: Final = 0.8


def hash_of(instance: str) -> bytes:
    """Return the hash that stands for a process in replies."""
    return hashlib.blake2b(instance.encode(), digest_size=HASH_BYTES).digest()


def split_hashes(joined: bytes) -> set[bytes]:
    """Return the hashes that a reply joins.

    >>> len(split_hashes(hash_of('a') + hash_of('b')))
    2
    """
    starts = range(0, len(joined), HASH_BYTES)
    return {joined[start : start + HASH_BYTES] for start in starts}


@dataclass(slots=True)
class PendingQuery:
    """Hashes received so far for one query."""

    hashes: set[bytes] = field(default_factory=set)
    changed: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class RolloutMonitor:
    """Sends and answers queries about the processes with a version."""

    fleet: Fleet
    exchange: ConfigExchange
    clock: Clock
    query_ids: itertools.count[int] = field(default_factory=itertools.count)
    queries: dict[int, PendingQuery] = field(default_factory=dict)
    # Replaced whenever a process reports a version.
    reported: anyio.Event = field(default_factory=anyio.Event)
    reply_tasks: anyio.abc.TaskGroup | None = None

    def subscribe(self) -> None:
        """Subscribe to reports and queries, after the exchange has."""
        self.fleet.subscribe(ConfigVersion, self.on_report)
        self.fleet.subscribe(Heartbeat, self.on_report)
        self.fleet.subscribe(VersionQuery, self.on_query)
        self.fleet.subscribe(VersionReply, self.on_reply)
        self.exchange.holder.on_change(lambda *_: self.notify())

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Wake the tasks that wait for a report."""
        self.notify()

    def notify(self) -> None:
        """Wake the tasks that wait for a report."""
        self.reported.set()
        self.reported = anyio.Event()

    async def on_query(self, session: PeerSession, query: Message) -> None:
        """Start to answer a query; ignore it while `run` is not active."""
        if isinstance(query, VersionQuery) and self.reply_tasks is not None:
            self.reply_tasks.start_soon(self.answer, session, query)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Add the hashes of a reply to its query, if that is in progress."""
        if not isinstance(reply, VersionReply):
            return
        pending = self.queries.get(reply.query_id)
        if pending is not None:
            pending.hashes |= split_hashes(reply.reached)
            pending.changed.set()
            pending.changed = anyio.Event()

    async def run(self) -> None:
        """Answer queries until cancelled."""
        async with anyio.create_task_group() as group:
            self.reply_tasks = group
            await anyio.sleep_forever()

    async def answer(self, session: PeerSession, query: VersionQuery) -> None:
        """Reply once our own peers have the version, or at the time-out."""
        with anyio.move_on_after(query.timeout_ms / MS_IN_S):
            while not self.peers_have(query.version):
                await self.reported.wait()
        hashes = (hash_of(name) for name in self.reached(query.version))
        session.send(VersionReply(query.query_id, b''.join(hashes)))

    def reported_version(self, instance: str) -> int | None:
        """Return the version that a process last reported.

        None if it is not connected to this entry.
        """
        if instance == self.fleet.own.instance:
            return self.exchange.holder.version
        return self.exchange.reported_version(instance)

    def peers_have(self, version: int) -> bool:
        """Tell whether this entry and all its sidecars have a version."""
        reached = set(self.reached(version))
        return reached.issuperset((self.fleet.own.instance, *self.fleet.links))

    def reached(self, version: int) -> list[str]:
        """Return the processes known to this entry to have a version."""
        names = [
            peer.session.remote.instance
            for peer in self.exchange.open_peers()
            if peer.version >= version
        ]
        if self.exchange.holder.version >= version:
            names.append(self.fleet.own.instance)
        return names

    def behind(self, version: int, hashes: Iterable[bytes]) -> list[str]:
        """Return the live processes that are not known to have a version."""
        known = {*hashes, *(hash_of(name) for name in self.reached(version))}
        listed = [self.fleet.own, *self.fleet.instances.values()]
        connected = {*self.fleet.links, *self.fleet.entries}
        return sorted(
            row.instance
            for row in listed
            if hash_of(row.instance) not in known
            # A process that is leaving counts only while it is connected.
            and (not row.leaving or row.instance in connected)
        )

    async def wait_for_rollout(
        self,
        version: int,
        timeout_s: float,
    ) -> list[str]:
        """Return the live processes that lack a version at the time-out.

        Returns an empty list as soon as none does.
        """
        query_id = next(self.query_ids)
        pending = PendingQuery()
        self.queries[query_id] = pending
        self.query_entries(query_id, version, timeout_s)
        try:
            with anyio.move_on_after(timeout_s):
                await self.wait_until_reached(version, pending)
        finally:
            self.queries.pop(query_id)
        return self.behind(version, pending.hashes)

    def query_entries(
        self, query_id: int, version: int, timeout_s: float
    ) -> None:
        """Query every connected entry, with a time-out before our own."""
        entry_timeout_s = max(
            timeout_s - REPLY_MARGIN_S, timeout_s * ENTRY_TIMEOUT_RATIO
        )
        query = VersionQuery(query_id, version, int(entry_timeout_s * MS_IN_S))
        for session in self.fleet.entries.values():
            session.send(query)

    async def wait_until_reached(
        self, version: int, pending: PendingQuery
    ) -> None:
        """Return once no live process lacks the version."""
        while self.behind(version, pending.hashes):
            reported, changed = self.reported, pending.changed
            async with anyio.create_task_group() as group:
                group.start_soon(cancel_when_set, reported, group.cancel_scope)
                group.start_soon(cancel_when_set, changed, group.cancel_scope)


async def cancel_when_set(event: anyio.Event, scope: anyio.CancelScope) -> None:
    """Cancel a scope once an event is set."""
    await event.wait()
    scope.cancel()

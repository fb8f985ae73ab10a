"""Waits until every live process has reported a configuration version.

No entry is connected to all sidecars, so the entry that was asked asks all
entries. Each answers once its own peers have the version, with a mark for
each of them; the asker compares the marks with the instance list.
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

MARK_BYTES: Final = 8
MS_IN_S: Final = 1000
# Answers of entries take this long to come after their own time-out.
REPLY_MARGIN_S: Final = 0.5
MAX_SHARE: Final = 0.8


def mark_of(instance: str) -> bytes:
    """Return the mark of a process."""
    return hashlib.blake2b(instance.encode(), digest_size=MARK_BYTES).digest()


def split_marks(joined: bytes) -> set[bytes]:
    """Return the marks in an answer.

    >>> len(split_marks(mark_of('a') + mark_of('b')))
    2
    """
    starts = range(0, len(joined), MARK_BYTES)
    return {joined[start : start + MARK_BYTES] for start in starts}


@dataclass(slots=True)
class Waiting:
    """One query under way."""

    marks: set[bytes] = field(default_factory=set)
    changed: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class EverywhereWait:
    """Asks and answers queries for versions."""

    fleet: Fleet
    exchange: ConfigExchange
    clock: Clock
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    queries: dict[int, Waiting] = field(default_factory=dict)
    # Replaced whenever a process reports a version.
    reported: anyio.Event = field(default_factory=anyio.Event)
    answering: anyio.abc.TaskGroup | None = None

    def subscribe(self) -> None:
        """Take part in the fleet's messages, after the exchange."""
        self.fleet.subscribe(ConfigVersion, self.on_report)
        self.fleet.subscribe(Heartbeat, self.on_report)
        self.fleet.subscribe(VersionQuery, self.on_query)
        self.fleet.subscribe(VersionReply, self.on_reply)
        self.exchange.holder.on_change(lambda *_: self.wake())

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Wake whoever waits for reports."""
        self.wake()

    def wake(self) -> None:
        """Wake whoever waits for reports."""
        self.reported.set()
        self.reported = anyio.Event()

    async def on_query(self, session: PeerSession, query: Message) -> None:
        """Answer a query once our peers have the version, or in time."""
        if isinstance(query, VersionQuery) and self.answering is not None:
            self.answering.start_soon(self.answer, session, query)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Add an answer to its query."""
        if not isinstance(reply, VersionReply):
            return
        waiting = self.queries.get(reply.query_id)
        if waiting is not None:
            waiting.marks |= split_marks(reply.reached)
            waiting.changed.set()
            waiting.changed = anyio.Event()

    async def run(self) -> None:
        """Answer queries until cancelled."""
        async with anyio.create_task_group() as group:
            self.answering = group
            await anyio.sleep_forever()

    async def answer(self, session: PeerSession, query: VersionQuery) -> None:
        """Wait for our own peers, then tell who has the version."""
        with anyio.move_on_after(query.timeout_ms / MS_IN_S):
            while not self.peers_have(query.version):
                await self.reported.wait()
        marks = (mark_of(name) for name in self.reached(query.version))
        session.send(VersionReply(query.query_id, b''.join(marks)))

    def told_by(self, instance: str) -> int | None:
        """Return the version that a process last reported."""
        if instance == self.fleet.own.instance:
            return self.exchange.holder.version
        return self.exchange.told_by(instance)

    def peers_have(self, version: int) -> bool:
        """Tell whether this entry and all its sidecars have a version."""
        reached = set(self.reached(version))
        return reached.issuperset((self.fleet.own.instance, *self.fleet.links))

    def reached(self, version: int) -> list[str]:
        """Return the processes known here to have a version."""
        names = [
            peer.session.remote.instance
            for peer in self.exchange.open_peers()
            if peer.version >= version
        ]
        if self.exchange.holder.version >= version:
            names.append(self.fleet.own.instance)
        return names

    def behind(self, version: int, marks: Iterable[bytes]) -> list[str]:
        """Return the live processes that are not known to have a version."""
        known = {*marks, *(mark_of(name) for name in self.reached(version))}
        listed = [self.fleet.own, *self.fleet.instances.values()]
        connected = {*self.fleet.links, *self.fleet.entries}
        return sorted(
            one.instance
            for one in listed
            if mark_of(one.instance) not in known
            # A process that is leaving counts while it is connected.
            and (not one.leaving or one.instance in connected)
        )

    async def wait_everywhere(
        self,
        version: int,
        timeout_s: float,
    ) -> list[str]:
        """Return the processes that lack a version at the time-out."""
        number = next(self.numbers)
        waiting = Waiting()
        self.queries[number] = waiting
        self.ask_entries(number, version, timeout_s)
        try:
            with anyio.move_on_after(timeout_s):
                await self.until_everywhere(version, waiting)
        finally:
            self.queries.pop(number)
        return self.behind(version, waiting.marks)

    def ask_entries(self, number: int, version: int, timeout_s: float) -> None:
        """Ask every connected entry."""
        share_s = max(timeout_s - REPLY_MARGIN_S, timeout_s * MAX_SHARE)
        query = VersionQuery(number, version, int(share_s * MS_IN_S))
        for session in self.fleet.entries.values():
            session.send(query)

    async def until_everywhere(self, version: int, waiting: Waiting) -> None:
        """Return once no live process lacks the version."""
        while self.behind(version, waiting.marks):
            reported, changed = self.reported, waiting.changed
            async with anyio.create_task_group() as group:
                group.start_soon(cancel_after, reported, group.cancel_scope)
                group.start_soon(cancel_after, changed, group.cancel_scope)


async def cancel_after(event: anyio.Event, scope: anyio.CancelScope) -> None:
    """Cancel a scope once an event happened."""
    await event.wait()
    scope.cancel()

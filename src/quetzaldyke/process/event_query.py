"""Collects events of the fleet's processes for operators.

Each process keeps only its latest events, so a query asks every connected
peer and returns what came in time, in stamp order.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.messages import (
    EventsReply,
    EventsRequest,
    Message,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import Stamp
from quetzaldyke.parts.timeline import Event, Timeline, merge
from quetzaldyke.process.fleet import Fleet

QUERY_TIMEOUT_S: Final = 1.0
MAX_EVENTS: Final = 2000


def matches(event: Event, contains: str) -> bool:
    """Tell whether a field of the event has the text; all if empty."""
    if not contains:
        return True
    return any(contains in text for text in event.fields.values())


def select_events(
    timeline: Timeline,
    contains: str,
    limit: int,
) -> list[Event]:
    """Return the latest matching events of this process."""
    found = [one for one in timeline.events if matches(one, contains)]
    kept = max(0, min(limit, MAX_EVENTS, len(found)))
    return found[len(found) - kept :]


def event_from_row(row: list[object]) -> Event | None:
    """Return the event of a row, or None for one of another shape."""
    match row:
        case [[int(wall_ms), int(counter), str(process)], str(name), dict(raw)]:
            fields = {str(key): str(text) for key, text in raw.items()}
            return Event(Stamp(wall_ms, counter, process), name, fields)
        case _:
            return None


def answer_query(
    session: PeerSession,
    timeline: Timeline,
    query: EventsRequest,
) -> None:
    """Answer a peer's query from this process's time line."""
    found = select_events(timeline, query.contains, query.limit)
    rows = [event.as_row() for event in found]
    process = timeline.clock.process
    session.send(EventsReply(query.query_id, process, rows))


@dataclass(slots=True)
class Query:
    """Answers that a running query has so far."""

    expected: int
    buffers: list[list[Event]] = field(default_factory=list)
    complete: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class EventQueries:
    """Sends queries to peers and answers theirs."""

    fleet: Fleet
    timeline: Timeline
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    running: dict[int, Query] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Take part in the fleet's messages."""
        self.fleet.subscribe(EventsRequest, self.on_request)
        self.fleet.subscribe(EventsReply, self.on_reply)

    async def on_request(self, session: PeerSession, query: Message) -> None:
        """Answer a peer."""
        if isinstance(query, EventsRequest):
            answer_query(session, self.timeline, query)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Add a peer's answer to its query."""
        if not isinstance(reply, EventsReply):
            return
        query = self.running.get(reply.query_id)
        if query is None:
            return
        events = [event_from_row(row) for row in reply.rows]
        query.buffers.append([one for one in events if one is not None])
        if len(query.buffers) >= query.expected:
            query.complete.set()

    async def gather(self, contains: str, limit: int) -> list[Event]:
        """Return matching events of this process and its peers."""
        sessions = list(self.fleet.sessions())
        number = next(self.numbers)
        query = Query(len(sessions))
        self.running[number] = query
        for session in sessions:
            session.send(EventsRequest(number, contains, limit))
        try:
            if sessions:
                with anyio.move_on_after(QUERY_TIMEOUT_S):
                    await query.complete.wait()
        finally:
            self.running.pop(number)
        own = select_events(self.timeline, contains, limit)
        return merge([own, *query.buffers])[-limit:]

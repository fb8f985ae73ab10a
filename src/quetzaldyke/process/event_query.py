"""Collects the latest events of the fleet's processes for operators.

Each process keeps only its own latest events, so a query asks every connected
peer and returns the replies that arrive in time, in stamp order.
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
    """Tell whether any field contains the text; always if it is empty."""
    if not contains:
        return True
    return any(contains in text for text in event.fields.values())


def select_events(
    timeline: Timeline,
    contains: str,
    limit: int,
) -> list[Event]:
    """Return up to `limit` latest matching events, oldest first."""
    found = [one for one in timeline.events if matches(one, contains)]
    kept = max(0, min(limit, MAX_EVENTS, len(found)))
    return found[len(found) - kept :]


def event_from_row(row: list[object]) -> Event | None:
    """Return the event of a row; None if the row is malformed."""
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
    """Reply to a peer's query with matching events of the timeline."""
    found = select_events(timeline, query.contains, query.limit)
    rows = [event.as_row() for event in found]
    process = timeline.clock.process
    session.send(EventsReply(query.query_id, process, rows))


@dataclass(slots=True)
class PendingQuery:
    """Replies received so far for one query."""

    expected: int
    replies: list[list[Event]] = field(default_factory=list)
    complete: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class EventQueries:
    """Queries peers for events and replies to their queries."""

    fleet: Fleet
    timeline: Timeline
    query_ids: itertools.count[int] = field(default_factory=itertools.count)
    running: dict[int, PendingQuery] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Subscribe to queries and replies."""
        self.fleet.subscribe(EventsRequest, self.on_request)
        self.fleet.subscribe(EventsReply, self.on_reply)

    async def on_request(self, session: PeerSession, query: Message) -> None:
        """Reply to the query of a peer."""
        if isinstance(query, EventsRequest):
            answer_query(session, self.timeline, query)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Add a peer's reply to its query; the last expected one completes it.

        Replies to a query that has ended and malformed events are ignored.
        """
        if not isinstance(reply, EventsReply):
            return
        query = self.running.get(reply.query_id)
        if query is None:
            return
        events = [event_from_row(row) for row in reply.rows]
        query.replies.append([one for one in events if one is not None])
        if len(query.replies) >= query.expected:
            query.complete.set()

    async def gather(self, contains: str, limit: int) -> list[Event]:
        """Return the latest matching events of this process and its peers.

        Peers that don't reply within `QUERY_TIMEOUT_S` are left out.
        """
        sessions = list(self.fleet.sessions())
        query_id = next(self.query_ids)
        query = PendingQuery(len(sessions))
        self.running[query_id] = query
        for session in sessions:
            session.send(EventsRequest(query_id, contains, limit))
        try:
            if sessions:
                with anyio.move_on_after(QUERY_TIMEOUT_S):
                    await query.complete.wait()
        finally:
            self.running.pop(query_id)
        own = select_events(self.timeline, contains, limit)
        return merge([own, *query.replies])[-limit:]

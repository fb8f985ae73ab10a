"""Multiplexes requests over one connection to a sidecar.

Each request has its own ordered stream of numbered chunks. Duplicates are
dropped and a gap fails the request. An answer is complete only if the number
of chunks in its End message matches the number received.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import (
    Cancel,
    Chunk,
    End,
    Failed,
    Message,
    Started,
    Submit,
    Window,
)
from quetzaldyke.connection.peer import PeerSession

# Chunks that a sidecar may send before the reader grants it more.
WINDOW_CHUNKS: Final = 64

CallEvent = Started | Chunk | End | Failed


@dataclass(slots=True)
class EventQueue:
    """Queue of the events of one request, for a single reader.

    anyio's memory object stream yields to the event loop on every receive,
    which costs a task switch for each token even if events are queued.
    """

    events: deque[CallEvent] = field(default_factory=deque)
    closed: bool = False
    waiter: asyncio.Future[None] | None = None

    def send_nowait(self, event: CallEvent) -> None:
        """Append an event and wake the reader."""
        self.events.append(event)
        self.wake_reader()

    def close(self) -> None:
        """Close the queue; events that are already queued are still read."""
        self.closed = True
        self.wake_reader()

    def wake_reader(self) -> None:
        """Resume the reader if it is waiting."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def __aiter__(self) -> EventQueue:
        """Return the queue itself."""
        return self

    async def __anext__(self) -> CallEvent:
        """Return the next event; stops when the queue is closed and empty."""
        while not self.events:
            if self.closed:
                raise StopAsyncIteration
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.events.popleft()


@dataclass(slots=True)
class Call:
    """One request in flight on a connection."""

    submit: Submit
    queue: EventQueue = field(default_factory=EventQueue)
    next_seq: int = 0
    started: bool = False
    finished: bool = False


@dataclass(slots=True)
class CallTable:
    """Requests in flight on one connection to a sidecar."""

    session: PeerSession
    calls: dict[str, Call] = field(default_factory=dict)

    def begin(self, submit: Submit) -> Call:
        """Send a request and return its call."""
        call = Call(submit)
        self.calls[submit.request_id] = call
        self.session.send(submit)
        return call

    def deliver(self, message: Message) -> bool:
        """Pass a message to the request it belongs to.

        Messages of unknown or finished requests are dropped. Returns False
        if the message is not of a kind that belongs to a request.
        """
        if not isinstance(message, Started | Chunk | End | Failed):
            return False
        call = self.calls.get(message.request_id)
        if call is None or call.finished:
            return True
        self.process_event(call, message)
        return True

    def process_event(self, call: Call, event: CallEvent) -> None:
        """Queue an event for the reader if it is in sequence.

        A duplicate chunk is dropped; a missing chunk fails the request.
        """
        match event:
            case Started():
                call.started = True
            case Chunk(seq=seq) if seq < call.next_seq:
                return
            case Chunk(seq=seq) if seq > call.next_seq:
                self.finish_call(call, unknown_failure(call, 'missing chunk'))
                return
            case Chunk():
                call.next_seq += 1
            case End(seq=seq) if seq != call.next_seq:
                self.finish_call(
                    call, unknown_failure(call, 'missing chunk at the end')
                )
                return
            case _:
                self.finish_call(call, event)
                return
        call.queue.send_nowait(event)

    def finish_call(self, call: Call, event: CallEvent) -> None:
        """Queue the last event of a request and remove the request."""
        call.finished = True
        self.calls.pop(call.submit.request_id, None)
        call.queue.send_nowait(event)
        call.queue.close()

    def fail_all(self, reason: str) -> None:
        """Fail all requests because the connection was lost."""
        for call in list(self.calls.values()):
            self.finish_call(call, unknown_failure(call, reason))

    def cancel_call(self, call: Call) -> None:
        """Cancel a request at the sidecar; does nothing if it has finished."""
        if call.finished:
            return
        call.finished = True
        self.calls.pop(call.submit.request_id, None)
        self.session.send(Cancel(call.submit.request_id))
        call.queue.close()


def unknown_failure(call: Call, reason: str) -> Failed:
    """Return the failure of a request that may or may not have run."""
    return Failed(call.submit.request_id, 'unknown', reason)


async def read_call(table: CallTable, call: Call) -> AsyncIterator[CallEvent]:
    """Yield the events of a request and grant the sender more chunks.

    Cancels the request if the reader stops before the last event.
    """
    unread = 0
    try:
        async for event in call.queue:
            yield event
            unread += isinstance(event, Chunk)
            if unread >= WINDOW_CHUNKS // 2:
                table.session.send(Window(call.submit.request_id, unread))
                unread = 0
    finally:
        table.cancel_call(call)
        call.queue.close()

"""Requests that share one connection: each has its own ordered stream.

Chunks are numbered for each request. Repeats are dropped, a gap fails the
request, and an answer is whole only when the end mark counts the chunks
that were seen.
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

# Chunks that a sidecar may send ahead of the caller's reading.
WINDOW_CHUNKS: Final = 64

CallEvent = Started | Chunk | End | Failed


@dataclass(slots=True)
class EventQueue:
    """Events of one request on their way to its only reader.

    anyio's memory stream passes control to the event loop on every receive,
    which costs a task switch for each token even when events wait.
    """

    events: deque[CallEvent] = field(default_factory=deque)
    closed: bool = False
    waiter: asyncio.Future[None] | None = None

    def send_nowait(self, event: CallEvent) -> None:
        """Queue an event."""
        self.events.append(event)
        self.wake_reader()

    def close(self) -> None:
        """End the queue after the events in it."""
        self.closed = True
        self.wake_reader()

    def wake_reader(self) -> None:
        """Let the reader go on."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def __aiter__(self) -> EventQueue:
        """Return the queue itself."""
        return self

    async def __anext__(self) -> CallEvent:
        """Return the next event."""
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
        """Send a request and return its stream."""
        call = Call(submit)
        self.calls[submit.request_id] = call
        self.session.send(submit)
        return call

    def deliver(self, message: Message) -> bool:
        """Hand a message to its request; False for other messages."""
        if not isinstance(message, Started | Chunk | End | Failed):
            return False
        call = self.calls.get(message.request_id)
        if call is None or call.finished:
            return True
        self.process_event(call, message)
        return True

    def process_event(self, call: Call, event: CallEvent) -> None:
        """Check the order of an event and queue it for the reader."""
        match event:
            case Started():
                call.started = True
            case Chunk(seq=seq) if seq < call.next_seq:
                return
            case Chunk(seq=seq) if seq > call.next_seq:
                self.finish_call(call, unknown_failure(call, 'chunk missing'))
                return
            case Chunk():
                call.next_seq += 1
            case End(seq=seq) if seq != call.next_seq:
                self.finish_call(
                    call, unknown_failure(call, 'chunk missing at end')
                )
                return
            case _:
                self.finish_call(call, event)
                return
        call.queue.send_nowait(event)

    def finish_call(self, call: Call, event: CallEvent) -> None:
        """Queue the last event of a request."""
        call.finished = True
        self.calls.pop(call.submit.request_id, None)
        call.queue.send_nowait(event)
        call.queue.close()

    def fail_all(self, reason: str) -> None:
        """Fail every request after the connection was lost."""
        for call in list(self.calls.values()):
            self.finish_call(call, unknown_failure(call, reason))

    def cancel_call(self, call: Call) -> None:
        """Stop a request whose answer nobody wants any more."""
        if call.finished:
            return
        call.finished = True
        self.calls.pop(call.submit.request_id, None)
        self.session.send(Cancel(call.submit.request_id))
        call.queue.close()


def unknown_failure(call: Call, reason: str) -> Failed:
    """Return the failure of a request that may have run."""
    return Failed(call.submit.request_id, 'unknown', reason)


async def read_call(table: CallTable, call: Call) -> AsyncIterator[CallEvent]:
    """Yield the events of a request and grant the sender more chunks.

    Abandons the request when the reader stops early.
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

"""Sends one answer as numbered chunks with credit-based flow control.

The endpoint is read ahead of the caller up to a limit, so that a slow caller
neither occupies a slot of the endpoint longer than needed nor delays other
requests on the same connection. Text that waits for credit, or that arrives
within one iteration of the event loop, is coalesced into one chunk.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.calls import WINDOW_CHUNKS
from quetzaldyke.connection.http_endpoint import Answer
from quetzaldyke.connection.messages import Chunk, End, Failed
from quetzaldyke.connection.peer import PeerSession

# Buffered bytes at which reading from the endpoint is paused.
READ_AHEAD_BYTES: Final = 262_144


@dataclass(slots=True)
class AnswerStream:
    """An answer that is being sent to the entry that requested it."""

    session: PeerSession
    request_id: str
    credit: int = WINDOW_CHUNKS
    seq: int = 0
    text: list[str] = field(default_factory=list)
    tokens: int = 0
    raw: list[bytes] = field(default_factory=list)
    buffered_bytes: int = 0
    flush_scheduled: bool = False
    final_answer: Answer | None = None
    closed: bool = False
    room: anyio.Event = field(default_factory=anyio.Event)

    @property
    def full(self) -> bool:
        """Tell whether reading from the endpoint has to pause."""
        return self.buffered_bytes >= READ_AHEAD_BYTES and not self.closed

    def add_text(self, text: str, tokens: int) -> None:
        """Buffer text of a model's answer and schedule a flush."""
        self.text.append(text)
        self.tokens += tokens
        self.buffered_bytes += len(text)
        self.schedule_flush()

    def add_raw(self, raw: bytes) -> None:
        """Buffer bytes of a service's answer as one chunk and flush."""
        self.raw.append(raw)
        self.buffered_bytes += len(raw)
        self.flush()

    def schedule_flush(self) -> None:
        """Flush in the next iteration of the event loop."""
        if self.flush_scheduled:
            return
        self.flush_scheduled = True
        asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Send buffered chunks as far as the credit allows, then the end."""
        self.flush_scheduled = False
        if self.closed:
            return
        while self.raw and self.credit:
            self.send_chunk(
                Chunk(self.request_id, self.seq, '', 0, self.raw[0])
            )
            self.buffered_bytes -= len(self.raw.pop(0))
        if self.text and self.credit:
            text = ''.join(self.text)
            self.send_chunk(Chunk(self.request_id, self.seq, text, self.tokens))
            self.buffered_bytes -= len(text)
            self.text.clear()
            self.tokens = 0
        if not self.full:
            self.room.set()
        self.send_end()

    def send_chunk(self, chunk: Chunk) -> None:
        """Send one chunk and use one credit."""
        self.session.send(chunk)
        self.seq += 1
        self.credit -= 1

    def send_end(self) -> None:
        """Send End if the answer is finished and no chunk is buffered."""
        if self.final_answer is None or self.text or self.raw:
            return
        self.closed = True
        self.session.send(
            End(
                self.request_id,
                self.seq,
                self.final_answer.status,
                self.final_answer.headers,
                self.final_answer.body,
                self.final_answer.finish_reason,
                self.final_answer.prompt_tokens,
                self.final_answer.completion_tokens,
            )
        )

    def add_credit(self, chunks: int) -> None:
        """Add credit granted by the receiver and flush."""
        self.credit += max(0, chunks)
        self.flush()

    async def wait_for_room(self) -> None:
        """Wait until reading from the endpoint may continue."""
        while self.full:
            self.room = anyio.Event()
            await self.room.wait()

    def finish(self, answer: Answer) -> None:
        """End the answer once all buffered chunks are sent."""
        self.final_answer = answer
        self.flush()

    def fail(self, failed: Failed) -> None:
        """Discard buffered chunks and send the failure; no-op if closed."""
        if self.closed:
            return
        self.close()
        self.session.send(failed)

    def close(self) -> None:
        """Discard buffered chunks and close the stream without a message."""
        self.closed = True
        self.text.clear()
        self.raw.clear()
        self.buffered_bytes = 0
        self.room.set()

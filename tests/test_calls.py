"""Tests of request streams that share one connection."""

from __future__ import annotations

from typing import Any, cast

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.connection.calls import CallTable, read_call
from quetzaldyke.connection.messages import (
    Cancel,
    Chunk,
    End,
    Failed,
    Message,
    Submit,
    Window,
)


class Session:
    """A session that records sent messages."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)


def make_table() -> tuple[CallTable, Session]:
    """Return a table without a connection."""
    session = Session()
    return CallTable(cast(Any, session)), session


def make_submit() -> Submit:
    """Return a request."""
    return Submit(
        'r1', 'online', True, 'o', 'p', 'POST', '/', {}, b'', True, 1000, 'f'
    )


def end(seq: int) -> End:
    """Return an End message that counts `seq` chunks."""
    return End('r1', seq, 200, {}, b'', 'stop', 1, seq)


async def read_all(table: CallTable, events: list[Message]) -> list[Any]:
    """Deliver events and return the events that the reader receives."""
    call = table.begin(make_submit())
    for event in events:
        table.deliver(event)
    found = []
    async for event in read_call(table, call):
        found.append(event)
        if call.finished and not call.queue.events:
            break
    return found


@given(
    copies_per_chunk=st.lists(st.integers(0, 3), max_size=12),
    excess_count=st.integers(0, 1),
)
def test_answer_is_complete_or_failed(
    copies_per_chunk: list[int], excess_count: int
) -> None:
    """Guards against truncated, duplicated or reordered answers.

    Each chunk is delivered 0 to 3 times, and the End message counts the right
    number of chunks or one too many.
    """
    events: list[Message] = [
        Chunk('r1', seq, f' {seq}', 1)
        for seq, times in enumerate(copies_per_chunk)
        for _ in range(times)
    ]
    table, _ = make_table()
    sent = [*events, end(len(copies_per_chunk) + excess_count)]
    found = anyio.run(read_all, table, sent)
    text = [one.text for one in found if isinstance(one, Chunk)]
    assert text == [f' {seq}' for seq in range(len(text))]
    complete = 0 not in copies_per_chunk and not excess_count
    last = found[-1]
    assert isinstance(last, End) is complete
    assert not complete or len(text) == len(copies_per_chunk)
    assert complete or (isinstance(last, Failed) and last.ran == 'unknown')
    assert not table.calls


@pytest.mark.parametrize('chunks', [31, 32, 200])
def test_read_chunks_are_credited(chunks: int) -> None:
    """Guards against a sender that never gets more credit."""
    table, session = make_table()
    events: list[Message] = [Chunk('r1', seq, 'x', 1) for seq in range(chunks)]
    anyio.run(read_all, table, [*events, end(chunks)])
    granted = [one.chunks for one in session.sent if isinstance(one, Window)]
    assert chunks - sum(granted) < 32


def test_closed_reader_cancels_the_request() -> None:
    """Guards against an endpoint that runs a request nobody reads."""
    table, session = make_table()

    async def scenario() -> None:
        call = table.begin(make_submit())
        table.deliver(Chunk('r1', 0, 'x', 1))
        reader = read_call(table, call)
        await anext(reader)
        await cast(Any, reader).aclose()
        table.deliver(Chunk('r1', 1, 'late', 1))

    anyio.run(scenario)
    assert session.sent[-1] == Cancel('r1')
    assert not table.calls

"""Tests of the ordered stream of each request on a connection."""

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
    """A session that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Keep a message."""
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
    """Return the end of an answer."""
    return End('r1', seq, 200, {}, b'', 'stop', 1, seq)


async def read_all(table: CallTable, events: list[Message]) -> list[Any]:
    """Deliver events and return what the reader of the request gets."""
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
    copies=st.lists(st.integers(0, 3), max_size=12),
    counted=st.integers(0, 1),
)
def test_answer_is_whole_or_failed(copies: list[int], counted: int) -> None:
    """Guards against a short, doubled or reordered answer."""
    events: list[Message] = [
        Chunk('r1', seq, f' {seq}', 1)
        for seq, times in enumerate(copies)
        for _ in range(times)
    ]
    table, _ = make_table()
    sent = [*events, end(len(copies) + counted)]
    found = anyio.run(read_all, table, sent)
    text = [one.text for one in found if isinstance(one, Chunk)]
    assert text == [f' {seq}' for seq in range(len(text))]
    whole = 0 not in copies and not counted
    last = found[-1]
    assert isinstance(last, End) is whole
    assert not whole or len(text) == len(copies)
    assert whole or (isinstance(last, Failed) and last.ran == 'unknown')
    assert not table.calls


@pytest.mark.parametrize('chunks', [31, 32, 200])
def test_read_chunks_are_granted_again(chunks: int) -> None:
    """Guards against a sender that waits for credit for ever."""
    table, session = make_table()
    events: list[Message] = [Chunk('r1', seq, 'x', 1) for seq in range(chunks)]
    anyio.run(read_all, table, [*events, end(chunks)])
    granted = [one.chunks for one in session.sent if isinstance(one, Window)]
    assert chunks - sum(granted) < 32


def test_reader_that_leaves_cancels_the_request() -> None:
    """Guards against an endpoint that works for a caller who is gone."""
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

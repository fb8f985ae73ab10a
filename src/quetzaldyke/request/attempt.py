"""Runs one attempt of an online request or batch item over a sidecar link.

Updates the link's in-flight counts and its mean time to first token, which
routing uses.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Final

from quetzaldyke.connection.calls import (
    Call,
    CallEvent,
    CallTable,
    read_call,
)
from quetzaldyke.connection.messages import Chunk, End, Started, Submit
from quetzaldyke.process.fleet import SidecarLink

MS_IN_S: Final = 1000
# Weight of the newest sample in the moving average of the time to first
# token; the average spans about ten samples.
TTFT_WEIGHT: Final = 0.1

OnBegin = Callable[[CallTable, Call], None]


def add_running(link: SidecarLink, submit: Submit, change: int) -> None:
    """Add `change` to the link's count of running requests of its kind."""
    if submit.work == 'batch':
        link.running_batch += change
    else:
        link.running_online += change


def update_mean_ttft(link: SidecarLink, sample_ms: float) -> None:
    """Update the link's moving average of the time to first token."""
    if link.ttft_ms == 0:
        link.ttft_ms = sample_ms
        return
    link.ttft_ms += TTFT_WEIGHT * (sample_ms - link.ttft_ms)


async def run_on(
    link: SidecarLink,
    submit: Submit,
    on_begin: OnBegin | None = None,
    read_now_s: Callable[[], float] = time.monotonic,
) -> AsyncIterator[CallEvent]:
    """Yield the events of one attempt; the last is `End` or `Failed`.

    Closing the iterator early cancels the request at the sidecar.
    """
    started_s = read_now_s()
    awaiting_first = submit.work == 'online'
    add_running(link, submit, 1)
    try:
        call = link.calls.begin(submit)
        if on_begin is not None:
            on_begin(link.calls, call)
        async with aclosing(read_call(link.calls, call)) as events:  # type: ignore[type-var]
            async for event in events:
                if awaiting_first and isinstance(event, Chunk | End):
                    awaiting_first = False
                    update_mean_ttft(link, (read_now_s() - started_s) * MS_IN_S)
                yield event
    finally:
        add_running(link, submit, -1)


def proves_receipt(event: CallEvent) -> bool:
    """Return whether the event proves that the endpoint got the request."""
    return isinstance(event, Started | Chunk | End)

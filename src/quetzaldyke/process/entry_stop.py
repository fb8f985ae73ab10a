"""Planned stop of an entry, which cuts no request.

The order is: not ready, linger while still serving, stop accepting, finish
what runs, stop the parts.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import anyio

from quetzaldyke.connection.messages import LeavingNotice
from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.http_listener import HttpListener

if TYPE_CHECKING:
    from quetzaldyke.process.entry import EntryProcess

DRAIN_POLL_S: Final = 0.02


async def stop_as_planned(
    entry: EntryProcess,
    callers: HttpListener,
    parts: Sequence[EntryPart],
) -> None:
    """Leave without cutting a request."""
    entry.log_event('entry_stopping', open_requests=entry.open_requests.count)
    entry.fleet.own = replace(entry.fleet.own, leaving=True)
    for session in list(entry.fleet.entries.values()):
        session.send(LeavingNotice(entry.settings.instance))
    # The balancer needs a moment to see that the entry is not ready, and
    # sends callers until then.
    entry.open_requests.closing = True
    await anyio.sleep(entry.settings.linger_s)
    with anyio.move_on_after(entry.settings.drain_s) as scope:
        await callers.stop()
        await drained(entry)
        for part in reversed(parts):
            await part.stop(entry)
    if scope.cancelled_caught:
        entry.log_event(
            'drain_timed_out',
            open_requests=entry.open_requests.count,
        )


async def drained(entry: EntryProcess) -> None:
    """Wait for callers' requests and runs whose caller is gone."""
    assert entry.once is not None
    while entry.open_requests.count or entry.once.running:
        await anyio.sleep(DRAIN_POLL_S)
    await entry.claims.retry_failed_writes()

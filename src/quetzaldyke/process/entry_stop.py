"""Graceful shutdown of an entry, which lets running requests finish.

The entry turns unready, serves on for `linger_s`, stops accepting, waits for
running requests and stops its parts.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Final

import anyio

from quetzaldyke.connection.messages import LeavingNotice
from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.entry_state import EntryProcess
from quetzaldyke.process.http_listener import HttpListener

DRAIN_POLL_S: Final = 0.02


async def shut_down_gracefully(
    entry: EntryProcess,
    callers: HttpListener,
    parts: Sequence[EntryPart],
) -> None:
    """Announce the shutdown, finish running requests and stop the parts.

    Requests that still run after `drain_s` are logged and given up.
    """
    entry.log_event('entry_stopping', open_requests=entry.open_requests.count)
    entry.fleet.own = replace(entry.fleet.own, leaving=True)
    for session in list(entry.fleet.entries.values()):
        session.send(LeavingNotice(entry.settings.instance))
    # The load balancer sends callers until it has noticed that the entry is
    # not ready.
    entry.open_requests.closing = True
    await anyio.sleep(entry.settings.linger_s)
    with anyio.move_on_after(entry.settings.drain_s) as scope:
        await callers.stop()
        await wait_for_requests(entry)
        for part in reversed(parts):
            await part.stop(entry)
    if scope.cancelled_caught:
        entry.log_event(
            'drain_timed_out',
            open_requests=entry.open_requests.count,
        )


async def wait_for_requests(entry: EntryProcess) -> None:
    """Wait for open requests and for runs whose caller has disconnected.

    Then writes of outcomes that failed before are tried again.
    """
    assert entry.once is not None
    while entry.open_requests.count or entry.once.running:
        await anyio.sleep(DRAIN_POLL_S)
    await entry.claims.retry_failed_writes()

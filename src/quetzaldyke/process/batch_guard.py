"""Runs background tasks whose exceptions must not stop the entry."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from quetzaldyke.process.logs import LogEvent


async def run_guarded(
    log_event: LogEvent,
    name: str,
    run: Callable[[], Awaitable[None]],
) -> None:
    """Run a task; log an exception instead of raising it.

    An exception would cancel the entry's whole task group.
    """
    try:
        await run()
    except Exception as exc:
        log_event('batch_fault', task=name, fault=repr(exc))

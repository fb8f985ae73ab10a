"""Runs background work whose faults must not end the entry."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from quetzaldyke.process.logs import LogEvent


async def guarded(
    log_event: LogEvent,
    name: str,
    run: Callable[[], Awaitable[None]],
) -> None:
    """Run a task of the entry's group and log a fault instead of raising."""
    try:
        await run()
    except Exception as exc:
        log_event('batch_fault', task=name, fault=repr(exc))

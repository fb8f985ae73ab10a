"""Runs background steps whose unexpected errors must not end the process.

An exception in a task ends the whole task group, and with it the process and
all its requests. The step that failed is logged and left to its next turn.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, ParamSpec

from quetzaldyke.gateway.logs import log_event

MAX_LOGGED_CHARS: Final = 200

P = ParamSpec('P')


async def run_guarded(
    step: Callable[P, Awaitable[None]],
    *args: P.args,
    **kwargs: P.kwargs,
) -> None:
    """Run a step; log an exception in place of raising it."""
    try:
        await step(*args, **kwargs)
    except Exception as exc:
        log_step_failure(step, exc)


def call_guarded(
    step: Callable[P, None],
    *args: P.args,
    **kwargs: P.kwargs,
) -> None:
    """Call a function; log an exception in place of raising it."""
    try:
        step(*args, **kwargs)
    except Exception as exc:
        log_step_failure(step, exc)


def describe_fault(exc: Exception) -> str:
    """Return an exception for the log, whose text may be that of a peer."""
    return repr(exc)[:MAX_LOGGED_CHARS]


def log_step_failure(step: Callable[..., object], exc: Exception) -> None:
    """Log which step failed, and how."""
    name = getattr(step, '__qualname__', repr(step))
    log_event('step_failed', step=name, fault=describe_fault(exc))


def log_timer_failure(name: str, exc: Exception) -> None:
    """Log the failure of a timer's callback, which stays subscribed."""
    log_event('timer_failed', timer=name, fault=describe_fault(exc))

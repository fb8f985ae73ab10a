"""Extension points of an entry: routes and hooks at start and shutdown.

Every hook and route factory of a part gets the entry and takes from it the
objects that it needs. Parts are started in order and stopped in reverse.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

from starlette.routing import BaseRoute

from quetzaldyke.process.entry_state import EntryProcess

RouteFactory = Callable[[EntryProcess], Sequence[BaseRoute]]
PartHook = Callable[[EntryProcess], Awaitable[None]]


def no_routes(_: EntryProcess) -> Sequence[BaseRoute]:
    """Return no routes; default of a part without HTTP routes."""
    return ()


async def do_nothing(_: EntryProcess) -> None:
    """Do nothing; default of a part without a start or stop hook."""


@dataclass(frozen=True, slots=True)
class EntryPart:
    """A part of an entry: its HTTP routes and its start and stop hooks.

    `start` subscribes to timers and messages and may start tasks in the
    entry's task group. `stop` runs during a graceful shutdown after the
    callers' requests have ended and before the peer connections close.
    """

    name: str
    caller_routes: RouteFactory = no_routes
    operator_routes: RouteFactory = no_routes
    start: PartHook = do_nothing
    stop: PartHook = do_nothing


NO_PARTS: Final[tuple[EntryPart, ...]] = ()

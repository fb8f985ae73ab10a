"""Places where parts of an entry plug in: routes, timers and handlers.

A part gets the entry once, at its start, and takes from it the objects that
it needs. Parts are started in order and stopped in reverse.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from starlette.routing import BaseRoute

if TYPE_CHECKING:
    from quetzaldyke.process.entry import EntryProcess

Routes = Callable[['EntryProcess'], Sequence[BaseRoute]]
Hook = Callable[['EntryProcess'], Awaitable[None]]


def no_routes(_: EntryProcess) -> Sequence[BaseRoute]:
    """Return no routes."""
    return ()


async def do_nothing(_: EntryProcess) -> None:
    """Start or stop nothing."""


@dataclass(frozen=True, slots=True)
class EntryPart:
    """One part: where it listens and what it does at start and stop.

    `start` subscribes to timers and messages and may start tasks in the
    entry's group. `stop` runs in a planned stop after the callers' requests
    have ended and before the peer connections close.
    """

    name: str
    caller_routes: Routes = no_routes
    operator_routes: Routes = no_routes
    start: Hook = do_nothing
    stop: Hook = do_nothing


PARTS: Final[tuple[EntryPart, ...]] = ()

"""Plugs the configuration's spread and operators' HTTP into an entry."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from starlette.routing import BaseRoute

from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.event_query import EventQueries
from quetzaldyke.process.operators_http import (
    OperatorsContext,
    make_operators_app,
)
from quetzaldyke.version.everywhere import EverywhereWait
from quetzaldyke.version.spread import Spread

if TYPE_CHECKING:
    from quetzaldyke.process.entry import EntryProcess

MAX_EXPLAINED: Final = 200


@dataclass(slots=True)
class ConfigParts:
    """Configuration of one entry; kept at `entry.versions`."""

    spread: Spread
    everywhere: EverywhereWait
    events: EventQueries


async def start(entry: EntryProcess) -> None:
    """Start to follow the configuration."""
    assert entry.group is not None
    spread = Spread.from_parts(
        entry.store,
        entry.config,
        entry.fleet,
        entry.clock,
        entry.log_event,
    )
    spread.subscribe(entry.timers)
    events = EventQueries(entry.fleet, entry.timeline)
    events.subscribe()
    everywhere = EverywhereWait(entry.fleet, spread.exchange, entry.clock)
    everywhere.subscribe()
    entry.versions = ConfigParts(spread, everywhere, events)
    entry.group.start_soon(spread.run)
    entry.group.start_soon(everywhere.run)


async def tell_events(events: EventQueries, name: str) -> str:
    """Return the events that mention a name, one a line."""
    found = await events.gather(name, MAX_EXPLAINED)
    return '\n'.join(
        f'{event.stamp} {event.name} {event.fields}' for event in found
    )


def operator_routes(entry: EntryProcess) -> Sequence[BaseRoute]:
    """Return the routes for operators."""
    parts = entry.versions
    assert isinstance(parts, ConfigParts)
    context = OperatorsContext(
        operator_key=entry.settings.operator_key,
        holder=entry.config,
        store=entry.store,
        fleet=entry.fleet,
        metrics=entry.metrics,
        versions=parts.everywhere,
        log_event=entry.log_event,
        unready_reason=entry.unready_reason,
        gather_events=parts.events.gather,
        explain=lambda name: tell_events(parts.events, name),
        on_head=parts.spread.on_head,
    )
    return make_operators_app(context).routes


CONFIG_PART: Final = EntryPart(
    'configuration',
    operator_routes=operator_routes,
    start=start,
)

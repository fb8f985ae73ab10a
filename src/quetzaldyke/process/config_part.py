"""Plugs the configuration's spread and operators' HTTP into an entry."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from starlette.routing import BaseRoute

from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.event_query import EventQueries
from quetzaldyke.process.explain import explain
from quetzaldyke.process.fleet import make_reach
from quetzaldyke.process.operators_http import (
    OperatorsContext,
    make_operators_app,
)
from quetzaldyke.version.everywhere import EverywhereWait
from quetzaldyke.version.order_calls import OrderCalls
from quetzaldyke.version.order_giver import RECONCILE_INTERVAL_S, OrderGiver
from quetzaldyke.version.seen import SeenEndpoints
from quetzaldyke.version.spread import Spread

if TYPE_CHECKING:
    from quetzaldyke.process.entry import EntryProcess

MAX_EXPLAINED: Final = 500


@dataclass(slots=True)
class ConfigParts:
    """Configuration of one entry; kept at `entry.versions`."""

    spread: Spread
    everywhere: EverywhereWait
    events: EventQueries
    orders: OrderGiver


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
    orders = make_order_giver(entry)
    orders.subscribe()
    entry.versions = ConfigParts(spread, everywhere, events, orders)
    entry.timers.subscribe(
        'placement',
        RECONCILE_INTERVAL_S,
        orders.reconcile,
    )
    entry.group.start_soon(spread.run)
    entry.group.start_soon(everywhere.run)


def make_order_giver(entry: EntryProcess) -> OrderGiver:
    """Return the entry's part in giving orders to engines."""
    assert entry.group is not None

    return OrderGiver(
        entry.store,
        entry.config,
        entry.fleet,
        entry.log_event,
        entry.group,
        SeenEndpoints(
            entry.fleet, make_reach(entry.fleet, lambda: entry.link_options)
        ),
        OrderCalls(entry.fleet),
    )


def unready_reason(entry: EntryProcess, spread: Spread) -> str:
    """Return why the entry is not ready, or nothing."""
    reason = entry.unready_reason()
    if not reason and not spread.settled:
        return 'the configuration may be older than that of the peers'
    return reason


async def tell_events(events: EventQueries, name: str) -> str:
    """Return the history of a name in sentences."""
    return explain(name, await events.gather(name, MAX_EXPLAINED))


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
        unready_reason=lambda: unready_reason(entry, parts.spread),
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

"""Adds configuration, placement and the operators' HTTP to an entry."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from starlette.routing import BaseRoute

from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.entry_state import EntryProcess
from quetzaldyke.process.event_query import EventQueries
from quetzaldyke.process.explain import explain
from quetzaldyke.process.fleet import make_connector
from quetzaldyke.process.operators_http import (
    OperatorsContext,
    make_operators_app,
)
from quetzaldyke.version.config_sync import ConfigSync
from quetzaldyke.version.endpoint_reports import EndpointReports
from quetzaldyke.version.order_calls import OrderCalls
from quetzaldyke.version.placement_controller import (
    RECONCILE_INTERVAL_S,
    PlacementController,
)
from quetzaldyke.version.rollout import RolloutMonitor

MAX_EXPLAINED_EVENTS: Final = 500


@dataclass(slots=True)
class ConfigServices:
    """Services of the configuration part, stored in `entry.versions`."""

    sync: ConfigSync
    rollout: RolloutMonitor
    events: EventQueries
    controller: PlacementController


async def start(entry: EntryProcess) -> None:
    """Start configuration sync, rollout, event queries and placement."""
    assert entry.group is not None
    sync = ConfigSync.from_parts(
        entry.store,
        entry.config,
        entry.fleet,
        entry.clock,
        entry.log_event,
    )
    sync.subscribe(entry.timers)
    events = EventQueries(entry.fleet, entry.timeline)
    events.subscribe()
    rollout = RolloutMonitor(entry.fleet, sync.exchange, entry.clock)
    rollout.subscribe()
    controller = make_placement_controller(entry)
    controller.subscribe()
    entry.versions = ConfigServices(sync, rollout, events, controller)
    entry.timers.subscribe(
        'placement',
        RECONCILE_INTERVAL_S,
        controller.reconcile,
    )
    entry.group.start_soon(sync.run)
    entry.group.start_soon(rollout.run)


def make_placement_controller(entry: EntryProcess) -> PlacementController:
    """Return the controller of model placement for an entry."""
    assert entry.group is not None

    return PlacementController(
        entry.store,
        entry.config,
        entry.fleet,
        entry.log_event,
        entry.group,
        EndpointReports(
            entry.fleet, make_connector(entry.fleet, lambda: entry.link_options)
        ),
        OrderCalls(entry.fleet),
    )


def unready_reason(entry: EntryProcess, sync: ConfigSync) -> str:
    """Return why the entry is not ready for callers; empty if ready."""
    reason = entry.unready_reason()
    if not reason and not sync.synced:
        return 'the configuration may be older than that of the peers'
    return reason


async def explain_subject(events: EventQueries, name: str) -> str:
    """Return the history of a request, item, job or patch as sentences."""
    return explain(name, await events.gather(name, MAX_EXPLAINED_EVENTS))


def operator_routes(entry: EntryProcess) -> Sequence[BaseRoute]:
    """Return the operators' routes; `start` must have run."""
    parts = entry.versions
    assert isinstance(parts, ConfigServices)
    context = OperatorsContext(
        operator_key=entry.settings.operator_key,
        holder=entry.config,
        store=entry.store,
        fleet=entry.fleet,
        metrics=entry.metrics,
        versions=parts.rollout,
        log_event=entry.log_event,
        unready_reason=lambda: unready_reason(entry, parts.sync),
        gather_events=parts.events.gather,
        explain=lambda name: explain_subject(parts.events, name),
        on_head=parts.sync.on_head,
    )
    return make_operators_app(context).routes


CONFIG_PART: Final = EntryPart(
    'configuration',
    operator_routes=operator_routes,
    start=start,
)

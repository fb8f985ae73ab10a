"""Runs the entry, the daemon between callers and sidecars.

One exit stack owns everything that must be closed. Setting `stopping`
starts the graceful shutdown; cancelling `run_entry` ends it like a crash.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from starlette.applications import Starlette

from quetzaldyke.connection.http_server import HttpOptions
from quetzaldyke.connection.links import listen
from quetzaldyke.connection.messages import (
    Report,
)
from quetzaldyke.parts.hlc import MS_IN_S
from quetzaldyke.process.callers_http import CallersContext, callers_app
from quetzaldyke.process.entry_parts import NO_PARTS, EntryPart
from quetzaldyke.process.entry_state import EntryProcess
from quetzaldyke.process.entry_stop import shut_down_gracefully
from quetzaldyke.process.http_listener import HttpListener, start_http
from quetzaldyke.process.membership import LIST_INTERVAL_S, Membership
from quetzaldyke.process.settings import EntrySettings
from quetzaldyke.process.suspects_relay import (
    EXPIRY_CHECK_INTERVAL_S,
)
from quetzaldyke.request.deadline import EXPIRY_INTERVAL_S
from quetzaldyke.request.limits import (
    REPORT_INTERVAL_S,
)
from quetzaldyke.request.once import SETTLE_INTERVAL_S, OnceContext

# Pruning reads all 64 buckets of claims; at this interval that adds few
# calls to the key-value service.
PRUNE_INTERVAL_S: Final = 600.0


async def run_entry(
    settings: EntrySettings,
    *,
    parts: Sequence[EntryPart] = NO_PARTS,
    task_status: TaskStatus[EntryProcess] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until its graceful shutdown is complete."""
    entry = EntryProcess.from_settings(settings)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(entry.store.aclose)
        group = await stack.enter_async_context(anyio.create_task_group())
        entry.group = group
        await start_links(entry, group, stack)
        for part in parts:
            await part.start(entry)
        callers = await start_callers(entry, group, parts)
        operators = await start_operators(entry, group, parts)
        subscribe_timers(entry)
        group.start_soon(entry.timers.run)
        entry.log_event(
            'entry_started',
            callers=entry.callers_address,
            operators=entry.operators_address,
            peers=entry.peer_address,
        )
        task_status.started(entry)
        await entry.stopping.wait()
        await shut_down_gracefully(entry, callers, parts)
        await operators.stop()
        group.cancel_scope.cancel()
    entry.log_event('entry_stopped')


async def start_links(
    entry: EntryProcess,
    group: TaskGroup,
    stack: AsyncExitStack,
) -> None:
    """Start listening to peers and read the instance list once."""
    options = entry.make_link_options()
    entry.link_options = options
    entry.suspects.subscribe()
    entry.usage.subscribe()
    entry.fleet.subscribe(Report, entry.router.on_report)
    entry.peer_address = await group.start(
        listen,
        entry.settings.peer_address,
        options,
    )
    entry.once = OnceContext(
        entry.execute,
        entry.claims,
        group,
        entry.settings.retention_s,
    )
    entry.membership = Membership(
        entry.settings.instances_address,
        entry.fleet,
        options,
        group,
        entry.log_event,
    )
    entry.membership.subscribe()
    stack.push_async_callback(entry.membership.aclose)
    await entry.membership.refresh()


def subscribe_timers(entry: EntryProcess) -> None:
    """Register the entry's periodic tasks."""
    assert entry.membership is not None
    assert entry.once is not None
    timers = entry.timers
    timers.on_failure = entry.on_timer_failure
    timers.on_wakeup(
        lambda delay_s: entry.metrics.observe_ms(
            'timer_delay_ms',
            delay_s * MS_IN_S,
        ),
    )
    timers.subscribe('instances', LIST_INTERVAL_S, entry.membership.refresh)
    timers.subscribe('deadlines', EXPIRY_INTERVAL_S, entry.expire_requests)
    timers.subscribe(
        'outcomes', SETTLE_INTERVAL_S, entry.claims.retry_failed_writes
    )
    timers.subscribe('claims', PRUNE_INTERVAL_S, entry.prune_claims)
    timers.subscribe('usage', REPORT_INTERVAL_S, entry.usage.exchange)
    timers.subscribe(
        'suspects', EXPIRY_CHECK_INTERVAL_S, entry.suspects.drop_expired
    )


def http_options(entry: EntryProcess, address: str) -> HttpOptions:
    """Return the options of a listener at an address."""
    return HttpOptions(address, math.ceil(entry.settings.drain_s))


async def start_callers(
    entry: EntryProcess,
    group: TaskGroup,
    parts: Sequence[EntryPart],
) -> HttpListener:
    """Start the callers' listener and store its address."""
    assert entry.once is not None
    context = CallersContext(
        entry.settings,
        entry.clock,
        entry.config,
        entry.execute,
        entry.once,
    )
    part_routes = [
        route for part in parts for route in part.caller_routes(entry)
    ]
    app = callers_app(context, entry.limits, entry.open_requests, part_routes)
    options = http_options(entry, entry.settings.callers_address)
    listener = await start_http(app, options, group)
    entry.callers_address = listener.address
    return listener


async def start_operators(
    entry: EntryProcess,
    group: TaskGroup,
    parts: Sequence[EntryPart],
) -> HttpListener:
    """Start the operators' listener and store its address."""
    routes = [route for part in parts for route in part.operator_routes(entry)]
    options = http_options(entry, entry.settings.operators_address)
    listener = await start_http(Starlette(routes=routes), options, group)
    entry.operators_address = listener.address
    return listener

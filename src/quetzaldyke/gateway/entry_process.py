"""Runs an entry: starts its parts, follows the store, stops as planned."""

from __future__ import annotations

import asyncio
import signal
import socket
from contextlib import AsyncExitStack
from typing import Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.caller_connection import CallerConnection
from quetzaldyke.connection.http_server import HttpOptions, serve_http
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.entry import (
    NEWS_INTERVALS,
    WATCHDOG_INTERVAL_S,
    Entry,
)
from quetzaldyke.gateway.ingress import readiness_app
from quetzaldyke.gateway.job_records import FLEET_PREFIX
from quetzaldyke.gateway.logs import LineWriter, log_event
from quetzaldyke.gateway.metrics_app import metrics_app
from quetzaldyke.gateway.model import Installation, Route
from quetzaldyke.gateway.store_tunnel import serve_tunnels
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.platform import names

# The balancer takes an unready entry out after two misses.
LINGER_S: Final = 2.6
# The operator's limit on idle connections is kept by the entry itself.
UNLIMITED_S: Final = 86_400
# Wait for the first news of the store before callers are accepted.
FIRST_NEWS_LIMIT_S: Final = 0.1
# Kept free before the kill at the end of the grace time.
STOP_RESERVE_S: Final = 0.7


async def run_entry(
    installation: Installation,
    writer: LineWriter,
    callers: socket.socket,
    metrics_port: int,
) -> None:
    """Run an entry until its planned stop is complete.

    `callers` already listens; connections are accepted when the entry knows
    what to do with them.
    """
    entry = Entry.from_installation(installation, writer)
    log_event(
        'entry_started',
        instance=installation.instance,
        owner=entry.member.owner_id,
        callers=installation.callers_address,
    )
    async with AsyncExitStack() as stack:
        stack.callback(entry.client.close)
        group = await stack.enter_async_context(anyio.create_task_group())
        start_runner(entry, group)
        await group.start(
            serve_tunnels,
            installation.host,
            installation.first_peer_port,
            entry.store.path.store,
        )
        await start_gossip(entry, stack)
        ended = anyio.Event()
        follow_store(entry, group)
        await group.start(
            serve_http,
            readiness_app(entry.unready_reason),
            HttpOptions(installation.readiness_address, drain_s=1),
            ended,
        )
        await group.start(
            serve_http,
            metrics_app(entry.metrics),
            HttpOptions(f'{installation.host}:{metrics_port}', drain_s=1),
            ended,
        )
        listener_ended = anyio.Event()
        group.start_soon(entry.registration.renew)
        group.start_soon(entry.timers.run)
        group.start_soon(watch_signals, entry)
        await wait_until_informed(entry)
        entry.callers = await group.start(
            serve_http,
            entry.ingress,
            HttpOptions(
                installation.callers_address,
                drain_s=max(1, int(installation.bounds.grace_s)),
                keep_alive_s=UNLIMITED_S,
                protocol=CallerConnection,
            ),
            listener_ended,
            callers,
        )
        log_event('entry_accepting', lacks=entry.unready_reason())
        await entry.stopping.wait()
        await stop(entry, group, listener_ended)
        group.cancel_scope.cancel()
    log_event('entry_stopped')


async def wait_until_informed(entry: Entry) -> None:
    """Return once the configuration and the endpoints are known.

    The store answers within milliseconds. When it does not, callers are told
    so instead of being left waiting.
    """
    with anyio.move_on_after(FIRST_NEWS_LIMIT_S):
        await entry.informed.wait()


def start_runner(entry: Entry, group: TaskGroup) -> None:
    """Let the entry run batch items."""

    def find_route(name: str) -> Route | None:
        table = entry.ingress.table
        return table.by_name.get(name) if table else None

    runner = BatchRunner(
        entry.dispatcher,
        entry.client,
        entry.job_store,
        entry.policy,
        group,
        lambda: NEWS_INTERVALS * entry.gossip.interval_s(),
        find_route,
    )
    entry.run_batch(runner)


async def start_gossip(entry: Entry, stack: AsyncExitStack) -> None:
    """Open the datagram socket."""
    installation = entry.installation
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: entry.gossip,
        local_addr=(installation.host, installation.first_peer_port),
    )
    stack.callback(entry.gossip.close)


def follow_store(entry: Entry, group: TaskGroup) -> None:
    """Follow configuration, endpoints and jobs."""
    watchers = [
        PrefixWatcher(
            entry.store,
            names.OPERATOR_PREFIX,
            entry.configurations.on_snapshot,
            entry.configurations.on_changes,
        ),
        PrefixWatcher(
            entry.store,
            names.ENDPOINT_PREFIX,
            entry.endpoints.on_snapshot,
            entry.endpoints.on_changes,
        ),
        PrefixWatcher(
            entry.store,
            FLEET_PREFIX,
            entry.jobs.apply_snapshot,
            entry.jobs.apply_changes,
            poll_delay_s=entry.fleet_pause_s,
        ),
    ]
    watchers[0].on_success = entry.configurations.confirm
    for watcher in watchers:
        group.start_soon(watcher.run)


async def watch_signals(entry: Entry) -> None:
    """Start the planned stop at SIGTERM; settings need no reload."""
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                log_event('settings_changed', outcome='nothing to reload')
                continue
            log_event('stop_requested', signal=int(number))
            entry.stopping.set()


async def stop(
    entry: Entry,
    group: TaskGroup,
    listener_ended: anyio.Event,
) -> None:
    """Leave the balancer, finish what runs, and hand the jobs over."""
    ends_s = entry.clock.now() + entry.installation.bounds.grace_s
    entry.ingress.closing = True
    runner = entry.runner
    assert runner is not None
    group.start_soon(leave_fleet, entry, runner)
    await anyio.sleep(LINGER_S)
    listener_ended.set()
    while entry.clock.now() < ends_s - STOP_RESERVE_S:
        if not entry.ingress.open_requests:
            break
        await anyio.sleep(WATCHDOG_INTERVAL_S)


async def leave_fleet(entry: Entry, runner: BatchRunner) -> None:
    """Hand the jobs over and give the lease up."""
    if entry.owner is not None:
        entry.owner.stopping = True
    successors = [
        one
        for one in entry.jobs.members.values()
        if one.owner_id in entry.loads.peers
    ]
    await runner.hand_over_all(successors)
    await entry.registration.end()

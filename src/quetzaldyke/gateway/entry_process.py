"""Runs an entry from its start to its graceful shutdown."""

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
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.entry_wiring import WATCHDOG_INTERVAL_S, attach_runner
from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.job_records import FLEET_PREFIX
from quetzaldyke.gateway.logs import LineWriter, log_event
from quetzaldyke.gateway.metrics_app import metrics_app
from quetzaldyke.gateway.model import Installation
from quetzaldyke.gateway.readiness import readiness_app
from quetzaldyke.gateway.store_tunnel import serve_tunnels
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.platform import names

# Time for the load balancer to stop sending requests here: it removes an
# entry after two failed readiness probes.
DEREGISTRATION_DELAY_S: Final = 2.6
# Effectively disables uvicorn's idle timeout: the entry itself enforces the
# operator's limit on idle connections.
KEEP_ALIVE_S: Final = 86_400
# Longest wait for the configuration and the endpoints before callers are
# accepted.
SYNC_TIMEOUT_S: Final = 0.1
# The shutdown ends this long before the SIGKILL at the end of the grace time.
KILL_MARGIN_S: Final = 0.7
# Before that, open requests get this long for their final response.
ANSWER_MARGIN_S: Final = 0.2


async def run_entry(
    installation: Installation,
    writer: LineWriter,
    listener: socket.socket,
    metrics_port: int,
) -> None:
    """Run an entry until its graceful shutdown is complete.

    `listener` is a listening socket. Connections are accepted once the
    configuration and the endpoints are known, or after a timeout.
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
        create_runner(entry, group)
        await group.start(
            serve_tunnels,
            installation.host,
            installation.first_peer_port,
            entry.store.path.store,
        )
        await start_gossip(entry, stack)
        stop_http = anyio.Event()
        start_watchers(entry, group)
        await group.start(
            serve_http,
            readiness_app(entry.unready_reason),
            HttpOptions(installation.readiness_address, drain_s=1),
            stop_http,
        )
        await group.start(
            serve_http,
            metrics_app(entry.metrics),
            HttpOptions(f'{installation.host}:{metrics_port}', drain_s=1),
            stop_http,
        )
        stop_listener = anyio.Event()
        group.start_soon(run_guarded, entry.registration.renew)
        group.start_soon(entry.timers.run)
        group.start_soon(watch_signals, entry)
        await wait_until_synced(entry)
        entry.caller_server = await group.start(
            serve_http,
            entry.ingress,
            HttpOptions(
                installation.callers_address,
                drain_s=max(1, int(installation.bounds.grace_s)),
                keep_alive_s=KEEP_ALIVE_S,
                protocol=CallerConnection,
            ),
            stop_listener,
            listener,
        )
        log_event('entry_accepting', lacks=entry.unready_reason())
        await entry.stopping.wait()
        await shut_down(entry, group, stop_listener)
        group.cancel_scope.cancel()
    log_event('entry_stopped')


async def wait_until_synced(entry: Entry) -> None:
    """Wait until the configuration and the endpoints are known.

    Returns after a timeout even if they are not: the store usually answers
    within milliseconds, and callers should get a refusal during an outage
    instead of waiting for it to end.
    """
    with anyio.move_on_after(SYNC_TIMEOUT_S):
        await entry.synced.wait()


def create_runner(entry: Entry, group: TaskGroup) -> None:
    """Create the batch runner and attach it to the entry."""
    runner = BatchRunner(
        entry.dispatcher,
        entry.client,
        entry.job_store,
        entry.policy,
        group,
        entry.gossip.note_change,
        lambda: entry.ingress.table,
    )
    attach_runner(entry, runner)


async def start_gossip(entry: Entry, stack: AsyncExitStack) -> None:
    """Open the datagram socket for gossip; `stack` closes it."""
    installation = entry.installation
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: entry.gossip,
        local_addr=(installation.host, installation.first_peer_port),
    )
    stack.callback(entry.gossip.close)


def start_watchers(entry: Entry, group: TaskGroup) -> None:
    """Start the watches on the configuration, endpoints and jobs."""
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
            entry.on_fleet_snapshot,
            entry.on_fleet_changes,
            poll_delay_s=entry.sharing.poll_delay_s,
        ),
    ]
    watchers[0].on_success = entry.configurations.confirm
    for watcher in watchers:
        entry.sharing.add(watcher)
        group.start_soon(watcher.run)


async def watch_signals(entry: Entry) -> None:
    """Start the graceful shutdown at SIGTERM or SIGINT.

    SIGHUP is only logged, because no setting can be reloaded.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as signals:
        async for received in signals:
            if received == signal.SIGHUP:
                log_event('settings_changed', outcome='nothing to reload')
                continue
            log_event('stop_requested', signal=int(received))
            entry.stopping.set()


async def shut_down(
    entry: Entry,
    group: TaskGroup,
    stop_listener: anyio.Event,
) -> None:
    """Hand over jobs, stop listening and wait for open requests.

    The listener closes after the load balancer had time to remove this
    entry. Requests that are still open shortly before the end of the grace
    time get a final response.
    """
    started_s = entry.clock.now()
    deadline_s = started_s + entry.installation.bounds.grace_s
    ingress = entry.ingress
    ingress.closing = True
    ingress.window.leaves_at_s = deadline_s - KILL_MARGIN_S - ANSWER_MARGIN_S
    ingress.window.deregistered_at_s = started_s + DEREGISTRATION_DELAY_S
    runner = entry.runner
    assert runner is not None
    group.start_soon(run_guarded, hand_over_and_deregister, entry, runner)
    await anyio.sleep(DEREGISTRATION_DELAY_S)
    stop_listener.set()
    await wait_for_requests(entry, ingress.window.leaves_at_s)
    if ingress.open_requests.count:
        log_event('requests_ended', requests=ingress.open_requests.end_all())
        await wait_for_requests(entry, deadline_s - KILL_MARGIN_S)


async def wait_for_requests(entry: Entry, until_s: float) -> None:
    """Wait until no request is open, or until the given time."""
    while entry.clock.now() < until_s and entry.ingress.open_requests.count:
        await anyio.sleep(WATCHDOG_INTERVAL_S)


async def hand_over_and_deregister(entry: Entry, runner: BatchRunner) -> None:
    """Hand rates and jobs over to the peers, and revoke the lease."""
    entry.rates.leave()
    if entry.owner is not None:
        entry.owner.stopping = True
    successors = [
        member
        for member in entry.jobs.members.values()
        if member.owner_id in entry.loads.peers
    ]
    await runner.hand_over_all(successors)
    await entry.registration.end()

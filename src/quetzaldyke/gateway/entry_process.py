"""Runs an entry from its start to its graceful shutdown."""

from __future__ import annotations

import asyncio
import importlib
import signal
import socket
from contextlib import AsyncExitStack
from typing import Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.http_server import HttpOptions, serve_http
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.entry_wiring import WATCHDOG_INTERVAL_S
from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.job_records import FLEET_PREFIX
from quetzaldyke.gateway.logs import LineWriter, log_event
from quetzaldyke.gateway.model import Installation
from quetzaldyke.gateway.restart import StartPolicy
from quetzaldyke.gateway.status_apps import metrics_app, readiness_app
from quetzaldyke.gateway.store_tunnel import serve_tunnels
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# Time for the load balancer to stop sending requests here: it removes an
# entry after two failed readiness probes.
DEREGISTRATION_DELAY_S: Final = 2.6
# Effectively disables uvicorn's idle timeout: the entry itself enforces the
# operator's limit on idle connections.
KEEP_ALIVE_S: Final = 86_400
# Interval at which a starting entry decides whether batch jobs begin.
BATCH_CHECK_S: Final = 0.05
# Longest wait for what callers need before the jobs and members are read. The
# store usually answers within milliseconds.
FIRST_READS_TIMEOUT_S: Final = 0.1
# Longest wait for it before what repairs watches is imported.
REPAIR_DELAY_S: Final = 1.0
# Changes of endpoints accumulate for this long. Many start at once, and what
# must be known at once is in their answers.
ENDPOINT_POLL_DELAY_S: Final = 0.1
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

    `listener` is a listening socket. Connections are accepted at once; callers
    wait for the configuration and the endpoints as `restart.py` decides.
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
        await group.start(
            serve_tunnels,
            installation.host,
            installation.first_peer_port,
            entry.store.path.store,
            entry.sharing.held_update,
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
        entry.caller_server = await group.start(
            serve_http,
            entry.ingress,
            HttpOptions(
                installation.callers_address,
                drain_s=max(1, int(installation.bounds.grace_s)),
                keep_alive_s=KEEP_ALIVE_S,
            ),
            stop_listener,
            listener,
        )
        log_event('entry_accepting', lacks=entry.unready_reason())
        group.start_soon(begin_batch, entry, group)
        await entry.stopping.wait()
        await shut_down(entry, group, stop_listener)
        group.cancel_scope.cancel()
    log_event('entry_stopped')


async def begin_batch(entry: Entry, group: TaskGroup) -> None:
    """Begin to run batch jobs once the first online callers are served.

    The modules that run them are imported only then.
    """
    policy = StartPolicy(entry.started_s)
    accepting_since_s = entry.clock.now()
    while not policy.may_begin_batch(
        entry.clock.now(),
        accepting_since_s,
        sum(entry.dispatcher.waiting().values()) + (not entry.synced.is_set()),
    ):
        await anyio.sleep(BATCH_CHECK_S)
    if entry.stopping.is_set():
        return
    module = importlib.import_module('quetzaldyke.gateway.batch_start')
    module.create_runner(entry, group)
    log_event(
        'batch_begun',
        after_ms=int((entry.clock.now() - entry.started_s) * MS_IN_S),
    )


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
            wait_s=entry.configurations.watch_wait_s(),
            confirmation=entry.configurations.confirmation,
        ),
        PrefixWatcher(
            entry.store,
            names.ENDPOINT_PREFIX,
            entry.endpoints.on_snapshot,
            entry.endpoints.on_changes,
            poll_delay_s=lambda: ENDPOINT_POLL_DELAY_S,
        ),
        PrefixWatcher(
            entry.store,
            FLEET_PREFIX,
            entry.on_fleet_snapshot,
            entry.on_fleet_changes,
            poll_delay_s=entry.sharing.poll_delay_s,
            confirmation=entry.jobs.confirmation,
        ),
    ]
    entry.configurations.brought_by = lambda: watchers[0].brought_by
    for watcher in watchers:
        entry.sharing.add(watcher)
    group.start_soon(begin_repair, entry, group)
    group.start_soon(run_guarded, entry.load_crash_records)
    for first in watchers[:-1]:
        group.start_soon(first.run)
    group.start_soon(watch_fleet, entry, watchers[-1])


async def begin_repair(entry: Entry, group: TaskGroup) -> None:
    """Begin to make up for what watches miss, after what callers wait for.

    The modules for that are imported only then.
    """
    with anyio.move_on_after(REPAIR_DELAY_S):
        await entry.synced.wait()
    module = importlib.import_module('quetzaldyke.gateway.watch_repair')
    module.start_repair(entry, group)


async def watch_fleet(entry: Entry, watcher: PrefixWatcher) -> None:
    """Watch jobs and members, after what callers wait for was read."""
    with anyio.move_on_after(FIRST_READS_TIMEOUT_S):
        await entry.synced.wait()
    await watcher.run()


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
    group.start_soon(run_guarded, hand_over_and_deregister, entry)
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


async def hand_over_and_deregister(entry: Entry) -> None:
    """Hand rates and jobs over to the peers, and revoke the lease."""
    entry.rates.leave()
    if entry.owner is not None:
        entry.owner.stopping = True
    successors = [
        member
        for member in entry.jobs.members.values()
        if member.owner_id in entry.loads.peers
    ]
    if entry.runner is not None:
        await entry.runner.hand_over_all(successors)
    await entry.registration.end()

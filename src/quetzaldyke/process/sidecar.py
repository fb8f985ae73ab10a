"""The sidecar process, through which all requests reach one endpoint.

Orders to the engine also go only through its sidecar.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from anyio.abc import TaskStatus

from quetzaldyke.connection.links import LinkOptions, listen
from quetzaldyke.connection.messages import PROTOCOL_VERSION, Hello
from quetzaldyke.process import sidecar_messages
from quetzaldyke.process.endpoint_monitor import STATE_INTERVAL_S
from quetzaldyke.process.settings import SidecarSettings
from quetzaldyke.process.sidecar_drain import drain
from quetzaldyke.process.sidecar_state import SidecarProcess

# Each run of a timer costs about 70 us of CPU time. Expired grants and
# deadlines are also checked when a request starts.
REPORT_INTERVAL_S: Final = 0.1
SCHEDULE_INTERVAL_S: Final = 0.25
CACHE_INTERVAL_S: Final = 1.0
EXPIRY_CHECK_INTERVAL_S: Final = 60.0


async def run_sidecar(
    settings: SidecarSettings,
    *,
    task_status: TaskStatus[SidecarProcess] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run one sidecar until `stopping` is set and the drain is complete.

    The listening port is bound before the engine's orphaned streams are
    cancelled. It is the lock that keeps a second copy of the sidecar from
    cancelling the streams of the running one.
    """
    async with anyio.create_task_group() as group:
        process = SidecarProcess.from_settings(settings, group)
        process.peer_address = await group.start(
            listen,
            settings.peer_address,
            make_link_options(process),
        )
        subscribe_timers(process)
        group.start_soon(process.timers.run)
        group.start_soon(process.monitor.run)
        process.log_event('sidecar_started', address=process.peer_address)
        task_status.started(process)
        await process.stopping.wait()
        await drain(process)
        process.log_event('sidecar_stopped')
        group.cancel_scope.cancel()
    await process.runner.client.connections.aclose()


def make_link_options(process: SidecarProcess) -> LinkOptions:
    """Return the options for all connections of the sidecar."""
    return LinkOptions(
        process.settings.fleet_secret,
        process.clock,
        lambda: make_hello(process),
        lambda: process.config.version,
        sidecar_messages.make_open_handler(process),
        sidecar_messages.make_message_handler(process),
        sidecar_messages.make_close_handler(process),
    )


def make_hello(process: SidecarProcess) -> Hello:
    """Return the first message that the sidecar sends on a connection."""
    settings = process.settings
    return Hello(
        PROTOCOL_VERSION,
        'sidecar',
        settings.instance,
        settings.failure_domain,
        process.incarnation,
        settings.pool,
        process.config.version,
        list(process.clock.now()),
    )


def make_timer_job(
    callback: Callable[[], object],
) -> Callable[[], Awaitable[None]]:
    """Return an async timer job that calls a synchronous function."""

    async def job() -> None:
        callback()

    return job


def subscribe_timers(process: SidecarProcess) -> None:
    """Schedule the periodic jobs and the handling of pauses."""
    timers = process.timers

    def report_failure(name: str, exc: Exception) -> None:
        process.log_event('timer_failed', timer=name, reason=repr(exc))

    def adjust_and_schedule() -> None:
        process.admission.limit.adjust(process.timers.clock.now())
        process.admission.schedule()

    def drop_expired() -> None:
        process.peers.suspects.drop_expired(process.peers.now_ms())

    timers.on_failure = report_failure
    timers.subscribe(
        'report', REPORT_INTERVAL_S, make_timer_job(process.peers.report)
    )
    timers.subscribe(
        'pump', SCHEDULE_INTERVAL_S, make_timer_job(adjust_and_schedule)
    )
    timers.subscribe(
        'forget', EXPIRY_CHECK_INTERVAL_S, make_timer_job(drop_expired)
    )
    timers.subscribe(
        'cache', CACHE_INTERVAL_S, process.monitor.read_cache_events
    )
    timers.subscribe(
        'state', STATE_INTERVAL_S, process.monitor.read_engine_state
    )
    timers.on_wakeup(
        lambda gap_s: sidecar_messages.handle_pause(process, gap_s),
    )

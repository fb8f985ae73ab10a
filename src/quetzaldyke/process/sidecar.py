"""The sidecar: the only path of work and orders to one endpoint."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from anyio.abc import TaskStatus

from quetzaldyke.connection.links import LinkOptions, listen
from quetzaldyke.connection.messages import PROTOCOL_VERSION, Hello
from quetzaldyke.process import sidecar_messages
from quetzaldyke.process.endpoint_watch import STATE_INTERVAL_S
from quetzaldyke.process.settings import SidecarSettings
from quetzaldyke.process.sidecar_drain import drain
from quetzaldyke.process.sidecar_state import SidecarProcess

# Each run of a timer costs about 70 us of processor time. Late grants and
# passed deadlines are also checked at each start.
REPORT_INTERVAL_S: Final = 0.1
PUMP_INTERVAL_S: Final = 0.25
CACHE_INTERVAL_S: Final = 1.0
FORGET_INTERVAL_S: Final = 60.0


async def run_sidecar(
    settings: SidecarSettings,
    *,
    task_status: TaskStatus[SidecarProcess] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run one sidecar until `stopping` is set and the drain is complete.

    The listen port is bound before the engine's orphans are cancelled: it is
    the lock that keeps a second copy from cancelling a live one's streams.
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
        group.start_soon(process.watch.run)
        process.log_event('sidecar_started', address=process.peer_address)
        task_status.started(process)
        await process.stopping.wait()
        await drain(process)
        process.log_event('sidecar_stopped')
        group.cancel_scope.cancel()
    await process.streams.client.connections.aclose()


def make_link_options(process: SidecarProcess) -> LinkOptions:
    """Return what every connection of the sidecar needs."""
    return LinkOptions(
        process.settings.fleet_secret,
        process.clock,
        lambda: make_hello(process),
        lambda: process.config.version,
        sidecar_messages.make_open_handler(process),
        sidecar_messages.make_handler(process),
        sidecar_messages.make_close_handler(process),
    )


def make_hello(process: SidecarProcess) -> Hello:
    """Return the sidecar's first message on a connection."""
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


def every(step: Callable[[], object]) -> Callable[[], Awaitable[None]]:
    """Return a timer's job that runs one synchronous step."""

    async def job() -> None:
        step()

    return job


def subscribe_timers(process: SidecarProcess) -> None:
    """Plan the sidecar's periodic work."""
    timers = process.timers

    def report_failure(name: str, exc: Exception) -> None:
        process.log_event('timer_failed', timer=name, reason=repr(exc))

    def pump() -> None:
        process.admission.limit.adjust(process.timers.clock.now())
        process.admission.pump()

    def forget_old() -> None:
        process.peers.suspects.forget_old(process.peers.now_ms())

    timers.on_failure = report_failure
    timers.subscribe('report', REPORT_INTERVAL_S, every(process.peers.report))
    timers.subscribe('pump', PUMP_INTERVAL_S, every(pump))
    timers.subscribe('forget', FORGET_INTERVAL_S, every(forget_old))
    timers.subscribe('cache', CACHE_INTERVAL_S, process.watch.read_cache)
    timers.subscribe('state', STATE_INTERVAL_S, process.watch.read_state)
    timers.on_wakeup(
        lambda gap_s: sidecar_messages.note_gap(process, gap_s),
    )

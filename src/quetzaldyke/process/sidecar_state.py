"""State of one sidecar and construction of its components."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.engine_client import EngineClient
from quetzaldyke.connection.http_endpoint import ConnectionPool
from quetzaldyke.connection.messages import Report
from quetzaldyke.connection.service_client import ServiceClient
from quetzaldyke.parts.fencing import FencingGate
from quetzaldyke.parts.hlc import HybridClock, wall_clock_ms
from quetzaldyke.parts.limiter import AdaptiveLimit, Samples
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.parts.timeline import Timeline
from quetzaldyke.parts.timers import TimerService
from quetzaldyke.process.admission import AdmissionController
from quetzaldyke.process.batch_grants import BatchGrants
from quetzaldyke.process.endpoint_leaving import EndpointLeaving
from quetzaldyke.process.endpoint_monitor import DOWN_REASON, EndpointMonitor
from quetzaldyke.process.logs import LogEvent, make_log_event
from quetzaldyke.process.request_runner import EndpointClient, RequestRunner
from quetzaldyke.process.settings import SidecarSettings
from quetzaldyke.process.sidecar_orders import OrderExecutor
from quetzaldyke.process.sidecar_peers import SidecarPeers
from quetzaldyke.version.configuration import Configuration
from quetzaldyke.version.holder import ConfigHolder

INCARNATION_BYTES: Final = 8
LEAVING_REASON: Final = 'endpoint is leaving'


@dataclass(slots=True)
class SidecarProcess:
    """Components and state of one sidecar process."""

    settings: SidecarSettings
    clock: HybridClock
    timers: TimerService
    log_event: LogEvent
    timeline: Timeline
    config: ConfigHolder
    admission: AdmissionController
    runner: RequestRunner
    peers: SidecarPeers
    monitor: EndpointMonitor
    orders: OrderExecutor
    incarnation: str
    group: TaskGroup
    peer_address: str = ''
    stopping: anyio.Event = field(default_factory=anyio.Event)

    @classmethod
    def from_settings(
        cls,
        settings: SidecarSettings,
        group: TaskGroup,
    ) -> SidecarProcess:
        """Create a sidecar that has not been started yet."""
        stamps = HybridClock(settings.instance)
        log_event, timeline = make_log_event(settings.instance, stamps)
        timers = TimerService()
        config = ConfigHolder()
        suspects = SuspectBook()
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        client = make_client(settings)
        gate = FencingGate(timers.clock)
        admission = AdmissionController(
            settings.pool,
            settings.max_streams,
            settings.max_queue,
            timers.clock,
            make_limit(settings),
            BatchGrants(settings.pool),
            suspects,
            start=lambda request: group.start_soon(runner.run, request),
            refuse=lambda request, refusal: runner.refuse(request, refusal),
            origin=f'{settings.instance}/{incarnation}',
        )
        peers = SidecarPeers(
            settings.instance,
            timers.clock,
            config,
            suspects,
            make_report=lambda: make_report(process),
            now_ms=wall_clock_ms,
        )
        leaving = EndpointLeaving(
            log_event, on_change=lambda: update_admission(process)
        )
        client.connections.watch_answer = leaving.watch_answer
        monitor = EndpointMonitor(
            client,
            timers.clock,
            log_event,
            admission,
            peers,
            gate,
            origin=f'{settings.instance}/{incarnation}',
            on_change=lambda: update_admission(process),
            leaving=leaving,
        )
        runner = RequestRunner(
            client,
            timers.clock,
            log_event,
            admission,
            on_broken_stream=monitor.handle_broken_stream,
            on_finish=monitor.clear_suspect,
        )
        process = cls(
            settings,
            stamps,
            timers,
            log_event,
            timeline,
            config,
            admission,
            runner,
            peers,
            monitor,
            OrderExecutor(gate, monitor, log_event),
            incarnation,
            group,
        )
        config.on_change(
            lambda _, current: apply_config(process.admission, current),
        )
        return process


def make_client(settings: SidecarSettings) -> EndpointClient:
    """Return the client for the configured kind of endpoint."""
    connections = ConnectionPool(settings.endpoint_address)
    if settings.endpoint_kind == 'engine':
        return EngineClient(connections)
    return ServiceClient(connections)


def make_limit(settings: SidecarSettings) -> AdaptiveLimit:
    """Return the concurrency limit.

    It is fixed for a plain service, which has no token times to adapt to.
    """
    return AdaptiveLimit(
        settings.max_streams,
        Samples(settings.ttft_target_ms),
        Samples(settings.tbt_target_ms),
        adaptive=settings.endpoint_kind == 'engine',
    )


def make_report(process: SidecarProcess) -> Report:
    """Return the current state of the endpoint as a message."""
    admission = process.admission
    monitor = process.monitor
    return Report(
        process.settings.pool,
        monitor.takes_work,
        process.peers.leaving,
        admission.slots,
        admission.running_count(batch=False),
        len(admission.queue),
        admission.running_count(batch=True),
        admission.batch_room,
        admission.limit.ttft_ms,
        admission.limit.tbt_ms,
        monitor.model,
        monitor.version,
        monitor.adapter,
        process.orders.gate.highest,
        list(monitor.prefixes),
        process.settings.failure_domain,
    )


def update_admission(process: SidecarProcess) -> None:
    """Open or close admission by the endpoint's state, then report it.

    Batch items of an endpoint that leaves are preempted, to go on elsewhere.
    """
    if process.peers.leaving or process.monitor.leaving.leaving:
        process.admission.close(LEAVING_REASON)
        preempt_batch(process.admission)
    elif process.monitor.up:
        process.admission.open()
    else:
        process.admission.close(DOWN_REASON)
    process.peers.report()


def preempt_batch(admission: AdmissionController) -> None:
    """Stop all running batch items."""
    now_s = admission.clock.now()
    for request in list(admission.running.values()):
        if request.is_batch:
            request.stop('preempted', now_s)


def apply_config(
    admission: AdmissionController, current: Configuration
) -> None:
    """Apply the lending rules of a new configuration."""
    admission.grants.configuration = current
    admission.schedule()

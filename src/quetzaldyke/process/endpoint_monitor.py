"""Monitors an endpoint's health, loaded model and cached prefixes.

One broken stream does not prove a crash. The endpoint counts as crashed when
it fails a health check, or when all of several streams break within a short
window, as happens when it is restarted at once.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Ok

from quetzaldyke.connection.engine_client import EngineClient, int_field
from quetzaldyke.parts.fencing import FencingGate
from quetzaldyke.parts.suspects import make_crash_id
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.admission import AdmissionController
from quetzaldyke.process.endpoint_leaving import (
    LEAVING_HEADER,
    EndpointLeaving,
)
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.request_runner import EndpointClient
from quetzaldyke.process.sidecar_peers import SidecarPeers
from quetzaldyke.process.tracked_request import TrackedRequest

# Streams broken by the same crash are detected within this time.
BREAK_WINDOW_S: Final = 0.05
# Each control call costs about 1 ms of CPU time. A crash under load is detected
# by the broken streams, so the health check is only for an idle endpoint.
CHECK_INTERVAL_S: Final = 1.0
DOWN_CHECK_INTERVAL_S: Final = 0.1
STATE_INTERVAL_S: Final = 5.0
LOADING_INTERVAL_S: Final = 0.1
# One late answer is no outage: an engine answers between decoding steps.
MAX_FAILED_CHECKS: Final = 2
MAX_PREFIXES: Final = 16
# Output after which a response has begun without a crash.
PROGRESS_TOKENS: Final = 8
# Cache events arrive late, so they are read for this long after a request
# was last started.
CACHE_LAG_S: Final = 10.0
DOWN_REASON: Final = 'endpoint is down'


@dataclass(slots=True)
class CrashCheck:
    """Streams in flight when a stream broke, and those broken so far."""

    in_flight: list[TrackedRequest]
    broken: list[TrackedRequest] = field(default_factory=list)
    crashed: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class EndpointMonitor:
    """State of one endpoint as observed by its sidecar."""

    client: EndpointClient
    clock: Clock
    log_event: LogEvent
    admission: AdmissionController
    peers: SidecarPeers
    gate: FencingGate
    origin: str
    on_change: Callable[[], None]
    leaving: EndpointLeaving
    up: bool = False
    crash_check: CrashCheck | None = None
    failed_checks: int = 0
    last_check_s: float = 0.0
    model: str = ''
    version: str = ''
    adapter: str = ''
    loading: bool = False
    order_executed: anyio.Event = field(default_factory=anyio.Event)
    last_cache_event: int = 0
    # Prefixes in the engine's cache, the most recently stored last.
    prefixes: dict[str, None] = field(default_factory=dict)
    crash_numbers: Iterator[int] = field(
        default_factory=lambda: itertools.count(1)
    )

    @property
    def takes_work(self) -> bool:
        """Tell whether new requests may be sent to the endpoint."""
        return self.up and not self.leaving.leaving

    async def handle_broken_stream(self, request: TrackedRequest) -> bool:
        """Start or join a crash check; tell whether the endpoint crashed."""
        crash_check = self.crash_check
        if crash_check is None:
            crash_check = CrashCheck(list(self.admission.running.values()))
            self.crash_check = crash_check
            crash_check.broken.append(request)
            await self.run_crash_check(crash_check)
            return crash_check.crashed
        crash_check.broken.append(request)
        await crash_check.done.wait()
        return crash_check.crashed

    async def run_crash_check(self, crash_check: CrashCheck) -> None:
        """Decide whether the endpoint crashed and, if so, record the crash."""
        try:
            crash_check.crashed = await self.has_crashed(crash_check)
            if crash_check.crashed:
                # An endpoint that leaves may cut what it still runs.
                if not self.leaving.leaving:
                    self.record_crash(crash_check.in_flight)
                self.mark_down()
        finally:
            self.crash_check = None
            crash_check.done.set()

    async def has_crashed(self, crash_check: CrashCheck) -> bool:
        """Tell whether a health check failed or all of several streams broke."""
        if await self.client.health() == 'down':
            return True
        await anyio.sleep(BREAK_WINDOW_S)
        if await self.client.health() == 'down':
            return True
        several_in_flight = len(crash_check.in_flight) > 1
        return several_in_flight and len(crash_check.broken) >= len(
            crash_check.in_flight
        )

    def record_crash(self, in_flight: list[TrackedRequest]) -> None:
        """Record a crash for every request in flight and broadcast it."""
        alone = len(in_flight) == 1 and in_flight[0].ran_alone
        now_ms = self.peers.now_ms()
        crash = make_crash_id(
            now_ms, self.origin, next(self.crash_numbers), alone
        )
        suspects = self.peers.suspects
        crashes = suspects.record(crash, crash_keys(in_flight), now_ms)
        self.log_event(
            'endpoint_crashed',
            crash_id=crash,
            requests=' '.join(
                request.submit.request_id for request in in_flight
            ),
        )
        self.peers.broadcast_suspects(crashes, {})

    def clear_suspect(self, request: TrackedRequest) -> None:
        """Clear the crash records of a request that finished."""
        suspects = self.peers.suspects
        cleared = suspects.clear(request.submit.fingerprint)
        for part in request.submit.parts:
            cleared |= suspects.clear(part)
        self.peers.broadcast_suspects({}, cleared)

    def mark_down(self) -> None:
        """Close admission until the endpoint answers again."""
        self.leaving.begin_lifetime()
        if not self.up:
            return
        self.up = False
        self.prefixes.clear()
        self.log_event('endpoint_down')
        self.on_change()

    async def run(self) -> None:
        """Check the endpoint until cancelled.

        While tokens arrive, the health check is made less often: it then shows
        only whether the endpoint is leaving.
        """
        while True:
            due_s = self.last_check_s + STATE_INTERVAL_S
            if not self.has_recent_tokens() or self.clock.now() >= due_s:
                await self.check_health()
            await self.wait_for_next_check()

    async def wait_for_next_check(self) -> None:
        """Wait until the next check is due.

        During a model load, the engine's state is read after a shorter wait.
        """
        if not self.up:
            await anyio.sleep(DOWN_CHECK_INTERVAL_S)
        elif self.loading:
            await anyio.sleep(LOADING_INTERVAL_S)
            await self.read_engine_state()
        else:
            await self.sleep_until_order(CHECK_INTERVAL_S)

    async def sleep_until_order(self, timeout_s: float) -> None:
        """Sleep until an order was executed, but at most `timeout_s`."""
        self.order_executed = anyio.Event()
        with anyio.move_on_after(timeout_s):
            await self.order_executed.wait()

    def has_recent_tokens(self) -> bool:
        """Tell whether recent tokens prove that the endpoint is up."""
        since_s = self.clock.now() - CHECK_INTERVAL_S
        return self.up and any(
            request.last_token_s > since_s
            for request in self.admission.running.values()
        )

    async def check_health(self) -> None:
        """Make one health check and act on a change of state."""
        self.last_check_s = self.clock.now()
        read_health = self.leaving.watch_answer()
        health = await self.client.health()
        if health == 'down':
            self.count_failed_check()
            return
        self.failed_checks = 0
        if health == 'leaving':
            read_health([(LEAVING_HEADER, b'1')])
            return
        self.leaving.note_sound_check()
        if not self.up and not self.leaving.leaving:
            await self.bring_up()

    def count_failed_check(self) -> None:
        """Mark the endpoint down after several checks, unless tokens arrive."""
        if self.has_recent_tokens():
            return
        self.failed_checks += 1
        if self.failed_checks >= MAX_FAILED_CHECKS:
            self.mark_down()

    async def bring_up(self) -> None:
        """Cancel the engine's orphaned streams and open admission.

        The endpoint stays down if the orphans can't be cancelled.
        """
        if isinstance(self.client, EngineClient):
            orphans = await self.client.cancel_orphans(
                self.admission.running,
            )
            if not isinstance(orphans, Ok):
                return
            self.log_event('orphans_cancelled', count=orphans.ok_value)
            await self.read_engine_state()
        self.up = True
        self.log_event('endpoint_up')
        self.on_change()

    async def read_engine_state(self) -> None:
        """Read what the engine has loaded and its highest fencing token.

        Without an answer, the values for model, version and adapter are kept.
        """
        if not isinstance(self.client, EngineClient):
            return
        state = (await self.client.order_state()).unwrap_or({})
        self.model = str(state.get('model', self.model))
        self.version = str(state.get('version', self.version))
        self.adapter = str(state.get('adapter', self.adapter))
        self.loading = bool(state.get('loading'))
        self.gate.observe_token(int_field(state, 'highest_token'))

    async def read_cache_events(self) -> None:
        """Apply the engine's new cache events to the known prefixes.

        Prefixes are only routing hints, so a gap in the events does no harm.
        The cache of an idle engine does not change and is not read.
        """
        if not isinstance(self.client, EngineClient) or not self.up:
            return
        now_s = self.clock.now()
        if now_s - self.admission.last_start_s > CACHE_LAG_S:
            return
        events = (
            await self.client.cache_events(self.last_cache_event)
        ).unwrap_or(
            [],
        )
        for event in events:
            prefix = str(event.get('prefix', ''))
            self.last_cache_event = max(
                self.last_cache_event, int_field(event, 'number')
            )
            self.prefixes.pop(prefix, None)
            if event.get('kind') == 'stored':
                self.prefixes[prefix] = None
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.pop(next(iter(self.prefixes)))


def crash_keys(in_flight: list[TrackedRequest]) -> set[str]:
    """Return the fingerprints of requests, and the parts of their prompts.

    Parts of a request whose response had made progress are left out: they
    crash an endpoint when the response begins, or not at all.
    """
    keys = {request.submit.fingerprint for request in in_flight}
    for request in in_flight:
        if request.tokens < PROGRESS_TOKENS:
            keys.update(request.submit.parts)
    return keys

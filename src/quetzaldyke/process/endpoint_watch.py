"""Whether the endpoint lives, what it has loaded and what it has cached.

A broken stream alone does not prove a death. The endpoint counts as dead
when it does not answer its health check, or when every one of several
streams broke within a moment, as happens when it is restarted at once.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Ok

from quetzaldyke.connection.engine_client import EngineClient, number
from quetzaldyke.parts.fencing import FencingGate
from quetzaldyke.parts.suspects import make_crash_id
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.admission import Admission
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.sidecar_peers import SidecarPeers
from quetzaldyke.process.streams import Client
from quetzaldyke.process.work import Work

# Streams that break together are seen within this time.
BREAK_WINDOW_S: Final = 0.05
# Each control call costs about 1 ms of processor time. A death under load is
# seen by its broken streams, so the check is only for an idle endpoint.
CHECK_INTERVAL_S: Final = 1.0
DOWN_CHECK_INTERVAL_S: Final = 0.1
STATE_INTERVAL_S: Final = 5.0
LOADING_INTERVAL_S: Final = 0.1
# One late answer is no outage: the engine answers between decoding steps.
MAX_FAILED_CHECKS: Final = 2
MAX_PREFIXES: Final = 16
# Cache events are late; they are read for this long after the last start.
CACHE_LAG_S: Final = 10.0
DOWN_REASON: Final = 'endpoint is down'


@dataclass(slots=True)
class Judgement:
    """The streams that were in flight when one of them broke."""

    in_flight: list[Work]
    broken: list[Work] = field(default_factory=list)
    done: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class EndpointWatch:
    """State of one endpoint as its sidecar sees it."""

    client: Client
    clock: Clock
    log_event: LogEvent
    admission: Admission
    peers: SidecarPeers
    gate: FencingGate
    origin: str
    on_change: Callable[[], None]
    up: bool = False
    judgement: Judgement | None = None
    failed_checks: int = 0
    model: str = ''
    version: str = ''
    adapter: str = ''
    loading: bool = False
    ordered: anyio.Event = field(default_factory=anyio.Event)
    cache_number: int = 0
    # Prefixes in the engine's cache, latest last.
    prefixes: dict[str, None] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def note_break(self, work: Work) -> None:
        """Wait until it is known whether the endpoint died."""
        judgement = self.judgement
        if judgement is None:
            judgement = Judgement(list(self.admission.running.values()))
            self.judgement = judgement
            judgement.broken.append(work)
            await self.judge(judgement)
            return
        judgement.broken.append(work)
        await judgement.done.wait()

    async def judge(self, judgement: Judgement) -> None:
        """Decide whether the endpoint died and record the crash."""
        try:
            if await self.died(judgement):
                self.record_crash(judgement.in_flight)
                self.go_down()
        finally:
            self.judgement = None
            judgement.done.set()

    async def died(self, judgement: Judgement) -> bool:
        """Tell whether the endpoint died."""
        if not await self.client.healthy():
            return True
        await anyio.sleep(BREAK_WINDOW_S)
        if not await self.client.healthy():
            return True
        several = len(judgement.in_flight) > 1
        return several and len(judgement.broken) >= len(judgement.in_flight)

    def record_crash(self, in_flight: list[Work]) -> None:
        """Record the crash for every request in flight and tell all."""
        alone = len(in_flight) == 1 and in_flight[0].alone
        now_ms = self.peers.now_ms()
        crash = make_crash_id(now_ms, self.origin, next(self.numbers), alone)
        fingerprints = {work.submit.fingerprint for work in in_flight}
        crashes = self.peers.suspects.record(crash, fingerprints, now_ms)
        self.log_event(
            'endpoint_crashed',
            crash_id=crash,
            requests=' '.join(work.submit.request_id for work in in_flight),
        )
        self.peers.tell_suspects(crashes, {})

    def note_finish(self, work: Work) -> None:
        """Clear a suspect that finished."""
        cleared = self.peers.suspects.clear(work.submit.fingerprint)
        self.peers.tell_suspects({}, cleared)

    def go_down(self) -> None:
        """Admit nothing until the endpoint answers again."""
        if not self.up:
            return
        self.up = False
        self.prefixes.clear()
        self.log_event('endpoint_down')
        self.on_change()

    async def run(self) -> None:
        """Check the endpoint until cancelled."""
        while True:
            if not self.producing():
                await self.check()
            await self.wait()

    async def wait(self) -> None:
        """Wait for the next check; follows a load that is under way."""
        if not self.up:
            await anyio.sleep(DOWN_CHECK_INTERVAL_S)
        elif self.loading:
            await anyio.sleep(LOADING_INTERVAL_S)
            await self.read_state()
        else:
            await self.sleep_until_order(CHECK_INTERVAL_S)

    async def sleep_until_order(self, limit_s: float) -> None:
        """Sleep, but no longer than until an order is carried out."""
        self.ordered = anyio.Event()
        with anyio.move_on_after(limit_s):
            await self.ordered.wait()

    def producing(self) -> bool:
        """Tell whether tokens prove that the endpoint lives."""
        since_s = self.clock.now() - CHECK_INTERVAL_S
        return self.up and any(
            work.last_token_s > since_s
            for work in self.admission.running.values()
        )

    async def check(self) -> None:
        """Make one health check and act on a change."""
        if await self.client.healthy():
            self.failed_checks = 0
            if not self.up:
                await self.come_up()
            return
        self.failed_checks += 1
        if self.failed_checks >= MAX_FAILED_CHECKS:
            self.go_down()

    async def come_up(self) -> None:
        """Cancel orphans and admit work."""
        if isinstance(self.client, EngineClient):
            orphans = await self.client.cancel_orphans(
                self.admission.running,
            )
            if not isinstance(orphans, Ok):
                return
            self.log_event('orphans_cancelled', count=orphans.ok_value)
            await self.read_state()
        self.up = True
        self.log_event('endpoint_up')
        self.on_change()

    async def read_state(self) -> None:
        """Read what the engine has loaded and which token it has seen."""
        if not isinstance(self.client, EngineClient):
            return
        state = (await self.client.order_state()).unwrap_or({})
        self.model = str(state.get('model', self.model))
        self.version = str(state.get('version', self.version))
        self.adapter = str(state.get('adapter', self.adapter))
        self.loading = bool(state.get('loading'))
        self.gate.observe_token(number(state, 'highest_token'))

    async def read_cache(self) -> None:
        """Follow the engine's cache events; gaps only lose hints.

        The cache of an idle engine does not change.
        """
        if not isinstance(self.client, EngineClient) or not self.up:
            return
        now_s = self.clock.now()
        if now_s - self.admission.started_s > CACHE_LAG_S:
            return
        events = (await self.client.cache_events(self.cache_number)).unwrap_or(
            [],
        )
        for event in events:
            prefix = str(event.get('prefix', ''))
            self.cache_number = max(self.cache_number, number(event, 'number'))
            self.prefixes.pop(prefix, None)
            if event.get('kind') == 'stored':
                self.prefixes[prefix] = None
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.pop(next(iter(self.prefixes)))

"""State of one entry, which its parts and its shutdown share."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.kv_http import HttpKeyValueStore
from quetzaldyke.connection.links import LinkOptions, stamp_to_row
from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    Hello,
    Message,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.claims import ClaimLedger
from quetzaldyke.parts.hlc import MS_IN_S, HybridClock
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.parts.timeline import Timeline
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.process.callers_middleware import OpenRequests
from quetzaldyke.process.fleet import (
    Fleet,
    Instance,
    add_session,
    dispatch,
    remove_session,
)
from quetzaldyke.process.logs import LogEvent, make_log_event
from quetzaldyke.process.membership import Membership
from quetzaldyke.process.metrics import Metrics
from quetzaldyke.process.settings import EntrySettings
from quetzaldyke.process.suspects_relay import (
    SuspectRelay,
)
from quetzaldyke.process.usage_exchange import UsageExchange
from quetzaldyke.request.deadline import DeadlineQueue
from quetzaldyke.request.execute import ExecuteContext
from quetzaldyke.request.limits import (
    Coordinator,
    Limits,
)
from quetzaldyke.request.once import OnceContext
from quetzaldyke.request.router import Router
from quetzaldyke.version.configuration import Organisation
from quetzaldyke.version.holder import ConfigHolder

INCARNATION_BYTES: Final = 8


@dataclass(slots=True)
class EntryProcess:
    """State and services of one entry for its lifetime."""

    settings: EntrySettings
    clock: Clock
    hybrid_clock: HybridClock
    timers: TimerService
    log_event: LogEvent
    timeline: Timeline
    store: HttpKeyValueStore
    config: ConfigHolder
    fleet: Fleet
    claims: ClaimLedger
    limits: Limits
    suspects: SuspectRelay
    metrics: Metrics
    router: Router
    execute: ExecuteContext
    deadlines: DeadlineQueue
    usage: UsageExchange
    incarnation: str
    # Set by the batch part: the service of files and batches.
    jobs: object = None
    # Set by the configuration part: propagation, rollout and event queries.
    versions: object = None
    group: TaskGroup | None = None
    link_options: LinkOptions | None = None
    once: OnceContext | None = None
    membership: Membership | None = None
    open_requests: OpenRequests = field(default_factory=OpenRequests)
    callers_address: str = ''
    operators_address: str = ''
    peer_address: str = ''
    stopping: anyio.Event = field(default_factory=anyio.Event)

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> EntryProcess:
        """Build an entry without starting it."""
        hybrid_clock = HybridClock(settings.instance)
        log_event, timeline = make_log_event(settings.instance, hybrid_clock)
        clock = Clock()
        config = ConfigHolder()
        fleet = Fleet(own_instance(settings), settings.subset_size)
        store = HttpKeyValueStore.from_address(settings.kv_address)
        limits = make_limits(clock, config, fleet)
        router = Router(fleet, config, clock)
        deadlines = DeadlineQueue()
        metrics = Metrics()
        suspects = SuspectRelay(fleet)
        return cls(
            settings=settings,
            clock=clock,
            hybrid_clock=hybrid_clock,
            timers=TimerService(clock),
            log_event=log_event,
            timeline=timeline,
            store=store,
            config=config,
            fleet=fleet,
            claims=ClaimLedger(
                store,
                int(settings.retention_s * MS_IN_S),
            ),
            limits=limits,
            suspects=suspects,
            metrics=metrics,
            router=router,
            execute=ExecuteContext(
                router,
                clock,
                deadlines,
                log_event,
                metrics,
                suspects.book,
            ),
            deadlines=deadlines,
            usage=UsageExchange(fleet, limits, Coordinator(clock.now)),
            incarnation=secrets.token_hex(INCARNATION_BYTES),
        )

    def unready_reason(self) -> str:
        """Return why the entry is not ready for callers; empty if ready."""
        if self.stopping.is_set():
            return 'stopping'
        if not self.config.version:
            return 'no configuration yet'
        return ''

    def make_hello(self) -> Hello:
        """Return the first message on a peer connection."""
        return Hello(
            PROTOCOL_VERSION,
            'entry',
            self.settings.instance,
            self.settings.failure_domain,
            self.incarnation,
            '',
            self.config.version,
            stamp_to_row(self.hybrid_clock.now()),
        )

    def make_link_options(self) -> LinkOptions:
        """Return the options that all peer connections share."""
        return LinkOptions(
            secret=self.settings.fleet_secret,
            clock=self.hybrid_clock,
            make_hello=self.make_hello,
            config_version=lambda: self.config.version,
            on_open=self.on_open,
            on_message=self.on_message,
            on_close=self.on_close,
        )

    async def on_open(self, session: PeerSession) -> None:
        """Register a peer; an exception of a handler is only logged."""
        self.log_event('peer_opened', peer=session.remote.instance)
        try:
            await add_session(self.fleet, session)
        except Exception as exc:
            self.log_handler_failure(session, 'opened', exc)

    async def on_message(self, session: PeerSession, message: Message) -> None:
        """Handle a message; an exception of a handler is only logged."""
        try:
            await dispatch(self.fleet, session, message)
        except Exception as exc:
            self.log_handler_failure(session, type(message).__name__, exc)

    def log_handler_failure(
        self,
        session: PeerSession,
        message: str,
        exc: Exception,
    ) -> None:
        """Log the exception of a message handler."""
        self.log_event(
            'handler_failed',
            peer=session.remote.instance,
            message=message,
            fault=repr(exc),
        )

    def on_close(self, session: PeerSession) -> None:
        """Remove a peer and fail the requests that run on it."""
        self.log_event('peer_closed', peer=session.remote.instance)
        remove_session(self.fleet, session)

    def on_timer_failure(self, name: str, exc: Exception) -> None:
        """Log the exception of a periodic task, which still runs again."""
        self.log_event('timer_failed', timer=name, fault=repr(exc))

    async def prune_claims(self) -> None:
        """Remove expired claims if this entry is the one chosen for it."""
        own = self.settings.instance
        if first_for(self.fleet.live_entries(), 'claims') == own:
            await self.claims.prune()

    async def expire_requests(self) -> None:
        """End the requests that are past their deadline."""
        self.deadlines.expire(self.clock.now())


def own_instance(settings: EntrySettings) -> Instance:
    """Return the entry's own row of the instance list."""
    return Instance(
        settings.instance,
        'entry',
        settings.failure_domain,
        settings.peer_address,
    )


def make_limits(clock: Clock, config: ConfigHolder, fleet: Fleet) -> Limits:
    """Return the limits by organisation, shared among live entries."""

    def find_organisation(name: str) -> Organisation | None:
        return config.current.organisations.get(name)

    return Limits(
        clock.now, find_organisation, lambda: len(fleet.live_entries())
    )

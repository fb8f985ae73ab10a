"""The entry process: takes callers' requests and runs batch jobs."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok

from quetzaldyke.connection.http_server import HttpOptions, serve_http
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.batch_schedule import BatchPolicy
from quetzaldyke.gateway.crashes import CrashBook
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.endpoints import EndpointBook
from quetzaldyke.gateway.gossip import (
    Gossip,
    GossipMessage,
    JobEnded,
    LoadReport,
    MakeRoom,
)
from quetzaldyke.gateway.http_client import Failure, HttpClient
from quetzaldyke.gateway.ingress import Ingress, readiness_app
from quetzaldyke.gateway.job_api import JobApi
from quetzaldyke.gateway.job_book import JobBook
from quetzaldyke.gateway.job_records import (
    END_PREFIX,
    FLEET_PREFIX,
    Member,
)
from quetzaldyke.gateway.job_store import JobStore, NewJob
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.logs import LineWriter, log_event
from quetzaldyke.gateway.membership import (
    RENEWAL_INTERVAL_S,
    Ownership,
    Registration,
)
from quetzaldyke.gateway.model import Configuration, Endpoint, Installation
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.relay import RelayContext
from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.gateway.store_tunnel import serve_tunnels
from quetzaldyke.gateway.watch import Follower
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform import names
from quetzaldyke.platform.records import decode_configuration, decode_endpoint
from quetzaldyke.platform.store import PlatformStore
from quetzaldyke.process.metrics import Metrics

OWNER_ID_BYTES: Final = 6
WATCHDOG_INTERVAL_S: Final = 0.05
LINE_INTERVAL_S: Final = 0.05
BATCH_INTERVAL_S: Final = 0.1
OWNERSHIP_INTERVAL_S: Final = 0.5
CLEANING_INTERVAL_S: Final = 1.0
GOSSIP_INTERVAL_S: Final = 0.1
# A configuration that was not confirmed for this long may be an old one.
CONFIG_TRUST_S: Final = 4.0
# The balancer takes an unready entry out after two misses.
LINGER_S: Final = 2.6
# Members that don't report by then after this entry's start are not there.
JOIN_WAIT_S: Final = 2.0
# Time for which changes of jobs and members are gathered, for each entry.
FLEET_PAUSE_S: Final = 0.03
MAX_FLEET_PAUSE_S: Final = 0.65
# Reports that may pass until an entry has heard of all others' choices.
NEWS_INTERVALS: Final = 1.6
# Kept free before the kill at the end of the grace time.
STOP_RESERVE_S: Final = 0.7


@dataclass(slots=True)
class Entry:
    """Everything that lives as long as one entry."""

    installation: Installation
    member: Member
    writer: LineWriter
    clock: Clock
    timers: TimerService
    metrics: Metrics
    health: StoreHealth
    client: HttpClient
    store: PlatformStore
    book: EndpointBook
    loads: LoadTable
    dispatcher: Dispatcher
    jobs: JobBook
    job_store: JobStore
    gossip: Gossip
    registration: Registration
    ownership: Ownership
    ingress: Ingress
    api: JobApi
    policy: BatchPolicy
    configuration: Configuration | None = None
    runner: BatchRunner | None = None
    config_seen_s: float = 0.0
    endpoints_seen: bool = False
    started_s: float = 0.0
    stopping: anyio.Event = field(default_factory=anyio.Event)
    taking_over: set[str] = field(default_factory=set)

    @classmethod
    def from_installation(
        cls,
        installation: Installation,
        writer: LineWriter,
    ) -> Entry:
        """Build an entry that does not run yet."""
        clock = Clock()
        generator = random.Random()
        owner_id = secrets.token_hex(OWNER_ID_BYTES)
        member = Member(
            owner_id,
            installation.instance,
            installation.host,
            installation.first_peer_port,
        )
        health = StoreHealth()
        client = HttpClient()
        store = PlatformStore.from_address(
            installation.store_address,
            client,
            lambda answered, detail: health.note(
                answered=answered,
                now_s=clock.now(),
            ),
        )
        book = EndpointBook()
        loads = LoadTable()
        dispatcher = Dispatcher(
            book,
            loads,
            PlacementPolicy(installation.failure_domain, generator, loads),
            clock,
            generator,
            is_engine=lambda service: entry.is_engine(service),
        )
        jobs = JobBook()
        job_store = JobStore(store, jobs, owner_id, installation.instance)
        metrics = Metrics()
        api = JobApi(
            job_store,
            run_accepted=lambda job: entry.run_accepted(job),
            tell_ended=lambda job_id: entry.gossip.broadcast(
                JobEnded(owner_id, job_id),
            ),
            store_up=lambda: health.up,
        )
        ingress = Ingress(
            RelayContext(
                dispatcher,
                client,
                CrashBook(),
                clock.now,
                log_event,
            ),
            metrics,
            generator,
            api.handle,
            is_current=lambda: entry.config_is_current(),
        )
        entry = cls(
            installation=installation,
            member=member,
            writer=writer,
            clock=clock,
            timers=TimerService(clock),
            metrics=metrics,
            health=health,
            client=client,
            store=store,
            book=book,
            loads=loads,
            dispatcher=dispatcher,
            jobs=jobs,
            job_store=job_store,
            gossip=Gossip(
                owner_id,
                lambda: LoadReport(
                    owner_id,
                    loads.report(),
                    dispatcher.waiting(),
                    entry.runner.pending() if entry.runner else 0,
                    store.path.direct.up,
                ),
                lambda message: entry.on_gossip(message),
            ),
            registration=Registration(store, member),
            ownership=Ownership.of(jobs, member),
            ingress=ingress,
            api=api,
            policy=BatchPolicy(owner_id, loads, generator),
            started_s=clock.now(),
        )
        entry.connect()
        return entry

    def connect(self) -> None:
        """Let the parts tell each other of changes."""
        self.dispatcher.on_change = self.on_load_change
        self.dispatcher.make_room = self.make_room
        self.dispatcher.count_entries = self.count_entries
        self.health.on_lost.append(self.on_store_lost)
        self.health.on_regained.append(self.on_store_regained)
        self.jobs.on_members = self.on_members
        self.jobs.on_job = self.on_job
        timers = self.timers
        timers.on_failure = on_timer_failure
        timers.subscribe('watchdog', WATCHDOG_INTERVAL_S, self.watch_exchanges)
        timers.subscribe('lines', LINE_INTERVAL_S, self.dispatcher.tick)
        timers.subscribe('batch', BATCH_INTERVAL_S, self.batch_tick)
        timers.subscribe('gossip', GOSSIP_INTERVAL_S, self.gossip_tick)
        timers.subscribe('lease', RENEWAL_INTERVAL_S, self.registration.renew)
        timers.subscribe('owners', OWNERSHIP_INTERVAL_S, self.take_orphans)
        timers.subscribe('cleaning', CLEANING_INTERVAL_S, self.clean)

    def is_engine(self, service: str) -> bool:
        """Tell whether the endpoints of a service are engines."""
        if self.configuration is None:
            return False
        known = self.configuration.services.get(service)
        return known is not None and known.is_engine

    def config_is_current(self) -> bool:
        """Tell whether the configuration was confirmed lately."""
        return self.clock.now() - self.config_seen_s < CONFIG_TRUST_S

    def unready_reason(self) -> str:
        """Return why the balancer should send no caller here, or nothing."""
        if self.stopping.is_set():
            return 'stopping'
        if self.configuration is None:
            return 'no configuration yet'
        if not self.endpoints_seen:
            return 'no endpoints yet'
        return ''

    def count_entries(self) -> int:
        """Return how many entries share the endpoints."""
        return max(1, len(self.jobs.members))

    def fleet_pause_s(self) -> float:
        """Return how long changes of the fleet are gathered.

        Each of them is told to every entry, so the calls for them would
        otherwise grow with the square of the fleet.
        """
        return min(MAX_FLEET_PAUSE_S, FLEET_PAUSE_S * self.count_entries())

    def on_load_change(self, endpoint_id: str) -> None:
        """Own counts changed: tell peers, and look for room."""
        self.gossip.note_change()
        if self.runner is not None:
            self.runner.schedule_soon()

    def make_room(self, endpoint: Endpoint) -> None:
        """Have one batch run leave an endpoint for an online request."""
        endpoint_id = endpoint.endpoint_id
        if self.runner is not None and self.runner.stop_one(endpoint_id):
            return
        peers = self.loads.batch_peers(endpoint_id)
        if peers:
            self.gossip.tell(
                peers[0][1],
                MakeRoom(self.member.owner_id, endpoint_id),
            )

    def on_gossip(self, message: GossipMessage) -> None:
        """Take over what a peer says."""
        match message:
            case LoadReport(sender, counts, waiting, pending, store_up):
                now_s = self.clock.now()
                self.loads.take_report(
                    sender,
                    counts,
                    waiting,
                    pending,
                    now_s,
                )
                address = self.gossip.peers.get(sender)
                if address is not None:
                    self.store.path.hear(
                        sender,
                        address,
                        store_up=store_up,
                        now_s=now_s,
                    )
                if self.runner is not None:
                    self.runner.schedule_soon()
            case MakeRoom(_, endpoint_id):
                if self.runner is not None:
                    self.runner.stop_one(endpoint_id)
            case JobEnded(_, job_id):
                self.jobs.apply(f'{END_PREFIX}{job_id}', 0, b'1')

    def on_store_lost(self) -> None:
        """The store stopped answering."""
        self.book.outage_began()
        log_event('dependency_lost', dependency='store')

    def on_store_regained(self) -> None:
        """The store answers again."""
        self.book.outage_ended(self.clock.now())
        log_event('dependency_regained', dependency='store')

    def on_members(self) -> None:
        """Gossip with the members of the moment."""
        if not self.health.up:
            return
        self.gossip.peers = {
            one.owner_id: (one.host, one.port)
            for one in self.jobs.members.values()
            if one.owner_id != self.member.owner_id
        }

    def on_job(self, job_id: str) -> None:
        """Stop what this entry must not run any more."""
        runner = self.runner
        if runner is None or job_id not in runner.jobs:
            return
        view = self.jobs.jobs.get(job_id)
        if view is None or view.ended:
            runner.deactivate(job_id, 'ended')
        elif view.state and view.state.owner_id != self.member.owner_id:
            runner.deactivate(job_id, 'owned_by_another')

    def run_accepted(self, job: NewJob) -> None:
        """Run a job that this entry has just accepted."""
        view = self.jobs.jobs.get(job.record.job_id)
        if view is not None and (view.ended or not self.owns(view.state)):
            return
        if self.runner is not None:
            self.runner.activate(job.record, set(), {}, dict(job.bodies), [])

    def owns(self, state: object) -> bool:
        """Tell whether a state names this entry; one not seen yet does."""
        owner_id = getattr(state, 'owner_id', self.member.owner_id)
        return bool(owner_id == self.member.owner_id)

    async def take_orphans(self) -> None:
        """Take over jobs of lost entries, and run what this one owns."""
        if self.runner is None or self.stopping.is_set():
            return
        for view in list(self.jobs.jobs.values()):
            if view.open and view.record and self.owns(view.state):
                await self.activate(view.record.job_id)
        if not self.health.up:
            return
        orphans = self.ownership.orphans(
            self.clock.now(),
            self.health.well_since_s,
            self.loads.peers,
        )
        for job_id in orphans:
            taken = await self.job_store.take_over(job_id)
            log_event(
                'job_taken_over',
                job=job_id,
                outcome='taken'
                if isinstance(taken, Ok)
                else str(taken.err_value),
            )
            if isinstance(taken, Ok):
                await self.activate(job_id)

    async def activate(self, job_id: str) -> None:
        """Run a job that this entry owns."""
        view = self.jobs.jobs.get(job_id)
        if view is None or view.record is None or view.state is None:
            return
        if self.runner is None or job_id in self.runner.jobs:
            return
        partials = await self.job_store.read_partials(job_id)
        if not view.open or not self.owns(view.state):
            return
        listed = {one.item for one in view.state.listed}
        self.runner.activate(
            view.record,
            listed,
            view.state.failures,
            {},
            partials,
        )

    def take_configuration(self, raw: bytes) -> None:
        """Serve by a configuration unless a later one is in force."""
        decoded = decode_configuration(raw)
        if isinstance(decoded, Err):
            log_event('config_unreadable', reason=decoded.err_value)
            return
        fresh = decoded.ok_value
        if self.configuration and fresh.version <= self.configuration.version:
            return
        self.configuration = fresh
        self.ingress.configure(fresh)
        log_event(
            'config_applied',
            version=fresh.version,
            routes=len(fresh.routes),
        )

    def on_operator_snapshot(self, snapshot: Snapshot) -> None:
        """Take over the operator's keys."""
        self.config_seen_s = self.clock.now()
        for record in snapshot.records:
            if record.key == names.CONFIG_KEY:
                self.take_configuration(record.value)

    def on_operator_changes(
        self,
        changes: list[WatchedChange],
        revision: int,
    ) -> None:
        """Take over changes of the operator's keys."""
        for change in changes:
            if change.key == names.CONFIG_KEY and change.value is not None:
                self.take_configuration(change.value)

    def on_endpoint_snapshot(self, snapshot: Snapshot) -> None:
        """Take over the list of endpoints."""
        endpoints = []
        for record in snapshot.records:
            decoded = decode_endpoint(record.key, record.value)
            if isinstance(decoded, Err):
                log_event(
                    'endpoint_unreadable',
                    key=record.key,
                    reason=decoded.err_value,
                )
                continue
            endpoints.append(decoded.ok_value)
        gone = self.book.replace_all(endpoints, self.clock.now())
        self.endpoints_seen = True
        log_event(
            'endpoints_listed',
            endpoints=len(endpoints),
            gone=','.join(gone),
            revision=snapshot.revision,
        )

    def on_endpoint_changes(
        self,
        changes: list[WatchedChange],
        revision: int,
    ) -> None:
        """Take over changes of endpoints."""
        for change in changes:
            endpoint_id = change.key.removeprefix(names.ENDPOINT_PREFIX)
            if change.value is None:
                gone = self.book.remove(endpoint_id, self.clock.now())
                state = 'gone' if gone else 'lapsed'
            else:
                state = self.put_endpoint(change.key, change.value)
            log_event(
                'endpoint_changed',
                endpoint=endpoint_id,
                state=state,
                revision=change.revision,
            )
        for line in self.dispatcher.lines.values():
            line.serve(self.clock.now())

    def put_endpoint(self, key: str, raw: bytes) -> str:
        """Take over one entry; return its state for the log."""
        decoded = decode_endpoint(key, raw)
        if isinstance(decoded, Err):
            return f'unreadable {decoded.err_value}'
        self.book.put(decoded.ok_value)
        return decoded.ok_value.state

    async def watch_exchanges(self) -> None:
        """End the exchanges whose peer has been silent for too long."""
        now_s = self.clock.now()
        for exchange in list(self.client.active):
            if exchange.complete or exchange.failure is not None:
                self.client.active.discard(exchange)
            elif exchange.expires_at_s and now_s > exchange.expires_at_s:
                exchange.cancel(Failure.STALLED)
                self.client.active.discard(exchange)

    async def batch_tick(self) -> None:
        """Start items and list results."""
        if self.runner is not None:
            self.runner.joined = self.knows_peers()
            await self.runner.tick()

    def knows_peers(self) -> bool:
        """Tell whether every other member was heard from since the start.

        Until then the slots that others use are not known.
        """
        if self.runner is not None and self.runner.joined:
            return True
        if self.member.owner_id not in self.jobs.members:
            return False
        waited_s = self.clock.now() - self.started_s
        return waited_s > JOIN_WAIT_S or all(
            peer in self.loads.peers for peer in self.gossip.peers
        )

    async def gossip_tick(self) -> None:
        """Report to peers, and forget the silent ones."""
        await self.gossip.heartbeat()
        silent = self.loads.forget_silent(self.clock.now())
        if silent:
            log_event('peers_silent', peers=','.join(silent))

    async def clean(self) -> None:
        """Forget what is over."""
        self.client.drop_expired()
        await self.store.probe_direct()
        gone = self.book.drop_lapsed(self.clock.now())
        if gone:
            log_event('endpoints_gone', endpoints=','.join(gone))
        await self.writer.report_dropped()


def on_timer_failure(name: str, exc: Exception) -> None:
    """Log a periodic job that failed; it runs again."""
    log_event('timer_failed', timer=name, fault=repr(exc))


async def run_entry(installation: Installation, writer: LineWriter) -> None:
    """Run an entry until its planned stop is complete."""
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
        listener_ended = anyio.Event()
        group.start_soon(entry.registration.renew)
        group.start_soon(entry.timers.run)
        group.start_soon(watch_signals, entry)
        await group.start(
            serve_http,
            entry.ingress,
            HttpOptions(
                installation.callers_address,
                drain_s=max(1, int(installation.bounds.grace_s)),
            ),
            listener_ended,
        )
        log_event('entry_listening')
        await entry.stopping.wait()
        await stop(entry, group, listener_ended)
        group.cancel_scope.cancel()
    log_event('entry_stopped')


def start_runner(entry: Entry, group: TaskGroup) -> None:
    """Let the entry run batch items."""

    def find_route(name: str) -> object:
        table = entry.ingress.table
        return table.by_name.get(name) if table else None

    entry.runner = BatchRunner(
        entry.dispatcher,
        entry.client,
        entry.job_store,
        entry.policy,
        group,
        lambda: NEWS_INTERVALS * entry.gossip.interval_s(),
        find_route,  # type: ignore[arg-type]
    )


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
    followers = [
        Follower(
            entry.store,
            names.OPERATOR_PREFIX,
            entry.on_operator_snapshot,
            entry.on_operator_changes,
        ),
        Follower(
            entry.store,
            names.ENDPOINT_PREFIX,
            entry.on_endpoint_snapshot,
            entry.on_endpoint_changes,
        ),
        Follower(
            entry.store,
            FLEET_PREFIX,
            entry.jobs.take_snapshot,
            entry.jobs.take_changes,
            pause_s=entry.fleet_pause_s,
        ),
    ]

    def note_config() -> None:
        entry.config_seen_s = entry.clock.now()

    followers[0].on_step = note_config
    for follower in followers:
        group.start_soon(follower.run)


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
    heirs = [
        one
        for one in entry.jobs.members.values()
        if one.owner_id in entry.loads.peers
    ]
    await runner.hand_over_all(heirs)
    await entry.registration.end()

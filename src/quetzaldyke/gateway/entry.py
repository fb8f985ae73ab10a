"""Connects the components that serve online requests and run batch jobs."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import anyio
from result import Ok

from quetzaldyke.connection.http_server import HttpServer
from quetzaldyke.gateway.batch_reserve import BatchReserve
from quetzaldyke.gateway.batch_schedule import BatchPolicy
from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.crash_records import SUSPECT_PREFIX, CrashRecords
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.domain_shares import DomainShares
from quetzaldyke.gateway.endpoint_feed import EndpointFeed
from quetzaldyke.gateway.endpoint_preference import EndpointPreference
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.entry_upkeep import observe_demand
from quetzaldyke.gateway.entry_wiring import connect_parts
from quetzaldyke.gateway.gossip import Gossip
from quetzaldyke.gateway.gossip_messages import JobEnded, LoadReport
from quetzaldyke.gateway.guarded import call_guarded
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.gateway.job_api import JobApi
from quetzaldyke.gateway.job_records import Member
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.key_check import KeyCheck
from quetzaldyke.gateway.limit_exchange import LimitExchange
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.logs import LineWriter, log_event
from quetzaldyke.gateway.membership import Registration
from quetzaldyke.gateway.model import Configuration, Installation
from quetzaldyke.gateway.online_request import RelayContext
from quetzaldyke.gateway.organisation_rates import OrganisationRates
from quetzaldyke.gateway.peer_messages import PeerMessages
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.shared_watch import WatchSharing
from quetzaldyke.gateway.slot_grants import SlotGrants
from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform.store import PlatformStore
from quetzaldyke.process.metrics import Metrics

if TYPE_CHECKING:
    from quetzaldyke.gateway.batch_runner import BatchRunner
    from quetzaldyke.gateway.job_owner import JobOwner

OWNER_ID_BYTES: Final = 6
# Members that have not reported this long after the start are not waited for.
JOIN_WAIT_S: Final = 2.0


@dataclass(slots=True)
class Entry:
    """The components of one entry, and the callbacks between them."""

    installation: Installation
    member: Member
    writer: LineWriter
    clock: Clock
    timers: TimerService
    metrics: Metrics
    health: StoreHealth
    client: HttpClient
    store: PlatformStore
    endpoint_table: EndpointTable
    loads: LoadTable
    limits: LimitExchange
    rates: OrganisationRates
    dispatcher: Dispatcher
    jobs: JobTable
    job_store: JobStore
    gossip: Gossip
    registration: Registration
    ingress: Ingress
    api: JobApi
    policy: BatchPolicy
    configurations: ConfigurationFeed
    endpoints: EndpointFeed
    sharing: WatchSharing
    crash_records: CrashRecords
    messages: PeerMessages
    # None until callers are accepted.
    caller_server: HttpServer | None = None
    runner: BatchRunner | None = None
    owner: JobOwner | None = None
    started_s: float = 0.0
    # Set once configuration, endpoints and what crashes them were loaded.
    synced: anyio.Event = field(default_factory=anyio.Event)
    stopping: anyio.Event = field(default_factory=anyio.Event)

    @classmethod
    def from_installation(
        cls,
        installation: Installation,
        writer: LineWriter,
    ) -> Entry:
        """Build an entry without starting any of its tasks."""
        clock = Clock()
        generator = random.Random()
        owner_id = secrets.token_hex(OWNER_ID_BYTES)
        member = Member.from_installation(installation, owner_id)
        health = StoreHealth()
        client = HttpClient()
        store = PlatformStore.from_address(
            installation.store_address,
            client,
            lambda call, answered: entry.record_call(call, answered=answered),
            installation.store_limits,
        )
        store.path.own_id = owner_id
        endpoint_table = EndpointTable()
        loads = LoadTable()
        dispatcher = Dispatcher(
            endpoint_table,
            loads,
            PlacementPolicy(
                installation.failure_domain,
                generator,
                loads,
                DomainShares.from_installation(installation, loads, generator),
                EndpointPreference.from_installation(installation),
                EndpointSpeeds.from_installation(installation, clock.now),
            ),
            clock,
            generator,
            is_engine=lambda service: entry.configurations.is_engine(service),
        )
        jobs = JobTable()
        job_store = JobStore(
            store, jobs, owner_id, member.instance, limits=store.limits
        )
        metrics = Metrics()
        limits = LimitExchange.from_parts(
            owner_id,
            endpoint_table,
            loads,
            metrics,
            generator,
            lambda peer, message: gossip.send([peer], message),
        )
        limits.attach(dispatcher)
        rates = OrganisationRates.from_parts(
            owner_id,
            installation,
            metrics,
            lambda name: entry.configurations.find_organisation(name),
            lambda peer, message: gossip.send([peer], message),
            clock.now,
        )
        api = JobApi(
            job_store,
            run_accepted=lambda job: (
                entry.owner.run_accepted(job) if entry.owner else None
            ),
            tell_ended=lambda job_id: entry.gossip.broadcast(
                JobEnded(owner_id, job_id),
            ),
            store_up=lambda: health.up,
            version=lambda: entry.configurations.version,
            now=clock.now,
            settle_s=installation.bounds.settle_s,
        )
        crashes = CrashTracker(
            owner_id,
            clock.now,
            lambda report: entry.gossip.broadcast(report),
            log_event,
        )
        configurations = ConfigurationFeed(
            clock.now,
            lambda configuration: entry.on_configuration(configuration),
            installation.bounds.config_apply_s,
        )
        ingress = Ingress(
            RelayContext(
                dispatcher,
                client,
                crashes,
                clock.now,
                log_event,
            ),
            metrics,
            generator,
            api.handle,
            is_current=configurations.is_current,
            keys=KeyCheck.from_bounds(
                installation.bounds, configurations, metrics
            ),
            admit=rates.admit,
        )
        gossip = Gossip(
            owner_id,
            lambda: LoadReport(
                owner_id,
                loads.report(),
                dispatcher.waiting(),
                entry.runner.pending() if entry.runner else 0,
                store.path.direct.up_s(clock.now()),
            ),
            lambda message: entry.messages.apply(message),
        )
        sharing = WatchSharing(
            owner_id,
            clock.now,
            loads.last_report_s,
            gossip.send,
            endpoint_table,
            store.path.peer_is_up,
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
            endpoint_table=endpoint_table,
            loads=loads,
            limits=limits,
            rates=rates,
            dispatcher=dispatcher,
            jobs=jobs,
            job_store=job_store,
            gossip=gossip,
            registration=Registration(store, member),
            ingress=ingress,
            api=api,
            policy=BatchPolicy(
                loads,
                SlotGrants(owner_id, loads),
                generator,
                BatchReserve.from_options(installation.options, loads),
                dispatcher.policy.speeds,
            ),
            configurations=configurations,
            endpoints=EndpointFeed(
                endpoint_table,
                clock.now,
                lambda: entry.on_endpoints(),
            ),
            sharing=sharing,
            crash_records=CrashRecords(
                owner_id, store, crashes, clock.now, lambda: jobs.members
            ),
            messages=PeerMessages(
                owner_id,
                dispatcher,
                jobs,
                crashes,
                sharing,
                store.path,
                gossip,
                limits,
                rates,
                clock.now,
            ),
            started_s=clock.now(),
        )
        connect_parts(entry)
        return entry

    def record_call(self, call: str, *, answered: bool) -> None:
        """Count a call to the store and update the store's health."""
        outcome = 'answered' if answered else 'failed'
        self.metrics.count('store_calls_total', call=call, outcome=outcome)
        self.health.note(answered=answered, now_s=self.clock.now())

    def record_cut_watch(self) -> None:
        """Count a watch that the store ended while it waited."""
        self.metrics.count('store_calls_total', call='kv-watch', outcome='cut')

    def unready_reason(self) -> str:
        """Return why this entry is not ready; empty if it is ready."""
        if self.stopping.is_set():
            return 'stopping'
        if self.configurations.configuration is None:
            return 'no configuration yet'
        if not self.endpoints.listed:
            return 'no endpoints yet'
        return ''

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.ingress.configure(configuration)
        if self.runner is not None:
            changed = self.runner.follow_routes()
            self.metrics.count('job_terms_changed_total', changed)
        self.rates.configure(configuration)
        self.update_synced()

    def on_endpoints(self) -> None:
        """Serve queued requests after a change of the endpoint list."""
        self.dispatcher.on_endpoints()
        self.update_synced()

    async def load_crash_records(self) -> None:
        """Read what crashes endpoints before the rest of the fleet's keys.

        Callers wait for it, and the jobs of a fleet are many. If the call
        fails, the watch on all keys brings them.
        """
        listed = await self.store.list_prefix(SUSPECT_PREFIX)
        if isinstance(listed, Ok):
            self.crash_records.apply_snapshot(listed.ok_value)
            self.update_synced()

    def on_fleet_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a full listing of the fleet's records."""
        call_guarded(self.jobs.apply_snapshot, snapshot)
        self.crash_records.apply_snapshot(snapshot)
        self.update_synced()

    def on_fleet_changes(
        self, changes: list[WatchedChange], revision: int
    ) -> None:
        """Apply changes of the fleet's records."""
        call_guarded(self.jobs.apply_changes, changes, revision)
        self.crash_records.apply_changes(changes)

    def update_synced(self) -> None:
        """Set `synced` if all that requests depend on was loaded."""
        if not self.unready_reason() and self.crash_records.loaded:
            self.synced.set()

    def on_load_change(self, endpoint_id: str) -> None:
        """Schedule a report to peers and a scheduling pass."""
        self.gossip.note_change()
        if self.runner is not None:
            self.runner.schedule_soon()

    def on_members(self) -> None:
        """Follow the current members; peers stay peers while they lapse."""
        self.rates.shares.set_registered(
            {
                member.owner_id: member.instance
                for member in self.jobs.members.values()
            }
        )
        self.sharing.set_members(self.jobs.members)
        if not self.health.up:
            return
        keep_local = self.installation.options.keep_local
        self.gossip.set_members(
            self.jobs.members.values(),
            self.member.failure_domain if keep_local else '',
        )

    def on_permits(self) -> None:
        """Start what waits for permits."""
        self.dispatcher.serve_queues()
        if self.runner is not None:
            self.runner.schedule_soon()

    async def cancel_timed_out(self) -> None:
        """Cancel the exchanges that have timed out."""
        self.client.cancel_timed_out(self.clock.now())

    async def batch_tick(self) -> None:
        """Run the batch runner's periodic work."""
        if self.runner is not None:
            observe_demand(self)
            self.runner.peers_known = self.peers_known()
            await self.runner.tick()

    def peers_known(self) -> bool:
        """Return whether every other member has reported since the start.

        Until then the slots that the peers use are not known.
        """
        if self.runner is not None and self.runner.peers_known:
            return True
        if self.member.owner_id not in self.jobs.members:
            return False
        waited_s = self.clock.now() - self.started_s
        return waited_s > JOIN_WAIT_S or all(
            peer in self.loads.peers for peer in self.gossip.peers
        )

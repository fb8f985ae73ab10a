"""Applies the messages of other entries to the components of an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzaldyke.gateway.crashes import CrashReport, CrashTracker
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.drain_exchange import DrainExchange, DrainUpdate
from quetzaldyke.gateway.flow_exchange import FlowExchange
from quetzaldyke.gateway.flow_messages import FlowReport
from quetzaldyke.gateway.gossip import Gossip
from quetzaldyke.gateway.gossip_messages import (
    GossipMessage,
    JobEnded,
    LoadReport,
    PreemptBatch,
    WatchNotice,
    WatchUpdate,
)
from quetzaldyke.gateway.job_records import END_PREFIX
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.limit_exchange import LimitExchange
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.organisation_rates import OrganisationRates
from quetzaldyke.gateway.rate_messages import RateAsk, RateGrant
from quetzaldyke.gateway.shared_watch import WatchSharing
from quetzaldyke.gateway.speed_exchange import SpeedExchange, SpeedUpdate
from quetzaldyke.gateway.store_path import StorePath
from quetzaldyke.parts.rate_shares import ShareHeartbeat

if TYPE_CHECKING:
    from quetzaldyke.gateway.batch_runner import BatchRunner


@dataclass(slots=True)
class PeerMessages:
    """The components that messages of peers change."""

    own_id: str
    dispatcher: Dispatcher
    jobs: JobTable
    crashes: CrashTracker
    sharing: WatchSharing
    store_path: StorePath
    gossip: Gossip
    limits: LimitExchange
    rates: OrganisationRates
    now: Callable[[], float]
    # None until jobs are run.
    runner: BatchRunner | None = None
    # None if the speeds of endpoints are not used.
    speeds: SpeedExchange | None = None
    drains: DrainExchange = field(init=False)
    flows: FlowExchange = field(init=False)

    def __post_init__(self) -> None:
        """Build what exchanges messages of one kind each."""
        self.drains = DrainExchange(
            self.own_id,
            self.dispatcher.drains,
            lambda: self.dispatcher.loads.peers,
            self.gossip.send,
        )
        self.flows = FlowExchange(
            self.own_id,
            self.dispatcher,
            self.gossip,
            self.now,
            lambda: self.runner,
        )

    def apply(self, message: GossipMessage) -> None:
        """Apply a message of a peer."""
        match message:
            case LoadReport():
                self.apply_load_report(message)
            case PreemptBatch(_, endpoint_id):
                if self.runner is not None:
                    self.runner.preemption.preempt(endpoint_id, 'peer_request')
            case JobEnded(_, job_id):
                self.jobs.apply(f'{END_PREFIX}{job_id}', 0, b'1')
            case CrashReport():
                self.crashes.merge(message)
            case WatchUpdate():
                self.sharing.on_update(message)
            case WatchNotice():
                self.sharing.on_notice(message)
            case DrainUpdate():
                self.drains.apply(message)
            case FlowReport():
                self.flows.apply(message)
            case ShareHeartbeat() | RateAsk() | RateGrant():
                self.rates.apply(message)
            case SpeedUpdate():
                if self.speeds is not None:
                    self.speeds.apply(message)
            case _:
                self.limits.apply(message)

    def apply_load_report(self, report: LoadReport) -> None:
        """Apply the load of a peer, and its connection to the store."""
        freed = self.dispatcher.apply_report(
            report.sender, report.counts, report.waiting, report.pending
        )
        address = self.gossip.peers.get(report.sender)
        if address is not None:
            self.store_path.note_peer(
                report.sender,
                address,
                store_up_s=report.store_up_s,
                now_s=self.now(),
            )
            self.sharing.on_report(report.sender)
        if self.runner is not None:
            self.runner.on_peer_load(freed=freed)

    def preempt_batch(self, endpoint: Endpoint) -> None:
        """Preempt an own batch run on an endpoint, or ask a peer to do so."""
        endpoint_id = endpoint.endpoint_id
        runner = self.runner
        if runner and runner.preemption.preempt(endpoint_id, 'own_request'):
            return
        peers = self.dispatcher.loads.batch_peers(endpoint_id)
        if peers:
            self.gossip.send(
                [peers[0][1]], PreemptBatch(self.own_id, endpoint_id)
            )

"""Connects the components of an entry: callbacks between them, and timers.

Those of batch jobs are connected by `batch_start.py`.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from quetzaldyke.gateway.entry_upkeep import (
    clean_up,
    exchange_load,
    update_domain_shares,
)
from quetzaldyke.gateway.guarded import log_timer_failure
from quetzaldyke.gateway.loading import Loading
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.membership import RENEWAL_INTERVAL_S
from quetzaldyke.gateway.restart import StartPolicy
from quetzaldyke.gateway.shared_watch import NOTICE_INTERVAL_S
from quetzaldyke.gateway.speed_exchange import SpeedExchange

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry

WATCHDOG_INTERVAL_S: Final = 0.05
QUEUE_INTERVAL_S: Final = 0.05
CLEANUP_INTERVAL_S: Final = 1.0
GOSSIP_INTERVAL_S: Final = 0.1
SPEED_INTERVAL_S: Final = 0.5


def connect_parts(entry: Entry) -> None:
    """Register the callbacks between components and the timers."""
    entry.dispatcher.on_change = entry.on_load_change
    entry.dispatcher.preempt_batch = entry.messages.preempt_batch
    entry.dispatcher.count_entries = lambda: max(1, len(entry.jobs.members))
    entry.dispatcher.on_displaced = lambda service: entry.metrics.count(
        'requests_displaced_total', service=service
    )
    follow_outages(entry)
    entry.jobs.on_members = entry.on_members
    entry.dispatcher.estimates.shares.weight_of = entry.configurations.weight_of
    entry.policy.grants.shares.weight_of = entry.configurations.weight_of
    entry.limits.permits.on_granted = entry.on_permits
    entry.registration.on_renewed = entry.rates.shares.confirm
    connect_domains(entry)
    connect_loading(entry)
    connect_speeds(entry)
    entry.messages.drains.connect(entry.metrics, log_event)
    entry.metrics.gauge(
        'organisation_rows', lambda: entry.messages.flows.rows_sent
    )
    timers = entry.timers
    timers.on_failure = log_timer_failure
    timers.subscribe('watchdog', WATCHDOG_INTERVAL_S, entry.cancel_timed_out)
    timers.subscribe('lines', QUEUE_INTERVAL_S, entry.dispatcher.tick)
    timers.subscribe('gossip', GOSSIP_INTERVAL_S, partial(exchange_load, entry))
    timers.subscribe('limits', GOSSIP_INTERVAL_S, entry.limits.tick)
    timers.subscribe('rates', WATCHDOG_INTERVAL_S, entry.rates.tick)
    timers.subscribe('drains', GOSSIP_INTERVAL_S, entry.messages.drains.tick)
    timers.subscribe(
        'watch notices', NOTICE_INTERVAL_S, entry.sharing.repeat_notices
    )
    timers.subscribe('flows', GOSSIP_INTERVAL_S, entry.messages.flows.tick)
    timers.subscribe('lease', RENEWAL_INTERVAL_S, entry.registration.renew)
    timers.subscribe('cleaning', CLEANUP_INTERVAL_S, partial(clean_up, entry))
    timers.subscribe(
        'crash records', GOSSIP_INTERVAL_S, entry.crash_records.write
    )


def connect_domains(entry: Entry) -> None:
    """Tell the components that keep work local where each entry runs."""
    shares = entry.dispatcher.policy.shares
    if shares is None:
        return

    def domain_of_entry(owner_id: str) -> str:
        member = entry.jobs.members.get(owner_id)
        return member.failure_domain if member is not None else ''

    shares.domain_of_peer = domain_of_entry
    entry.timers.subscribe(
        'domains', GOSSIP_INTERVAL_S, partial(update_domain_shares, entry)
    )
    entry.policy.grants.domain_of_entry = domain_of_entry


def connect_speeds(entry: Entry) -> None:
    """Share with the peers how fast the endpoints work."""
    speeds = entry.dispatcher.policy.speeds
    if speeds is None:
        return
    exchange = SpeedExchange(
        entry.member.owner_id,
        speeds,
        entry.endpoint_table,
        lambda: entry.gossip.peers,
        entry.gossip.send,
        entry.dispatcher.generator,
    )
    exchange.connect(entry.metrics, log_event)
    entry.messages.speeds = exchange
    entry.timers.subscribe('speeds', SPEED_INTERVAL_S, exchange.tick)


def connect_loading(entry: Entry) -> None:
    """Let callers wait for what the entry loads at its start."""
    loading = Loading(
        StartPolicy(entry.started_s),
        entry.synced,
        entry.clock.now,
        entry.metrics,
    )
    entry.ingress.wait_until_loaded = loading.wait
    entry.ingress.backlog_s = loading.backlog_s
    entry.store.on_cut = entry.record_cut_watch


def follow_outages(entry: Entry) -> None:
    """Tell the endpoint table when the store is lost and regained."""
    health, table = entry.health, entry.endpoint_table

    def on_lost() -> None:
        table.outage_began()
        log_event('dependency_lost', dependency='store')

    def on_regained() -> None:
        now_s = entry.clock.now()
        # An outage that peers did not see affected only this entry.
        local = entry.store.path.any_peer_up_since(health.down_at_s, now_s)
        if local:
            table.outage_was_local()
        else:
            table.outage_ended(now_s)
        log_event('dependency_regained', dependency='store', local=local)

    health.on_lost.append(on_lost)
    health.on_regained.append(on_regained)
    # Members that came while the store counted as down become peers.
    health.on_regained.append(entry.on_members)

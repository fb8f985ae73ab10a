"""Work of an entry at intervals: what placement needs, and expired state."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzaldyke.gateway.logs import log_event

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry


def observe_demand(entry: Entry) -> None:
    """Record the online demand, whose peaks batch work leaves free."""
    if entry.policy.reserve is None:
        return
    now_s = entry.clock.now()
    for service in entry.endpoint_table.by_service:
        usable = entry.endpoint_table.usable(service, now_s)
        entry.policy.reserve.observe(service, usable, now_s)


def update_preference(entry: Entry) -> None:
    """Rank the registered endpoints for this entry."""
    preference = entry.dispatcher.policy.preference
    if preference is None:
        return
    near = sorted(
        member.instance
        for member in entry.jobs.members.values()
        if member.failure_domain == entry.member.failure_domain
    )
    preference.update(
        (
            (service, [one.endpoint for one in tracked])
            for service, tracked in entry.endpoint_table.by_service.items()
        ),
        near,
    )


async def update_domain_shares(entry: Entry) -> None:
    """Update how much of each service's demand leaves the domain."""
    shares = entry.dispatcher.policy.shares
    if shares is None:
        return
    now_s = entry.clock.now()
    shares.count_own_use()
    for service, queue in entry.dispatcher.queues.items():
        if service not in shares.services:
            read = partial(shares.share_of, service)
            entry.metrics.gauge('domain_share', read, service=service)
        shares.update(
            service,
            entry.endpoint_table.usable(service, now_s),
            len(queue),
            queue.mean_hold_s,
            now_s,
        )
    entry.gossip.far_reports_rare = shares.keeps_any()


async def clean_up(entry: Entry) -> None:
    """Remove expired state and time out idle callers."""
    entry.client.close_expired()
    update_preference(entry)
    entry.ingress.context.crashes.drop_expired()
    entry.store.path.remove_silent_peers(entry.clock.now())
    await entry.store.probe_direct()
    gone = entry.endpoint_table.drop_lapsed(entry.clock.now())
    if gone:
        log_event('endpoints_gone', endpoints=','.join(gone))
    entry.policy.grants.drop_absent(entry.endpoint_table.by_id)
    if entry.policy.reserve is not None:
        entry.policy.reserve.keep_endpoints(entry.endpoint_table.by_id)
    if entry.runner is not None:
        entry.runner.estimator.keep_endpoints(entry.endpoint_table.by_id)
    entry.limits.clean_up()
    entry.rates.clean_up()
    entry.messages.drains.clean_up()
    if entry.caller_server is not None:
        entry.ingress.time_out_callers(entry.caller_server)
    await entry.writer.report_dropped()


async def exchange_load(entry: Entry) -> None:
    """Send a heartbeat if it is due, and remove silent peers.

    Peers are told at once that the store has fallen silent, because they may
    follow this entry.
    """
    now_s = entry.clock.now()
    gossip = entry.gossip
    if gossip.reported_store and not entry.store.path.direct.up_s(now_s):
        gossip.note_change()
    await gossip.heartbeat()
    entry.ingress.context.crashes.resend()
    silent = entry.loads.remove_silent_peers(now_s)
    if silent:
        log_event('peers_silent', peers=','.join(silent))
    gossip.keep_senders(entry.loads.peers)
    entry.limits.set_members(entry.jobs.members, entry.loads.peers)

"""Keeps what an entry knows for placement up to date, at intervals."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

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
    near = [
        member.owner_id
        for member in entry.jobs.members.values()
        if member.failure_domain == entry.member.failure_domain
    ]
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

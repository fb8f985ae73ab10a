"""Applies the messages of other entries to the components of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldyke.gateway.crashes import CrashReport
from quetzaldyke.gateway.gossip_messages import (
    GossipMessage,
    JobEnded,
    LoadReport,
    PreemptBatch,
)
from quetzaldyke.gateway.job_records import END_PREFIX
from quetzaldyke.gateway.shared_watch import WatchUpdate

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry


def apply_message(entry: Entry, message: GossipMessage) -> None:
    """Apply a message of a peer."""
    match message:
        case LoadReport():
            apply_load_report(entry, message)
        case PreemptBatch(_, endpoint_id):
            if entry.runner is not None:
                entry.runner.preemption.preempt(endpoint_id, 'peer_request')
        case JobEnded(_, job_id):
            entry.jobs.apply(f'{END_PREFIX}{job_id}', 0, b'1')
        case CrashReport():
            entry.ingress.context.crashes.merge(message)
        case WatchUpdate():
            entry.sharing.on_update(message)


def apply_load_report(entry: Entry, report: LoadReport) -> None:
    """Apply the load of a peer, and its connection to the store."""
    freed = entry.dispatcher.apply_report(
        report.sender, report.counts, report.waiting, report.pending
    )
    address = entry.gossip.peers.get(report.sender)
    if address is not None:
        entry.store.path.note_peer(
            report.sender,
            address,
            store_up_s=report.store_up_s,
            now_s=entry.clock.now(),
        )
    if entry.runner is not None:
        entry.runner.on_peer_load(freed=freed)

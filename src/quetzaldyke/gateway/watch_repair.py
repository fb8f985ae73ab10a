"""Starts what makes up for changes that the watches of an entry miss.

It is imported after the first answers, as callers of a fleet that restarts
wait for imports.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from anyio.abc import TaskGroup

from quetzaldyke.gateway.configuration_reads import ConfigurationReads
from quetzaldyke.gateway.gossip_messages import WatchUpdate
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.missed_updates import GapCloser
from quetzaldyke.gateway.peer_updates import ask_peer

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry

# Interval at which the age of the configuration is checked without requests.
READ_INTERVAL_S: Final = 0.1
# Share of the time in which a version has to be in force everywhere that a
# peer has for an answer with missed changes; the store is called then.
FETCH_SHARE: Final = 0.25


def start_repair(entry: Entry, group: TaskGroup) -> None:
    """Ask peers for changes that were missed; read an old configuration."""
    entry.sharing.non_members = lambda: entry.gossip.senders
    # Idle connections of the other client may lead through a peer to the store.
    ask = partial(ask_for_update, entry, HttpClient())
    for watcher in entry.sharing.watched.values():
        closer = GapCloser(watcher, ask, entry.sharing.on_fetched)
        watcher.on_missed = closer.note
        group.start_soon(closer.run)
    bound_configuration_age(entry)


def bound_configuration_age(entry: Entry) -> None:
    """Let no request or item be decided by a configuration that is too old."""
    reads = ConfigurationReads(
        entry.configurations, entry.store, lambda: entry.health.up
    )
    entry.ingress.refresh = reads.refresh
    # Items of jobs follow the configuration without a request.
    entry.timers.subscribe('configuration', READ_INTERVAL_S, reads.refresh)


async def ask_for_update(
    entry: Entry, client: HttpClient, peer: str, prefix: str, after: int
) -> WatchUpdate | None:
    """Return what a peer has read of a prefix after a revision."""
    address = entry.gossip.address_of(peer)
    if address is None:
        return None
    timeout_s = FETCH_SHARE * entry.installation.bounds.config_apply_s
    return await ask_peer(client, address, prefix, after, timeout_s)

"""Starts an entry's watches on the configuration, endpoints and jobs."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.gateway.configuration_reads import ConfigurationReads
from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.job_records import FLEET_PREFIX
from quetzaldyke.gateway.missed_updates import GapCloser
from quetzaldyke.gateway.peer_updates import ask_peer
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.gateway.watch_messages import WatchUpdate
from quetzaldyke.platform import names

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry

# Longest wait for what callers need before the jobs and members are read. The
# store usually answers within milliseconds.
FIRST_READS_TIMEOUT_S: Final = 0.1
# Changes of endpoints accumulate for this long. Many start at once, and what
# must be known at once is in their answers.
ENDPOINT_POLL_DELAY_S: Final = 0.1
# Interval at which the age of the configuration is checked without requests.
READ_INTERVAL_S: Final = 0.1
# Share of the time in which a version has to be in force everywhere that a
# peer has for an answer with missed changes; the store is called then.
FETCH_SHARE: Final = 0.25


def start_watchers(entry: Entry, group: TaskGroup) -> None:
    """Start the watches on the configuration, endpoints and jobs."""
    watchers = [
        PrefixWatcher(
            entry.store,
            names.OPERATOR_PREFIX,
            entry.configurations.on_snapshot,
            entry.configurations.on_changes,
            wait_s=entry.configurations.watch_wait_s(),
            confirmation=entry.configurations.confirmation,
        ),
        PrefixWatcher(
            entry.store,
            names.ENDPOINT_PREFIX,
            entry.endpoints.on_snapshot,
            entry.endpoints.on_changes,
            poll_delay_s=lambda: ENDPOINT_POLL_DELAY_S,
        ),
        PrefixWatcher(
            entry.store,
            FLEET_PREFIX,
            entry.on_fleet_snapshot,
            entry.on_fleet_changes,
            poll_delay_s=entry.sharing.poll_delay_s,
            confirmation=entry.jobs.confirmation,
        ),
    ]
    entry.configurations.brought_by = lambda: watchers[0].brought_by
    entry.sharing.strangers = lambda: entry.gossip.senders
    # Idle connections of the other client may lead through a peer to the store.
    ask = partial(ask_for_update, entry, HttpClient())
    for watcher in watchers:
        entry.sharing.add(watcher)
        closer = GapCloser(watcher, ask, entry.sharing.on_fetched)
        watcher.on_missed = closer.note
        group.start_soon(closer.run)
    bound_configuration_age(entry)
    group.start_soon(run_guarded, entry.load_crash_records)
    for first in watchers[:-1]:
        group.start_soon(first.run)
    group.start_soon(watch_fleet, entry, watchers[-1])


def bound_configuration_age(entry: Entry) -> None:
    """Let no request or item be decided by a configuration that is too old."""
    reads = ConfigurationReads(
        entry.configurations, entry.store, lambda: entry.health.up
    )
    entry.ingress.refresh = reads.refresh
    # Items of jobs follow the configuration without a request.
    entry.timers.subscribe('configuration', READ_INTERVAL_S, reads.refresh)


async def watch_fleet(entry: Entry, watcher: PrefixWatcher) -> None:
    """Watch jobs and members, after what callers wait for was read."""
    with anyio.move_on_after(FIRST_READS_TIMEOUT_S):
        await entry.synced.wait()
    await watcher.run()


async def ask_for_update(
    entry: Entry, client: HttpClient, peer: str, prefix: str, after: int
) -> WatchUpdate | None:
    """Return what a peer has read of a prefix after a revision."""
    address = entry.gossip.address_of(peer)
    if address is None:
        return None
    timeout_s = FETCH_SHARE * entry.installation.bounds.config_apply_s
    return await ask_peer(client, address, prefix, after, timeout_s)

"""Propagates accepted configurations to one entry and its peers.

Three mechanisms run in parallel, so that the failure of any one does not
delay a version for long: a few entries in each failure domain watch the
stored value, every entry polls for a new version every 4 s, and processes
exchange versions over their connections.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.connection.config_messages import (
    ConfigDelta,
    ConfigRequest,
)
from quetzaldyke.connection.messages import (
    ConfigPush,
    ConfigVersion,
    Heartbeat,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.kv import Change, Envelope, KeyValueStore, read
from quetzaldyke.parts.rendezvous import ranking
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.version.configuration import Configuration
from quetzaldyke.version.exchange import CHECK_INTERVAL_S, ConfigExchange
from quetzaldyke.version.holder import ConfigHolder
from quetzaldyke.version.store import CONFIG_KEY, Head
from quetzaldyke.version.version_hint import VersionHintReader

WATCHERS_PER_DOMAIN: Final = 3
WATCH_RANK_KEY: Final = 'config-watch'
POLL_INTERVAL_S: Final = 4.0
# An entry that starts during a store outage gives its peers this long to
# connect, so that it does not start from a peer that is itself behind.
PEER_CONNECT_WAIT_S: Final = 3.0
WATCH_RETRY_S: Final = 0.5
# Starts a watch at the current revision: the service's protocol takes the
# next revision, for which 0 means the current one.
FROM_NOW: Final = -1
MAX_LOGGED_CHARS: Final = 200


@dataclass(slots=True)
class ConfigSync:
    """Keeps one entry's configuration at the latest version."""

    store: KeyValueStore
    holder: ConfigHolder
    fleet: Fleet
    clock: Clock
    log_event: LogEvent
    exchange: ConfigExchange
    version_hint: VersionHintReader = field(default_factory=VersionHintReader)
    # True once the value was read or the peers' highest version adopted.
    synced: bool = False
    first_peer_at_s: float | None = None
    last_revision: int = 0
    # Whether the next watch may start after the last revision seen.
    watch_delivered: bool = True

    @classmethod
    def from_parts(
        cls,
        store: KeyValueStore,
        holder: ConfigHolder,
        fleet: Fleet,
        clock: Clock,
        log_event: LogEvent,
        random_fraction: Callable[[], float] = random.random,
    ) -> ConfigSync:
        """Build the synchronisation of one entry with its exchange."""
        exchange = ConfigExchange(holder, clock, random_fraction)
        return cls(store, holder, fleet, clock, log_event, exchange)

    def subscribe(self, timers: TimerService) -> None:
        """Subscribe to peers, their messages, the holder and the timers."""
        kinds = (
            Heartbeat,
            ConfigVersion,
            ConfigPush,
            ConfigRequest,
            ConfigDelta,
        )
        for kind in kinds:
            self.fleet.subscribe(kind, self.exchange.on_message)
        self.fleet.on_open(self.on_open)
        self.holder.on_change(self.on_change)
        timers.subscribe('config_check', CHECK_INTERVAL_S, self.check)
        timers.subscribe('config_poll', POLL_INTERVAL_S, self.poll)

    async def on_open(self, session: PeerSession) -> None:
        """Add a newly connected peer to the exchange."""
        if self.first_peer_at_s is None:
            self.first_peer_at_s = self.clock.now()
        self.exchange.add_peer(session)

    def on_change(self, version: int, configuration: Configuration) -> None:
        """Log an adopted version and announce it to the peers."""
        self.log_event('config_adopted', version=version)
        self.exchange.announce()

    def on_head(self, head: Head) -> None:
        """Adopt a value that was read if its version is higher.

        Logs a document that can't be read.
        """
        self.synced = True
        if head.version <= self.holder.version:
            return
        later = (
            head.patches_since(self.holder.version)
            if self.holder.version
            else None
        )
        if later is not None and self.holder.adopt_patches(
            head.version,
            [patch.packed_operations for patch in later],
            head.digest,
        ):
            return
        if not self.holder.adopt(head.version, head.document):
            self.log_event(
                'config_refused',
                version=head.version,
                reason=self.holder.refused_reason,
            )

    async def check(self) -> None:
        """Run the exchange's checks; sync from peers without the store."""
        self.exchange.check()
        if not self.synced and self.matches_peers():
            self.synced = True
            self.log_event('config_from_peers', version=self.holder.version)

    def matches_peers(self) -> bool:
        """Tell whether this entry holds the highest version of its peers.

        False until every listed entry is connected, or PEER_CONNECT_WAIT_S
        has passed since the first peer connected.
        """
        version = self.holder.version
        if not version or version < self.exchange.highest_peer_version():
            return False
        absent = set(self.fleet.live_entries()) - {
            self.fleet.own.instance,
            *self.fleet.entries,
        }
        waited_s = self.clock.now() - (self.first_peer_at_s or 0)
        return not absent or waited_s >= PEER_CONNECT_WAIT_S

    async def poll(self) -> None:
        """Read the value if a newer version may exist; the timer retries."""
        if self.synced:
            version = self.holder.version
            if not await self.version_hint.should_read(self.store, version):
                return
        await self.refresh()

    async def refresh(self) -> None:
        """Read the value and adopt it; do nothing if the read fails."""
        answer = await read(self.store, CONFIG_KEY)
        if isinstance(answer, Err):
            return
        stored = answer.ok_value
        self.last_revision = max(self.last_revision, stored.revision)
        self.apply(lambda: Head.unpack(stored.payload))

    def is_watcher(self) -> bool:
        """Tell whether this entry is a watcher of its failure domain."""
        own = self.fleet.own
        return own.instance in watchers_of(self.fleet, own.failure_domain)

    async def run(self) -> None:
        """Watch the value whenever this entry is a watcher, until cancelled."""
        await self.refresh()
        while True:
            if self.is_watcher():
                await self.watch()
                # A watch that broke may have missed a change; one that ended
                # because the entry lost its rank needs no read.
                if self.is_watcher():
                    await self.refresh()
            await anyio.sleep(WATCH_RETRY_S)

    async def watch(self) -> None:
        """Adopt versions as they are written until the watch ends.

        The watch starts after the last revision seen, so nothing written
        between two watches is missed. The service may have compacted the
        revisions that follow it; a watch that ends without a change is
        therefore followed by one that starts at the current revision.
        """
        after = self.last_revision if self.watch_delivered else FROM_NOW
        self.watch_delivered = after == FROM_NOW
        async for change in self.store.watch(CONFIG_KEY, after):
            self.watch_delivered = True
            self.on_watch_event(change)
            if not self.is_watcher():
                return

    def on_watch_event(self, change: Change) -> None:
        """Adopt the value in a change that the watch delivered."""
        entry = change.record
        self.last_revision = max(self.last_revision, entry.revision)
        if entry.key == CONFIG_KEY and not change.deleted:
            self.apply(
                lambda: Head.unpack(Envelope.unpack(entry.value).payload)
            )

    def apply(self, unpack: Callable[[], Head]) -> None:
        """Adopt a stored value; one that can't be read is only logged.

        Its error would end the task group of the whole process, and again
        after each restart.
        """
        try:
            self.on_head(unpack())
        except Exception as exc:
            self.log_event(
                'config_unreadable', reason=repr(exc)[:MAX_LOGGED_CHARS]
            )


def watchers_of(fleet: Fleet, failure_domain: str) -> list[str]:
    """Return the entries of a failure domain that watch the value.

    Leaving entries are excluded.
    """
    listed = [fleet.own, *fleet.instances.values()]
    names = {
        row.instance
        for row in listed
        if row.role == 'entry'
        and row.failure_domain == failure_domain
        and not row.leaving
    }
    return ranking(names, WATCH_RANK_KEY)[:WATCHERS_PER_DOMAIN]

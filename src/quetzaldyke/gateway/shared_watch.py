"""Shares the watches on the store's keys among the entries of a fleet.

Load pattern: all entries need the same changes. If each watched the store
itself, its calls would grow with the fleet, and each change would wake all
entries to call at once.

A few entries, the watchers, watch the store directly. Each sends what it has
read to the entries that follow it. An entry follows two watchers, so that the
loss of one delays nothing. It watches the store itself as soon as neither
sends load reports that say that it reaches the store, or neither confirms that
it is up to date, and asks the sender of an update that shows that it missed an
earlier one. All entries choose the same
watchers from the member list by rendezvous hashing, without communication.

Failure pattern: datagrams are lost when a link is full, and a watcher sends to
all its followers at once. Updates that are too large for that are announced,
and followers fetch them. The last changes are announced again for a moment,
so that none is missed because one datagram was lost.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.gossip_messages import (
    WatchMessage,
    WatchNotice,
    WatchUpdate,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.watch import PrefixWatcher, age_ms, size_of
from quetzaldyke.parts.rendezvous import ranking
from quetzaldyke.parts.transactions import WatchBatch, WatchedChange

MIN_WATCHERS: Final = 2
ENTRIES_PER_WATCHER: Final = 16
SOURCES_PER_FOLLOWER: Final = 2
WATCHER_KEY: Final = 'store-watch'
# A watcher that has been silent for longer is not relied on: it misses two
# of its periodic load reports.
MAX_SILENCE_S: Final = 0.65
# Time that a watch call may take beyond its wait, as allowed by its timeout.
CONFIRMATION_SLACK_S: Final = 0.65
# Bytes of changes that are sent to all followers at once. More are announced,
# as a link of 30 Mbit/s holds about twice as much and loses what comes beyond.
MAX_BURST_BYTES: Final = 32_768
# For how long, and how often, the last changes are announced again.
NOTICE_S: Final = 3.0
NOTICE_INTERVAL_S: Final = 0.3
# Payload that one packet of a common link carries.
PACKET_BYTES: Final = 1200
POLL_DELAY_PER_WATCHER_S: Final = 0.06
MAX_POLL_DELAY_S: Final = 0.65
# Holds before the watchers are chosen, too: when all entries start at once,
# each registration would else wake every one of them to call again.
MIN_POLL_DELAY_S: Final = 0.15


def watchers_of(members: Collection[str]) -> list[str]:
    """Return the entries that watch the store for all.

    >>> len(watchers_of(['a'])), len(watchers_of(['a', 'b', 'c']))
    (1, 2)
    """
    count = max(MIN_WATCHERS, len(members) // ENTRIES_PER_WATCHER + 1)
    return ranking(members, WATCHER_KEY)[:count]


def sources_of(own_id: str, watchers: Collection[str]) -> list[str]:
    """Return the watchers that an entry follows; none if it is one itself."""
    if own_id in watchers:
        return []
    return ranking(watchers, own_id)[:SOURCES_PER_FOLLOWER]


def limit_changes(
    changes: Collection[WatchedChange], receivers: int
) -> tuple[WatchedChange, ...] | None:
    """Return the changes, or None if the receivers have to fetch them."""
    size = size_of(changes) * receivers
    return tuple(changes) if size <= MAX_BURST_BYTES else None


def max_confirmation_age_s(watcher: PrefixWatcher) -> float:
    """Return the longest time between two confirmations by a working watch.

    That is the wait of a call, its slack, and the delay before the next one.
    """
    return watcher.wait_s + watcher.poll_delay_s() + CONFIRMATION_SLACK_S


@dataclass(slots=True)
class WatchSharing:
    """Decides whether this entry watches the store, and for whom."""

    own_id: str
    now: Callable[[], float]
    # Returns when the last load report of an entry arrived; None if none did.
    last_report_s: Callable[[str], float | None]
    # Sends a message to the given entries.
    send: Callable[[Collection[str], WatchMessage], None]
    endpoints: EndpointTable
    # Whether the last load report of an entry says that it reaches the store.
    reaches_store: Callable[[str], bool] = lambda entry_id: True
    # Returns the entries that are heard and are no members.
    non_members: Callable[[], Collection[str]] = tuple
    watched: dict[str, PrefixWatcher] = field(default_factory=dict)
    watchers: list[str] = field(default_factory=list)
    sources: list[str] = field(default_factory=list)
    # Entries to which this entry sends its updates.
    followers: list[str] = field(default_factory=list)
    # When each source last confirmed a prefix.
    confirmed_s: dict[tuple[str, str], float] = field(default_factory=dict)
    # Up to which revision each source last announced changes of a prefix that
    # this entry lacked, and when.
    unfetched: dict[tuple[str, str], tuple[int, float]] = field(
        default_factory=dict
    )
    # Revision of the last change of each prefix that this entry has sent to its
    # followers, and when it did.
    announced: dict[str, tuple[int, float]] = field(default_factory=dict)
    # The sources and the number of followers that were logged last.
    logged_roles: tuple[str, int] = ('', 0)

    def set_members(self, members: Collection[str]) -> None:
        """Choose watchers, sources and followers from the member list."""
        self.confirmed_s = {
            key: confirmed_s
            for key, confirmed_s in self.confirmed_s.items()
            if key[0] in members
        }
        self.unfetched = {
            key: announced
            for key, announced in self.unfetched.items()
            if key[0] in members
        }
        self.watchers = watchers_of(members)
        self.sources = []
        self.followers = []
        if self.own_id in members:
            self.sources = sources_of(self.own_id, self.watchers)
        if self.own_id in self.watchers:
            self.followers = [
                member
                for member in members
                if self.own_id in sources_of(member, self.watchers)
            ]
        self.log_roles()
        self.leave_unreliable()

    def leave_unreliable(self) -> None:
        """Call the store at once for prefixes that no source confirms."""
        for prefix, watcher in self.watched.items():
            if not self.follow_s(prefix):
                watcher.behind.set()

    def log_roles(self) -> None:
        """Log whom this entry follows and how many follow it, if changed."""
        roles = (','.join(self.sources), len(self.followers))
        if roles != self.logged_roles:
            self.logged_roles = roles
            log_event(
                'watch_roles',
                sources=roles[0],
                followers=roles[1],
                watchers=','.join(self.watchers),
            )

    def add(self, watcher: PrefixWatcher) -> None:
        """Share the watch on one prefix."""
        prefix = watcher.prefix
        self.watched[prefix] = watcher
        watcher.now = self.now
        watcher.follow_s = lambda: self.follow_s(prefix)
        watcher.on_resume = lambda: self.log_resumed(watcher)
        watcher.on_batch = lambda after, batch: self.publish(
            prefix, after, batch
        )

    def poll_delay_s(self) -> float:
        """Return the delay between two calls for jobs and members.

        Each watcher reads the changes of all entries. The more watchers there
        are, the longer changes accumulate, so that the calls of all of them
        stay bounded.
        """
        delay_s = POLL_DELAY_PER_WATCHER_S * len(self.watchers)
        return min(MAX_POLL_DELAY_S, max(MIN_POLL_DELAY_S, delay_s))

    def publish(self, prefix: str, after: int, batch: WatchBatch) -> None:
        """Send what this entry has read to its followers."""
        if not self.followers:
            return
        update = WatchUpdate(
            self.own_id,
            prefix,
            after,
            batch.revision,
            limit_changes(batch.changes, len(self.followers)),
            self.endpoints.lapse_grace_s(self.now()),
            self.now() - self.watched[prefix].answer_as_of_s,
        )
        self.send(self.followers, update)
        if batch.changes:
            last = batch.changes[-1].revision
            self.announced[prefix] = (last, self.now())
        self.log_published(update, batch)

    async def repeat_notices(self) -> None:
        """Announce the last changes again to followers and to who has none.

        Those are the other watchers, and entries that are no members: they
        follow nobody, and their own calls may be refused.
        """
        since_s = self.now() - NOTICE_S
        revisions = {
            prefix: revision
            for prefix, (revision, sent_s) in self.announced.items()
            if sent_s >= since_s
        }
        if revisions:
            receivers = {*self.followers, *self.watchers, *self.non_members()}
            notice = WatchNotice(self.own_id, revisions)
            self.send(receivers - {self.own_id}, notice)

    def on_notice(self, notice: WatchNotice) -> None:
        """Fetch the changes that a watcher has read and this entry has not."""
        for prefix, revision in notice.revisions.items():
            watcher = self.watched.get(prefix)
            seen = watcher.revision if watcher is not None else None
            if watcher is not None and seen is not None and revision > seen:
                watcher.note_missed(revision, notice.sender)

    def held_update(self, prefix: str, after: int) -> WatchUpdate | None:
        """Return the changes of a prefix after a revision, if all are held."""
        watcher = self.watched.get(prefix)
        if watcher is None or watcher.revision is None:
            return None
        changes = watcher.history.since(after)
        if changes is None:
            return None
        now_s = self.now()
        return WatchUpdate(
            self.own_id,
            prefix,
            after,
            watcher.revision,
            changes,
            self.endpoints.lapse_grace_s(now_s),
            watcher.confirmation.age_s(now_s),
        )

    def log_published(self, update: WatchUpdate, batch: WatchBatch) -> None:
        """Log an update whose datagrams together may overfill a link."""
        size = size_of(batch.changes)
        if size > PACKET_BYTES:
            log_event(
                'watch_published',
                prefix=update.prefix,
                after=update.after_revision,
                revision=update.revision,
                bytes=size,
                followers=len(self.followers),
                sent=update.changes is not None,
            )

    def on_update(self, update: WatchUpdate) -> None:
        """Apply what a watcher has read, unless earlier changes are missing."""
        watcher = self.watched.get(update.prefix)
        if watcher is None:
            return
        now_s = self.now()
        source = (update.sender, update.prefix)
        if self.apply(watcher, update):
            self.confirmed_s[source] = now_s
        elif update.revision > (watcher.revision or 0):
            self.unfetched[source] = (update.revision, now_s)

    def on_fetched(self, update: WatchUpdate) -> None:
        """Apply what was asked for; the sender may hold it for long.

        It is confirmed as of when it announced that it had read this.
        """
        watcher = self.watched.get(update.prefix)
        if watcher is None or not self.apply(watcher, update):
            return
        source = (update.sender, update.prefix)
        revision, announced_s = self.unfetched.pop(source, (0, 0.0))
        if 0 < revision <= update.revision:
            self.confirmed_s[source] = announced_s

    def apply(self, watcher: PrefixWatcher, update: WatchUpdate) -> bool:
        """Apply an update; return whether the entry is up to date by it."""
        now_s = self.now()
        self.endpoints.allow_lapses(update.lapse_grace_s, now_s)
        applied = watcher.apply_update(
            update.after_revision,
            update.changes,
            update.revision,
            update.sender,
        )
        if applied:
            watcher.confirmation.note(now_s - update.age_s, update.sender)
        return applied

    def on_report(self, sender: str) -> None:
        """Leave a source at once if its report says that it lost the store."""
        if sender in self.sources and not self.reaches_store(sender):
            self.leave_unreliable()

    def follow_s(self, prefix: str) -> float:
        """Return how long this entry may rely on others before it calls.

        0 if it has to watch the store itself.
        """
        return max(
            (self.reliable_s(source, prefix) for source in self.sources),
            default=0.0,
        )

    def reliable_s(self, source: str, prefix: str) -> float:
        """Return for how much longer a source can be relied on."""
        confirmed_s = self.confirmed_s.get((source, prefix))
        reported_s = self.last_report_s(source)
        if confirmed_s is None or reported_s is None:
            return 0.0
        age_s = max_confirmation_age_s(self.watched[prefix])
        if not self.reaches_store(source):
            # It may go on confirming what it reads through a peer.
            age_s = MAX_SILENCE_S
        until_s = min(confirmed_s + age_s, reported_s + MAX_SILENCE_S)
        return max(0.0, until_s - self.now())

    def log_resumed(self, watcher: PrefixWatcher) -> None:
        """Log why this entry calls the store in place of its sources.

        For each source, the times since its last load report and its last
        confirmation of the prefix; empty if there was none.
        """
        now_s = self.now()
        log_event(
            'watch_resumed',
            prefix=watcher.prefix,
            missed_update=self.follow_s(watcher.prefix) > 0,
            sources=','.join(self.sources),
            reach_store=','.join(
                str(self.reaches_store(source)) for source in self.sources
            ),
            reported_ms=','.join(
                age_ms(self.last_report_s(source), now_s)
                for source in self.sources
            ),
            source_confirmed_ms=','.join(
                age_ms(self.confirmed_s.get((source, watcher.prefix)), now_s)
                for source in self.sources
            ),
            **watcher.confirmation.describe(now_s),
        )

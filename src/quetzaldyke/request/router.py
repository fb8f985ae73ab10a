"""What routing remembers between requests, and the choice for one request.

A link's load is the last report corrected by what this entry has sent and
finished since. Endpoints whose connection broke under a request are ejected
for a short time that doubles while it goes on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol

from quetzaldyke.connection.messages import Message, Report
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.backoff import BackoffOptions, max_backoff_s
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.fleet import Fleet, SidecarLink
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.routing import Candidate, Preference, choose
from quetzaldyke.version.configuration import Configuration, Pool

EJECTION_BASE_S: Final = 1.0
EJECTION_CAP_S: Final = 30.0
EJECTION: Final = BackoffOptions(EJECTION_BASE_S, EJECTION_CAP_S)
# Work is borrowed only once the own pool has no free slot.
SATURATED: Final = 1.0
DEFAULT_POOL: Final = Pool()


class Holder(Protocol):
    """Gives the configuration in force."""

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""


@dataclass(slots=True)
class Ejection:
    """An endpoint that gets no requests for a while."""

    failures: int = 0
    until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Pick:
    """The chosen endpoint and what is known of its load."""

    link: SidecarLink
    load: int
    limit: int


@dataclass(slots=True)
class Router:
    """Routing state of one entry."""

    fleet: Fleet
    holder: Holder
    clock: Clock
    random: Random = field(default_factory=Random)
    at_report: dict[str, int] = field(default_factory=dict)
    ejections: dict[str, Ejection] = field(default_factory=dict)
    borrowed: Counter[tuple[str, str]] = field(default_factory=Counter)

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Remember how many own requests the report already counts."""
        link = self.fleet.link_of(session)
        if link is not None and isinstance(message, Report):
            self.at_report[link.instance.instance] = link.running_online

    def pick(
        self,
        request: OnlineRequest,
        avoided: Collection[str],
    ) -> Pick | None:
        """Choose the endpoint of an attempt; None when there is none.

        Endpoints that already failed the request are used again only when
        no other is left.
        """
        links = self.serving(request.pool)
        chosen = self.choose_link(request, links, avoided)
        if chosen is None or chosen.load >= chosen.limit * SATURATED:
            lent = self.lent_links(request.pool)
            borrowed = self.choose_link(request, lent, avoided)
            if borrowed is not None:
                return borrowed
        return chosen or self.choose_link(request, links, ())

    def choose_link(
        self,
        request: OnlineRequest,
        links: list[SidecarLink],
        avoided: Collection[str],
    ) -> Pick | None:
        """Choose among links, leaving out the avoided names."""
        by_name = {
            one.instance.instance: one
            for one in links
            if one.instance.instance not in avoided
        }
        healthy = self.not_ejected(by_name)
        pool = self.pool_of(request.pool)
        chosen = choose(
            [self.candidate(one, request) for one in healthy.values()],
            Preference(self.fleet.own.failure_domain, pool.spill_ratio),
            self.random,
        )
        if chosen is None:
            return None
        return Pick(by_name[chosen.name], chosen.load, chosen.limit)

    def pool_of(self, name: str) -> Pool:
        """Return the configuration of a pool."""
        return self.holder.current.pools.get(name, DEFAULT_POOL)

    def serving(self, pool: str) -> list[SidecarLink]:
        """Return the usable links whose endpoint serves the pool's model."""
        wanted = self.pool_of(pool)
        return [
            link for link in self.fleet.links_of(pool) if serves(link, wanted)
        ]

    def candidate(
        self,
        link: SidecarLink,
        request: OnlineRequest | None = None,
    ) -> Candidate:
        """Return what routing needs to know of a link."""
        report = link.report
        limit = report.limit if report else 1
        return Candidate(
            link.instance.instance,
            link.instance.failure_domain,
            self.load_of(link),
            max(1, limit),
            link.ttft_ms,
            cached_blocks(report, request),
        )

    def load_of(self, link: SidecarLink) -> int:
        """Return the online requests that run or wait at an endpoint."""
        report = link.report
        if report is None:
            return link.running_online
        counted = self.at_report.get(link.instance.instance, 0)
        since = link.running_online - counted
        reported = report.online_running + report.online_queued
        return max(link.running_online, reported + since)

    def not_ejected(
        self,
        links: dict[str, SidecarLink],
    ) -> dict[str, SidecarLink]:
        """Leave out ejected endpoints unless that would leave none."""
        now_s = self.clock.now()
        healthy = {
            name: link
            for name, link in links.items()
            if name not in self.ejections
            or self.ejections[name].until_s <= now_s
        }
        return healthy or links

    def eject(self, name: str) -> None:
        """Keep new requests from an endpoint that failed one."""
        ejection = self.ejections.setdefault(name, Ejection())
        ejection.failures += 1
        pause = max_backoff_s(EJECTION, ejection.failures)
        ejection.until_s = self.clock.now() + pause

    def note_success(self, name: str) -> None:
        """Forget the failures of an endpoint that answered."""
        self.ejections.pop(name, None)

    def lent_links(self, borrower: str) -> list[SidecarLink]:
        """Return the links of other pools that may run online work now."""
        pools = self.holder.current.pools
        if borrower not in pools:
            return []
        found: list[SidecarLink] = []
        for rule in self.holder.current.lending:
            if rule.borrower != borrower or rule.work != 'online':
                continue
            if rule.when != 'idle':
                continue
            found.extend(self.idle_links(borrower, rule.lender, rule.max_share))
        return found

    def idle_links(
        self,
        borrower: str,
        lender: str,
        max_share: float,
    ) -> list[SidecarLink]:
        """Return a lender's links with room within the rule's share."""
        wanted = self.pool_of(borrower)
        links = [
            link for link in self.fleet.links_of(lender) if serves(link, wanted)
        ]
        slots = sum(self.candidate(link).limit for link in links)
        if self.borrowed[borrower, lender] + 1 > max_share * slots:
            return []
        spill = self.pool_of(lender).spill_ratio
        return [link for link in links if self.candidate(link).score < spill]

    @contextmanager
    def borrowing(self, request: OnlineRequest, pick: Pick) -> Iterator[None]:
        """Count an attempt that runs on a lender's endpoint."""
        lender = pick.link.instance.pool
        if lender == request.pool:
            yield
            return
        self.borrowed[request.pool, lender] += 1
        try:
            yield
        finally:
            self.borrowed[request.pool, lender] -= 1


def cached_blocks(report: Report | None, request: OnlineRequest | None) -> int:
    """Return how many blocks of the prompt an endpoint has cached."""
    if report is None or request is None or not request.prefixes:
        return 0
    cached = frozenset(report.prefixes)
    known = [
        number
        for number, name in enumerate(request.prefixes, start=1)
        if name in cached
    ]
    return max(known, default=0)


def serves(link: SidecarLink, wanted: Pool) -> bool:
    """Tell whether an endpoint reports the model that a pool needs."""
    report = link.report
    if report is None or wanted.kind == 'service':
        return report is not None
    if wanted.adapter and report.adapter != wanted.adapter:
        return False
    return not wanted.model or report.model in {'', wanted.model}

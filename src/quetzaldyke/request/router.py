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
from quetzaldyke.parts.backoff import BackoffOptions, ceiling_s
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.fleet import Fleet, SidecarLink
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.routing import (
    Candidate,
    LocalityPreference,
    choose_candidate,
)
from quetzaldyke.version.configuration import Configuration, Pool

EJECTION_BASE_S: Final = 1.0
EJECTION_CAP_S: Final = 30.0
EJECTION_BACKOFF: Final = BackoffOptions(EJECTION_BASE_S, EJECTION_CAP_S)
# Work is borrowed only once the own pool has no free slot.
SATURATION_RATIO: Final = 1.0
DEFAULT_POOL: Final = Pool()


class ConfigurationHolder(Protocol):
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
    holder: ConfigurationHolder
    clock: Clock
    random: Random = field(default_factory=Random)
    running_at_report: dict[str, int] = field(default_factory=dict)
    ejections: dict[str, Ejection] = field(default_factory=dict)
    borrowed: Counter[tuple[str, str]] = field(default_factory=Counter)

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Remember how many own requests the report already counts."""
        link = self.fleet.link_of(session)
        if link is not None and isinstance(message, Report):
            self.running_at_report[link.instance.instance] = link.running_online

    def pick(
        self,
        request: OnlineRequest,
        avoided: Collection[str],
    ) -> Pick | None:
        """Choose the endpoint of an attempt; None when there is none.

        Endpoints that already failed the request are used again only when
        no other is left.
        """
        links = self.links_serving(request.pool)
        chosen = self.choose_link(request, links, avoided)
        if chosen is None or chosen.load >= chosen.limit * SATURATION_RATIO:
            lent = self.borrowable_links(request.pool)
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
            link.instance.instance: link
            for link in links
            if link.instance.instance not in avoided
        }
        healthy = self.not_ejected(by_name)
        pool = self.pool_of(request.pool)
        chosen = choose_candidate(
            [self.candidate(link, request) for link in healthy.values()],
            LocalityPreference(self.fleet.own.failure_domain, pool.spill_ratio),
            self.random,
        )
        if chosen is None:
            return None
        return Pick(by_name[chosen.name], chosen.load, chosen.limit)

    def pool_of(self, name: str) -> Pool:
        """Return the configuration of a pool."""
        return self.holder.current.pools.get(name, DEFAULT_POOL)

    def links_serving(self, pool: str) -> list[SidecarLink]:
        """Return the usable links whose endpoint serves the pool's model."""
        pool_config = self.pool_of(pool)
        return [
            link
            for link in self.fleet.links_of(pool)
            if serves(link, pool_config)
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
        in_report = self.running_at_report.get(link.instance.instance, 0)
        since_report = link.running_online - in_report
        reported = report.online_running + report.online_queued
        return max(link.running_online, reported + since_report)

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
        pause = ceiling_s(EJECTION_BACKOFF, ejection.failures)
        ejection.until_s = self.clock.now() + pause

    def record_success(self, name: str) -> None:
        """Forget the failures of an endpoint that answered."""
        self.ejections.pop(name, None)

    def borrowable_links(self, borrower: str) -> list[SidecarLink]:
        """Return the links of other pools that may run online work now."""
        pools = self.holder.current.pools
        if borrower not in pools:
            return []
        links: list[SidecarLink] = []
        for rule in self.holder.current.lending:
            if rule.borrower != borrower or rule.work != 'online':
                continue
            if rule.when != 'idle':
                continue
            links.extend(self.idle_links(borrower, rule.lender, rule.max_share))
        return links

    def idle_links(
        self,
        borrower: str,
        lender: str,
        max_share: float,
    ) -> list[SidecarLink]:
        """Return a lender's links with room within the rule's share."""
        pool_config = self.pool_of(borrower)
        links = [
            link
            for link in self.fleet.links_of(lender)
            if serves(link, pool_config)
        ]
        slots = sum(self.candidate(link).limit for link in links)
        if self.borrowed[borrower, lender] + 1 > max_share * slots:
            return []
        max_load_ratio = self.pool_of(lender).spill_ratio
        return [
            link
            for link in links
            if self.candidate(link).load_ratio < max_load_ratio
        ]

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
    matches = [
        number
        for number, name in enumerate(request.prefixes, start=1)
        if name in cached
    ]
    return max(matches, default=0)


def serves(link: SidecarLink, pool_config: Pool) -> bool:
    """Tell whether an endpoint reports the model that a pool needs."""
    report = link.report
    if report is None or pool_config.kind == 'service':
        return report is not None
    if pool_config.adapter and report.adapter != pool_config.adapter:
        return False
    return not pool_config.model or report.model in {'', pool_config.model}

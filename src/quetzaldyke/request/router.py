"""Keeps the routing state of an entry and picks the endpoint of an attempt.

A link's load is its last report, corrected by the requests that this entry
has sent and finished since then. An endpoint whose connection broke during
a request is ejected for a time that doubles with each further failure.
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
from quetzaldyke.request.routing import (
    Candidate,
    LocalityPreference,
    choose_candidate,
)
from quetzaldyke.version.configuration import Configuration, Pool

EJECTION_BASE_S: Final = 1.0
EJECTION_CAP_S: Final = 30.0
EJECTION_BACKOFF: Final = BackoffOptions(EJECTION_BASE_S, EJECTION_CAP_S)
# Endpoints are borrowed only at or above this load ratio of the own pool's
# choice, that is when it has no free slot.
SATURATION_RATIO: Final = 1.0
DEFAULT_POOL: Final = Pool()


class ConfigurationHolder(Protocol):
    """Provides the current configuration."""

    @property
    def current(self) -> Configuration:
        """Return the current configuration."""


@dataclass(slots=True)
class Ejection:
    """Consecutive failures of an endpoint and the end of its ejection."""

    failures: int = 0
    until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Pick:
    """The chosen endpoint with its load and concurrency limit."""

    link: SidecarLink
    load: int
    limit: int


@dataclass(slots=True)
class Router:
    """Picks endpoints by reported load, ejections and lending rules."""

    fleet: Fleet
    holder: ConfigurationHolder
    clock: Clock
    random: Random = field(default_factory=Random)
    running_at_report: dict[str, int] = field(default_factory=dict)
    ejections: dict[str, Ejection] = field(default_factory=dict)
    borrowed: Counter[tuple[str, str]] = field(default_factory=Counter)

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Store how many requests of this entry the report already counts."""
        link = self.fleet.link_of(session)
        if link is not None and isinstance(message, Report):
            self.running_at_report[link.instance.instance] = link.running_online

    def pick(
        self,
        request: OnlineRequest,
        avoided: Collection[str],
    ) -> Pick | None:
        """Return the endpoint for an attempt, or None if there is none.

        Another pool's endpoint is used if the own pool's choice has no free
        slot and a lending rule allows it. Endpoints in `avoided`, on which
        the request already failed, are used only if no other is available.
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
        """Choose among the links whose instance is not in `avoided`."""
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
        """Return the configuration of a pool, or the default one."""
        return self.holder.current.pools.get(name, DEFAULT_POOL)

    def links_serving(self, pool: str) -> list[SidecarLink]:
        """Return the pool's usable links whose endpoint serves its model."""
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
        """Return the routing candidate for a link."""
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
        """Return the estimated online requests running or queued there."""
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
        """Return the links that are not ejected, or all if none is left."""
        now_s = self.clock.now()
        healthy = {
            name: link
            for name, link in links.items()
            if name not in self.ejections
            or self.ejections[name].until_s <= now_s
        }
        return healthy or links

    def eject(self, name: str) -> None:
        """Eject an endpoint for a time that doubles per failure in a row."""
        ejection = self.ejections.setdefault(name, Ejection())
        ejection.failures += 1
        pause = max_backoff_s(EJECTION_BACKOFF, ejection.failures)
        ejection.until_s = self.clock.now() + pause

    def record_success(self, name: str) -> None:
        """Clear the failures and the ejection of an endpoint."""
        self.ejections.pop(name, None)

    def borrowable_links(self, borrower: str) -> list[SidecarLink]:
        """Return lenders' links that may run online work of the borrower."""
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
        """Return the lender's links below its spill ratio.

        The list is empty when the borrower already uses its maximum share
        of the lender's slots.
        """
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
        """Count the attempt as borrowed while it runs on another pool."""
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
    """Return the length in blocks of the longest cached prefix."""
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
    """Return whether the endpoint reports the pool's model and adapter.

    An endpoint that reports no model matches any model. For a pool of plain
    services any report is enough.
    """
    report = link.report
    if report is None or pool_config.kind == 'service':
        return report is not None
    if pool_config.adapter and report.adapter != pool_config.adapter:
        return False
    return not pool_config.model or report.model in {'', pool_config.model}

"""Collects the latest report of each endpoint for placement.

Connected endpoints send reports by themselves. Those outside the entry's
subset are polled in turn, because one process can't hold a connection to
each of 7,900 sidecars within its limits.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.messages import Message, Report
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.fleet import Fleet, Instance
from quetzaldyke.version.placement import Endpoint

# Polls in one round of 2 s. A poll costs about 1 KB; one pass over 7,900
# endpoints takes about half an hour.
POLLS_PER_ROUND: Final = 8
POLL_TIMEOUT_S: Final = 2.0
CHECK_INTERVAL_S: Final = 0.05

# Connects to an instance and stays connected until cancelled.
Connect = Callable[[Instance], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class EndpointReports:
    """Latest reports, and the order in which endpoints are polled."""

    fleet: Fleet
    connect: Connect
    reports: dict[str, Report] = field(default_factory=dict)
    polled: set[str] = field(default_factory=set)
    poll_order: list[str] = field(default_factory=list)

    def subscribe(self) -> None:
        """Subscribe to the reports of connected endpoints."""
        self.fleet.subscribe(Report, self.on_report)

    async def on_report(self, session: PeerSession, report: Message) -> None:
        """Store the report of an endpoint."""
        if isinstance(report, Report):
            self.reports[session.remote.instance] = report

    def endpoints(self) -> list[Endpoint]:
        """Return the listed or connected endpoints that have reported."""
        links = self.fleet.links
        known = dict(self.fleet.instances)
        known.update({name: link.instance for name, link in links.items()})
        rows = (
            (row, self.reports.get(name))
            for name, row in sorted(known.items())
            if row.role == 'sidecar'
        )
        return [
            Endpoint(
                row.instance,
                row.pool,
                report.endpoint_up and not (report.leaving or row.leaving),
                report.model,
                report.version,
                report.adapter,
            )
            for row, report in rows
            if report is not None
        ]

    def all_polled(self, pools: Collection[str]) -> bool:
        """Tell whether every listed endpoint of the pools was polled.

        One that has reported by itself counts as polled.
        """
        known = {*self.polled, *self.reports}
        return all(
            row.instance in known
            for row in self.fleet.instances.values()
            if row.role == 'sidecar' and row.pool in pools
        )

    def own_pool_of(self, instance: str) -> str:
        """Return the pool that an endpoint belongs to; empty if unknown."""
        link = self.fleet.links.get(instance)
        row = link.instance if link else self.fleet.instances.get(instance)
        return row.pool if row else ''

    async def session_to(
        self,
        instance: str,
        group: TaskGroup,
    ) -> PeerSession | None:
        """Return a session to an endpoint; None if it can't be reached.

        Connects in `group` if there is no connection yet.
        """
        link = self.fleet.links.get(instance)
        row = self.fleet.instances.get(instance)
        if link is None and row is not None:
            group.start_soon(self.connect, row)
            with anyio.move_on_after(POLL_TIMEOUT_S):
                while instance not in self.fleet.links:
                    await anyio.sleep(CHECK_INTERVAL_S)
            link = self.fleet.links.get(instance)
        return link.session if link else None

    async def poll(self, pools: Collection[str]) -> None:
        """Fetch the reports of a few endpoints outside the subset.

        Discards the reports of endpoints that are gone.
        """
        for name in list(self.reports):
            if name not in self.fleet.instances | self.fleet.links:
                self.reports.pop(name)
        unconnected = {
            row.instance
            for row in self.fleet.instances.values()
            if row.role == 'sidecar'
            and row.pool in pools
            and row.instance not in self.fleet.links
        }
        kept = [name for name in self.poll_order if name in unconnected]
        queue = [*sorted(unconnected.difference(kept)), *kept]
        self.poll_order = [*queue[POLLS_PER_ROUND:], *queue[:POLLS_PER_ROUND]]
        async with anyio.create_task_group() as group:
            for name in queue[:POLLS_PER_ROUND]:
                group.start_soon(self.poll_endpoint, name)

    async def poll_endpoint(self, instance: str) -> None:
        """Connect to an endpoint until it reports or the time-out passes."""
        self.polled.add(instance)
        self.reports.pop(instance, None)
        with anyio.move_on_after(POLL_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                await self.session_to(instance, group)
                while instance not in self.reports:
                    await anyio.sleep(CHECK_INTERVAL_S)
                group.cancel_scope.cancel()

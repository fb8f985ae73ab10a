"""Exchanges the demand of organisations and shares of limits by entry."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from quetzaldyke.connection.messages import (
    Message,
    UsageAdvice,
    UsageReport,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.request.limits import Coordinator, Limits


@dataclass(slots=True)
class UsageExchange:
    """Reports demand to coordinating entries and advises as one of them."""

    fleet: Fleet
    limits: Limits
    coordinator: Coordinator

    def subscribe(self) -> None:
        """Subscribe to usage reports and advice."""
        self.fleet.subscribe(UsageReport, self.on_report)
        self.fleet.subscribe(UsageAdvice, self.on_advice)

    async def on_report(self, session: PeerSession, message: Message) -> None:
        """Record the demand that another entry reports."""
        if isinstance(message, UsageReport):
            self.coordinator.record_demand(
                session.remote.instance,
                message.used,
            )

    async def on_advice(self, session: PeerSession, message: Message) -> None:
        """Apply shares of the organisations that the sender coordinates."""
        if not isinstance(message, UsageAdvice):
            return
        sender = session.remote.instance
        entries = self.fleet.live_entries()
        self.limits.apply_advice(
            {
                name: share
                for name, share in message.shares.items()
                if first_for(entries, name) == sender
            },
        )

    async def exchange(self) -> None:
        """Report this entry's demand and advise others; runs each second."""
        entries = self.fleet.live_entries()
        own = self.fleet.own.instance
        by_coordinator: dict[str, dict[str, int]] = defaultdict(dict)
        for name, count in self.limits.take_demand().items():
            coordinator = first_for(entries, name) or own
            by_coordinator[coordinator][name] = count
        for entry, demand in by_coordinator.items():
            if entry == own:
                self.coordinator.record_demand(own, demand)
            else:
                self.fleet.send_to_entry(entry, UsageReport(demand))
        for entry, shares in self.coordinator.compute_shares(entries).items():
            if entry == own:
                self.limits.apply_advice(shares)
            elif shares:
                self.fleet.send_to_entry(entry, UsageAdvice(shares))
        self.limits.remove_idle()

"""Tells the other entries what organisations use, and applies what they tell.

Load pattern: organisations ask for more than there is room for, at several
entries. A report is sent as often as a load report in a large fleet would be,
and only while there is something to tell; one without rows ends it. A lost
datagram is made up for by the next one, and what a silent peer said expires.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.fair_shares import RequestRow
from quetzaldyke.gateway.flow_messages import FlowReport
from quetzaldyke.gateway.gossip import Gossip
from quetzaldyke.gateway.logs import log_event

if TYPE_CHECKING:
    from quetzaldyke.gateway.batch_runner import BatchRunner

# Shortest time between two reports: a tenth of the time after which the rows
# of a silent entry expire.
MIN_INTERVAL_S: Final = 0.1
# The heaviest organisation of a service is logged once in this time.
LOG_INTERVAL_S: Final = 10.0


@dataclass(slots=True)
class FlowExchange:
    """Exchanges reports of one entry's organisations with its peers."""

    own_id: str
    dispatcher: Dispatcher
    gossip: Gossip
    now: Callable[[], float]
    # Returns the runner; None until jobs are run.
    runner: Callable[[], BatchRunner | None]
    last_sent_s: float = 0.0
    # Rows in the last report.
    rows_sent: int = 0
    # When organisations were logged, by service and name.
    logged_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def make_report(self) -> FlowReport:
        """Return what this entry has to tell."""
        runner = self.runner()
        items = runner.starter.update_shares() if runner else ()
        return FlowReport(self.own_id, self.dispatcher.estimates.rows(), items)

    async def tick(self) -> None:
        """Send a report if it is due, and drop what silent peers said."""
        now_s = self.now()
        self.dispatcher.estimates.shares.remove_silent_peers(now_s)
        runner = self.runner()
        if runner is not None:
            runner.starter.shares.remove_silent_peers(now_s)
            runner.starter.shares.fade(now_s)
        interval_s = max(MIN_INTERVAL_S, self.gossip.interval_s())
        if now_s - self.last_sent_s < interval_s:
            return
        report = self.make_report()
        rows = len(report.requests) + len(report.items)
        if rows or self.rows_sent:
            self.last_sent_s = now_s
            self.rows_sent = rows
            self.gossip.broadcast(report)
            self.log_heaviest(report.requests, now_s)

    def log_heaviest(self, rows: tuple[RequestRow, ...], now_s: float) -> None:
        """Log the heaviest organisation of each service, once in a while."""
        self.logged_s = {
            key: logged_s
            for key, logged_s in self.logged_s.items()
            if now_s - logged_s < LOG_INTERVAL_S
        }
        heaviest: dict[str, RequestRow] = {}
        for row in rows:
            if row.organisation:
                heaviest.setdefault(row.service, row)
        for row in heaviest.values():
            key = (row.service, row.organisation)
            if key not in self.logged_s:
                self.logged_s[key] = now_s
                log_event(
                    'organisation_heavy',
                    service=row.service,
                    organisation=row.organisation,
                    running=row.running,
                    waiting=row.waiting,
                )

    def apply(self, report: FlowReport) -> None:
        """Apply the report of a peer."""
        now_s = self.now()
        self.dispatcher.estimates.shares.apply(
            report.sender, report.requests, now_s
        )
        runner = self.runner()
        if runner is not None:
            runner.starter.shares.apply(report.sender, report.items, now_s)

"""Admits the requests of organisations within their rates over all entries.

Load pattern: one organisation sends several times its usual for some seconds,
at a few entries or at all, while others send little. A request gets a permit
from the coordinator of its organisation, which costs a round trip; requests
that arrive meanwhile share the next one. When there is no token, requests are
refused here until the next can be there, so that an overload costs at most one
ask a token.

Failure pattern: the coordinator is lost, frozen or cut off. After `PATIENCE_S`
a request takes one of the spare permits of this entry, or is refused; no
permit is granted here that the bound does not contain.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import (
    Configuration,
    Installation,
    Organisation,
)
from quetzaldyke.gateway.rate_coordinator import RateCoordinator
from quetzaldyke.gateway.rate_demand import (
    ADMITTED,
    Admission,
    Demand,
    RateRefusal,
    Waiter,
)
from quetzaldyke.gateway.rate_messages import (
    RateAsk,
    RateGrant,
    RateMessage,
)
from quetzaldyke.parts.fleet_rate import (
    NO_SHARES_RETRY_S,
    RateBounds,
    SparePermits,
    spare_of_rank,
)
from quetzaldyke.parts.rate_shares import ShareHeartbeat, ShareTable
from quetzaldyke.parts.timers import boot_time_s
from quetzaldyke.process.metrics import Metrics

# An ask without an answer is sent again after this time.
RESEND_S: Final = 0.08
# A request waits this long for an answer.
PATIENCE_S: Final = 0.2
# The same while this process has just started: entries that start together
# hold no shares for a moment, and what fits must not be refused for that.
START_PATIENCE_S: Final = 1.5
# Largest part of its time that a request waits for that.
START_WAIT_SHARE: Final = 0.4
# After this time a process that has started knows who holds the shares.
START_S: Final = 3.0
# A time to retry is rounded up to this unit, in which callers are told it.
RETRY_UNIT_S: Final = 0.01
# Most requests of one ask.
MAX_ASKED: Final = 500
# Requests are refused without an ask for this long at most.
MAX_CLOSED_S: Final = 0.25


@dataclass(slots=True)
class OrganisationRates:
    """The requests that wait for permits, and the share of this entry."""

    shares: ShareTable
    coordinator: RateCoordinator
    now: Callable[[], float]
    # Sends a message to another entry.
    send_to_peer: Callable[[str, RateMessage], None]
    count: Callable[[str, int], None]
    log_event: Callable[..., None]
    # Returns the time by the clock of the requests' deadlines.
    caller_now: Callable[[], float]
    # Whether any organisation has a rate.
    enabled: bool = False
    # Numbers of asks; they go on rising when a demand is dropped.
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    demands: dict[str, Demand] = field(default_factory=dict)
    heartbeat_s: float = -math.inf
    # What was last logged of the shares.
    logged_shares: tuple[int, int] = (0, 0)

    @classmethod
    def from_parts(
        cls,
        own_id: str,
        installation: Installation,
        metrics: Metrics,
        find_organisation: Callable[[str], Organisation | None],
        send_to_peer: Callable[[str, RateMessage], None],
        caller_now: Callable[[], float],
        now: Callable[[], float] = boot_time_s,
    ) -> OrganisationRates:
        """Build the rates of an entry.

        `now` must go on while the machine is suspended.
        """
        bounds = installation.bounds
        shares = ShareTable(own_id, installation.instance, now)
        coordinator = RateCoordinator(
            shares,
            RateBounds(
                bounds.rate_window_s, bounds.rate_overshoot, bounds.rate_slack
            ),
            now,
            find_organisation,
        )
        metrics.gauge('coordinated_rates', lambda: len(coordinator.rates))
        metrics.gauge('rate_shares_held', lambda: len(shares.held.latest))
        metrics.gauge('rate_shares', lambda: shares.held.total)
        return cls(
            shares,
            coordinator,
            now,
            send_to_peer,
            lambda event, number: metrics.count(
                'organisation_rates_total', number, event=event
            ),
            log_event,
            caller_now,
        )

    def configure(self, configuration: Configuration) -> None:
        """Take part in sharing rates if any organisation has one."""
        directory = configuration.directory
        owners = directory.owners if directory else {}
        self.enabled = any(one.rate for one in owners.values())
        self.shares.keep_keys(owners)

    async def admit(
        self, organisation: Organisation | None, deadline_s: float
    ) -> Admission:
        """Wait shortly for a permit; return a refusal if there is none."""
        if organisation is None or not organisation.rate:
            return ADMITTED
        decided = anyio.Event()
        decisions: list[Admission] = []

        def decide(admission: Admission) -> None:
            decisions.append(admission)
            decided.set()

        left_s = max(0.0, deadline_s - self.caller_now())
        waiter = Waiter(decide, self.now() + self.patience_s(left_s))
        self.request(organisation, waiter)
        try:
            await decided.wait()
        finally:
            self.remove(organisation.name, waiter)
        return decisions[0]

    @property
    def starting(self) -> bool:
        """Return whether this process may not know the shares yet."""
        return self.now() - self.shares.started_s < START_S

    def patience_s(self, left_s: float) -> float:
        """Return how long a request waits for a permit."""
        if self.starting:
            return min(START_PATIENCE_S, left_s * START_WAIT_SHARE)
        return min(PATIENCE_S, left_s)

    def request(self, organisation: Organisation, waiter: Waiter) -> None:
        """Decide about a request now, or when its permit arrives."""
        now_s = self.now()
        demand = self.demand(organisation)
        if demand.take_permit(now_s):
            self.admit_waiter(waiter)
        elif now_s < demand.closed_until_s:
            self.refuse(demand, waiter, 1 / organisation.rate)
        else:
            demand.waiters.append(waiter)
            if not demand.asked:
                self.ask(demand)

    def remove(self, name: str, waiter: Waiter) -> None:
        """Forget a request whose caller has left."""
        demand = self.demands.get(name)
        if demand is not None and waiter in demand.waiters:
            demand.waiters.remove(waiter)

    def demand(self, organisation: Organisation) -> Demand:
        """Return the demand of an organisation, with its current limit."""
        demand = self.demands.get(organisation.name)
        if demand is None:
            window_s = self.coordinator.bounds.window_s
            demand = Demand(organisation, SparePermits(window_s))
            self.demands[organisation.name] = demand
        demand.organisation = organisation
        return demand

    def ask(self, demand: Demand) -> None:
        """Ask for a permit for each request that waits."""
        demand.number = next(self.numbers)
        demand.asked = min(len(demand.waiters), MAX_ASKED)
        demand.asked_s = self.now()
        self.send_ask(demand)

    def send_ask(self, demand: Demand) -> None:
        """Send an ask to whoever coordinates the organisation now."""
        demand.sent_s = self.now()
        organisation = demand.organisation
        receiver = self.shares.coordinator(organisation.name)
        if receiver is None:
            return
        ask = RateAsk(
            self.shares.own_id,
            organisation.name,
            demand.number,
            demand.asked,
            organisation.rate,
            organisation.burst,
        )
        if receiver == self.shares.own_id:
            self.apply_grant(self.coordinator.answer(ask))
        else:
            self.send_to_peer(receiver, ask)

    def apply(self, message: RateMessage) -> None:
        """Apply a message of another entry."""
        match message:
            case ShareHeartbeat():
                self.apply_heartbeat(message)
            case RateAsk(sender):
                self.send_to_peer(sender, self.coordinator.answer(message))
            case RateGrant():
                self.apply_grant(message)

    def apply_grant(self, grant: RateGrant) -> None:
        """Decide about the requests that were asked for."""
        demand = self.demands.get(grant.organisation)
        if demand is None or not demand.asked or grant.number != demand.number:
            self.count('late', grant.granted)
            return
        asked = demand.asked
        demand.asked = 0
        expires_s = demand.asked_s + self.coordinator.bounds.permit_ttl_s
        if self.now() > expires_s:
            self.count('late', grant.granted)
        else:
            self.use_grant(demand, grant, asked, expires_s)
        if demand.waiters and not demand.asked:
            self.ask(demand)

    def use_grant(
        self, demand: Demand, grant: RateGrant, asked: int, expires_s: float
    ) -> None:
        """Use permits, and refuse the other requests that were asked for."""
        waiting = min(asked, len(demand.waiters))
        admitted = min(waiting, grant.granted)
        for _ in range(admitted):
            self.admit_waiter(demand.waiters.popleft())
        unused = grant.granted - admitted
        demand.permits_s.extend(itertools.repeat(expires_s, unused))
        if grant.granted >= asked:
            return
        soon = grant.minority or grant.retry_after_s < PATIENCE_S
        if soon and self.starting:
            # Keeps further asks back until `serve_unanswered` asks for the
            # others again, when this ask is too old.
            # This ask is done with: its grant must not be used again.
            demand.asked = asked - admitted
            demand.number = next(self.numbers)
            return
        now_s = self.now()
        demand.told_s = now_s + grant.retry_after_s
        if not grant.minority:
            closed_s = min(grant.next_token_s, MAX_CLOSED_S)
            demand.closed_until_s = now_s + closed_s
        refused = [demand.waiters.popleft() for _ in range(waiting - admitted)]
        for waiter in refused:
            if grant.minority and self.take_spare(demand):
                self.admit_waiter(waiter)
            else:
                self.refuse(demand, waiter, grant.retry_step_s)

    def admit_waiter(self, waiter: Waiter) -> None:
        """Admit a request."""
        self.count('admitted', 1)
        waiter.decide(ADMITTED)

    def refuse(self, demand: Demand, waiter: Waiter, step_s: float) -> None:
        """Refuse a request; the next one is told a later time."""
        now_s = self.now()
        longest_s = self.coordinator.bounds.window_s
        retry_after_s = min(longest_s, max(0.0, demand.told_s - now_s))
        demand.told_s = now_s + retry_after_s + step_s
        self.count('refused', 1)
        rounded_s = math.ceil(retry_after_s / RETRY_UNIT_S) * RETRY_UNIT_S
        waiter.decide(Err(RateRefusal(rounded_s)))

    def take_spare(self, demand: Demand) -> bool:
        """Use a spare permit of this entry; return whether there was one.

        A process that has just started has none, as its predecessor may have
        used them.
        """
        now_s = self.now()
        bounds = self.coordinator.bounds
        fresh = now_s - self.shares.started_s < bounds.window_s
        if fresh or not self.shares.confirmed:
            return False
        organisation = demand.organisation
        rank, entries = self.shares.rank(organisation.name)
        spare = bounds.spare(organisation.burst)
        most = spare_of_rank(spare, entries, rank)
        taken = demand.spare.take(most, now_s)
        self.count('spare', int(taken))
        return taken

    async def tick(self) -> None:
        """Run the periodic work."""
        self.run_due()

    def run_due(self) -> None:
        """Send heartbeats that are due, and end waits that are too long."""
        now_s = self.now()
        if self.enabled and now_s - self.heartbeat_s >= self.shares.interval_s:
            self.send_heartbeats()
        for demand in list(self.demands.values()):
            if demand.waiters:
                self.serve_unanswered(demand, now_s)

    def send_heartbeats(self) -> None:
        """Tell all other entries whom the shares of this one belong to."""
        self.heartbeat_s = self.now()
        self.shares.update()
        for receiver in self.shares.receivers():
            self.send_to_peer(receiver, self.shares.heartbeat_to(receiver))

    def apply_heartbeat(self, heartbeat: ShareHeartbeat) -> None:
        """Apply a heartbeat; answer the first one of a new entry at once."""
        sender = heartbeat.sender
        self.shares.apply(heartbeat)
        if not self.enabled or sender not in self.shares.peers:
            return
        if not heartbeat.echo:
            self.send_to_peer(sender, self.shares.heartbeat_to(sender))
        elif sender not in self.shares.heard:
            self.shares.update()

    def serve_unanswered(self, demand: Demand, now_s: float) -> None:
        """Send an ask again, and decide about those that waited too long."""
        late = [one for one in demand.waiters if one.deadline_s <= now_s]
        for waiter in late:
            demand.waiters.remove(waiter)
            if self.take_spare(demand):
                self.admit_waiter(waiter)
            else:
                demand.told_s = now_s + self.no_shares_retry_s(now_s)
                self.refuse(demand, waiter, 0.0)
        if late:
            self.count('unanswered', len(late))
        if not demand.waiters:
            return
        if now_s - demand.asked_s > self.coordinator.bounds.permit_ttl_s:
            self.ask(demand)
        elif now_s - demand.sent_s >= RESEND_S:
            self.send_ask(demand)

    def no_shares_retry_s(self, now_s: float) -> float:
        """Return when a request may come again that nobody could decide on."""
        known_s = self.shares.started_s + START_S - now_s
        return max(NO_SHARES_RETRY_S, known_s)

    def leave(self) -> None:
        """Give up the shares of the other entries, as this one stops."""
        if not self.enabled:
            return
        self.shares.leave()
        self.coordinator.rates.clear()
        self.send_heartbeats()

    def clean_up(self) -> None:
        """Drop what is kept of idle organisations, and log the shares."""
        now_s = self.now()
        for name, demand in list(self.demands.items()):
            if demand.idle(now_s):
                del self.demands[name]
        self.coordinator.clean_up()
        shares = len(self.shares.held.latest), self.shares.held.total
        if self.enabled and shares != self.logged_shares:
            self.logged_shares = shares
            held, total = shares
            self.log_event('rate_shares_held', held=held, total=total)

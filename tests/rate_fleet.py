"""Plays entries that share organisations' rates, with simulated time.

Messages are delayed, may be lost, doubled or cut; entries are killed, frozen,
stopped and started, and the registry follows them with its lease and delay.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from result import Err

from gateway_kit import FakeTime
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.model import Organisation
from quetzaldyke.gateway.organisation_rates import (
    OrganisationRates,
)
from quetzaldyke.gateway.rate_coordinator import RateCoordinator
from quetzaldyke.gateway.rate_demand import Admission, Waiter
from quetzaldyke.gateway.rate_messages import RateMessage
from quetzaldyke.parts.fleet_rate import RateBounds
from quetzaldyke.parts.rate_shares import ShareTable

# Time that callers have for their requests.
CALLER_TIME_S: Final = 5.0
TICK_S: Final = 0.05
LEASE_S: Final = 3.0
BOUNDS: Final = RateBounds()


@dataclass(slots=True)
class RateEntry:
    """One process; `instance` outlives it."""

    name: str
    instance: str
    rates: OrganisationRates
    alive: bool = True
    frozen_until_s: float = 0.0
    store_cut: bool = False
    renewed_s: float = 0.0
    leaving: bool = False


@dataclass(slots=True)
class RateFleet:
    """Entries, the network between them, and what was admitted."""

    organisations: dict[str, Organisation]
    seed: int = 1
    loss: float = 0.0
    doubling: bool = False
    # Longest delay of a message.
    delay_s: float = 0.005
    # Registry changes reach each entry after up to this time.
    watch_s: float = 0.2
    time: FakeTime = field(default_factory=lambda: FakeTime(100.0))
    entries: dict[str, RateEntry] = field(default_factory=dict)
    # Pairs of instances that do not reach each other.
    cuts: set[frozenset[str]] = field(default_factory=set)
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    admitted_s: dict[str, list[float]] = field(default_factory=dict)
    refusals: list[tuple[str, float]] = field(default_factory=list)
    messages: int = 0
    generator: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the generator."""
        self.generator = random.Random(self.seed)

    @classmethod
    def of(
        cls, entries: int, *organisations: Organisation, **options: object
    ) -> RateFleet:
        """Return a fleet that has run long enough to be settled."""
        fleet = cls({one.name: one for one in organisations})
        for name, option in options.items():
            setattr(fleet, name, option)
        fleet.generator = random.Random(fleet.seed)
        for number in range(entries):
            fleet.start(f'i{number}')
        fleet.run(8.0)
        return fleet

    def start(self, instance: str) -> RateEntry:
        """Start a process on an instance."""
        name = f'{instance}-{next(self.numbers)}'
        shares = ShareTable(name, instance, self.time.read)
        rates = OrganisationRates(
            shares,
            RateCoordinator(
                shares, BOUNDS, self.time.read, self.organisations.get
            ),
            self.time.read,
            partial(self.send, name),
            lambda event, number: None,
            lambda event, **fields: None,
            self.time.read,
            enabled=True,
        )
        entry = RateEntry(name, instance, rates, renewed_s=self.time.now_s)
        self.entries[name] = entry
        self.after(0.0, partial(self.tick, entry))
        return entry

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        row = (self.time.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, row)

    def run(self, seconds: float) -> None:
        """Run all events of some time."""
        until_s = self.time.now_s + seconds
        while self.events and self.events[0][0] <= until_s:
            self.time.now_s, _, action = heapq.heappop(self.events)
            action()
        self.time.now_s = until_s

    def when_awake(self, entry: RateEntry, action: Callable[[], None]) -> None:
        """Run an action at an entry, later if that is frozen."""
        if not entry.alive:
            return
        if entry.frozen_until_s > self.time.now_s:
            wait_s = entry.frozen_until_s - self.time.now_s
            self.after(wait_s, partial(self.when_awake, entry, action))
            return
        action()

    def send(self, sender: str, receiver: str, message: RateMessage) -> None:
        """Deliver a message later, or lose it."""
        self.messages += 1
        target = self.entries.get(receiver)
        if target is None or self.generator.random() < self.loss:
            return
        pair = frozenset((self.entries[sender].instance, target.instance))
        if pair in self.cuts:
            return
        decoded = decode(encode(message))
        assert decoded == message
        deliver = partial(target.rates.apply, message)
        for _ in range(1 + self.doubling):
            self.after(
                0.001 + self.delay_s * self.generator.random(),
                partial(self.when_awake, target, deliver),
            )

    def tick(self, entry: RateEntry) -> None:
        """Run the periodic work of an entry, and repeat it."""
        if not entry.alive:
            return

        def act() -> None:
            if not entry.store_cut:
                entry.renewed_s = self.time.now_s
                watch_s = self.watch_s * self.generator.random()
                self.after(
                    watch_s,
                    partial(
                        entry.rates.shares.set_registered, self.registered()
                    ),
                )
            entry.rates.run_due()
            entry.rates.clean_up()

        self.when_awake(entry, act)
        self.after(TICK_S, partial(self.tick, entry))

    def registered(self) -> dict[str, str]:
        """Return the instances of the processes whose lease is valid."""
        return {
            one.name: one.instance
            for one in self.entries.values()
            if not one.leaving and self.time.now_s - one.renewed_s <= LEASE_S
        }

    def request(self, entry: RateEntry, name: str) -> None:
        """Let a request arrive at an entry."""

        def decide(admission: Admission) -> None:
            if isinstance(admission, Err):
                wait_s = admission.err_value.retry_after_s
                self.refusals.append((name, wait_s))
            else:
                self.admitted_s.setdefault(name, []).append(self.time.now_s)

        def arrive() -> None:
            patience_s = entry.rates.patience_s(CALLER_TIME_S)
            deadline_s = self.time.now_s + patience_s
            organisation = self.organisations[name]
            entry.rates.request(organisation, Waiter(decide, deadline_s))

        self.when_awake(entry, arrive)

    def demand(
        self, name: str, per_s: float, seconds: float, at: str = ''
    ) -> None:
        """Let requests arrive at random entries, or all at one instance."""
        generator = random.Random(f'{self.seed}-{name}-{self.time.now_s}')

        def arrive() -> None:
            running = [
                one
                for one in self.entries.values()
                if one.alive and at in {'', one.instance}
            ]
            if running:
                self.request(generator.choice(running), name)

        at_s = generator.expovariate(per_s)
        while at_s < seconds:
            self.after(at_s, arrive)
            at_s += generator.expovariate(per_s)

    def most_in_a_window(self, name: str) -> int:
        """Return the most requests of an organisation in any window."""
        times_s = self.admitted_s.get(name, [])
        first = most = 0
        for index, at_s in enumerate(times_s):
            while times_s[first] <= at_s - BOUNDS.window_s:
                first += 1
            most = max(most, index - first + 1)
        return most

    def keeps_bounds(self) -> bool:
        """Return whether no organisation exceeded its bound."""
        return all(
            self.most_in_a_window(name)
            <= BOUNDS.allowed(organisation.rate, organisation.burst)
            for name, organisation in self.organisations.items()
        )

    def holders(self, name: str) -> dict[str, list[str]]:
        """Return who may grant the share of each instance now."""
        holders: dict[str, list[str]] = {}
        for entry in self.entries.values():
            if entry.alive:
                held = entry.rates.shares.held
                for sender in held.senders(name):
                    instance = self.entries[sender].instance
                    holders.setdefault(instance, []).append(entry.name)
        return holders

    def running(self, instance: str) -> RateEntry:
        """Return the process that runs on an instance."""
        return next(
            one
            for one in self.entries.values()
            if one.alive and one.instance == instance
        )

    def kill(self, instance: str, restart_s: float | None = None) -> None:
        """End a process without a word; start another one later."""
        self.end(self.running(instance), restart_s)

    def end(self, entry: RateEntry, restart_s: float | None = None) -> None:
        """End a process unless it has ended; start another one later."""
        if not entry.alive:
            return
        entry.alive = False
        if restart_s is not None:
            self.after(restart_s, partial(self.restart, entry.instance))

    def restart(self, instance: str) -> None:
        """Start a process on an instance that has none."""
        self.start(instance)

    def stop(self, instance: str, restart_s: float) -> None:
        """Stop a process gracefully; start another one later."""
        entry = self.running(instance)
        entry.rates.leave()
        entry.leaving = True
        self.after(restart_s, partial(self.end, entry, 0.2))

    def cut(self, *instances: str, seconds: float, store: bool = True) -> None:
        """Cut some instances off from all others, and from the store."""
        pairs = {
            frozenset((one.instance, instance))
            for one in self.entries.values()
            for instance in instances
            if one.instance not in instances
        }
        self.cuts |= pairs
        cut_off = [
            one
            for one in self.entries.values()
            if store and one.instance in instances
        ]
        for entry in cut_off:
            entry.store_cut = True

        def heal() -> None:
            self.cuts -= pairs
            for one in cut_off:
                one.store_cut = False

        self.after(seconds, heal)

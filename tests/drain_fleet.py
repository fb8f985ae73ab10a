"""Simulates entries that hear from endpoints, and peers, that some drain.

Each entry has its own dispatcher; messages between entries are encoded,
delayed and may be lost. There is no store. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from gateway_kit import FakeTime, make_dispatcher, make_endpoint
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.drain_exchange import DrainExchange, DrainUpdate
from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.process.metrics import Metrics

SERVICE: Final = 'lm'
TICK_S: Final = 0.1
ANSWER_S: Final = 0.05


@dataclass(slots=True)
class DrainEntry:
    """One entry of the simulated fleet."""

    name: str
    dispatcher: Dispatcher
    exchange: DrainExchange
    # When an answer of each lifetime first stated that it drains.
    told_s: dict[str, float] = field(default_factory=dict)
    messages: int = 0
    bytes: int = 0

    def knows(self, endpoint: Endpoint) -> bool:
        """Return whether the entry knows that an endpoint drains."""
        drains = self.dispatcher.endpoints.drains
        return endpoint.lifetime in drains.seen_s


@dataclass(slots=True)
class DrainFleet:
    """Entries, endpoints and the network between them."""

    time: FakeTime = field(default_factory=lambda: FakeTime(0.0))
    loss: float = 0.0
    # Longest delay of a message.
    delay_s: float = 0.005
    connected: bool = True
    generator: random.Random = field(default_factory=random.Random)
    entries: dict[str, DrainEntry] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    # Lifetimes that state in each answer that they drain.
    draining: set[str] = field(default_factory=set)
    # Seconds between an entry's first such answer and each later request that
    # it sent to that lifetime.
    late_s: list[float] = field(default_factory=list)
    refused: int = 0
    served: dict[str, int] = field(default_factory=dict)
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    @classmethod
    def of(
        cls,
        entries: int,
        endpoints: int = 4,
        *,
        seed: int = 1,
        loss: float = 0.0,
        delay_s: float = 0.005,
    ) -> DrainFleet:
        """Return a fleet none of whose endpoints drains."""
        generator = random.Random(seed)
        fleet = cls(loss=loss, delay_s=delay_s, generator=generator)
        for number in range(endpoints):
            made = make_endpoint(f'e{number}', slots=1_000, started_ms=1)
            fleet.endpoints[made.endpoint_id] = made
        for number in range(entries):
            fleet.add_entry(f'entry-{number:03}')
        return fleet

    def add_entry(self, name: str) -> DrainEntry:
        """Start an entry, which has the list of the endpoints.

        Its number among the entries is the seed of its choices.
        """
        dispatcher = make_dispatcher(
            self.time, *self.endpoints.values(), seed=len(self.entries)
        )
        exchange = DrainExchange(
            name,
            dispatcher.drains,
            partial(self.heard_by, name),
            partial(self.send, name),
        )
        exchange.connect(Metrics(), lambda event, **fields: None)
        entry = self.entries[name] = DrainEntry(name, dispatcher, exchange)
        self.after(self.generator.random() * TICK_S, partial(self.tick, entry))
        return entry

    def heard_by(self, name: str) -> list[str]:
        """Return the peers that an entry hears."""
        if not self.connected:
            return []
        return [peer for peer in self.entries if peer != name]

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        row = (self.time.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, row)

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.time.now_s, _, action = heapq.heappop(self.events)
            action()
        self.time.now_s = until_s

    def send(
        self, sender: str, receivers: Iterable[str], update: DrainUpdate
    ) -> None:
        """Deliver an update to each receiver after some time, or lose it.

        The receivers are a set, whose order differs between processes: taken
        as it comes, it would decide which of them waits how long.
        """
        datagram = encode(update)
        decoded = decode(datagram)
        assert decoded == update
        entry = self.entries[sender]
        for receiver in sorted(receivers):
            entry.messages += 1
            entry.bytes += len(datagram)
            if self.generator.random() >= self.loss:
                apply = self.entries[receiver].exchange.apply
                delay_s = self.generator.random() * self.delay_s
                self.after(delay_s, partial(apply, update))

    def tick(self, entry: DrainEntry) -> None:
        """Run the periodic work of an entry."""
        if self.entries.get(entry.name) is not entry:
            return
        entry.exchange.send_due()
        entry.exchange.clean_up()
        self.after(TICK_S, partial(self.tick, entry))

    def request(self, entry: DrainEntry) -> None:
        """Let a request arrive at an entry; its answer comes later."""
        reservation = entry.dispatcher.try_acquire(SERVICE)
        if reservation is None:
            self.refused += 1
            return
        endpoint = reservation.endpoint
        sent_s = self.time.now_s
        told_s = entry.told_s.get(endpoint.lifetime)
        if told_s is not None:
            self.late_s.append(sent_s - told_s)
        self.served[endpoint.lifetime] = (
            self.served.get(endpoint.lifetime, 0) + 1
        )
        states = endpoint.lifetime in self.draining

        def answer() -> None:
            headers = [(b'server-leaving', b'1')] if states else []
            if states:
                entry.told_s.setdefault(endpoint.lifetime, self.time.now_s)
            entry.dispatcher.drains.note_head(
                endpoint, ResponseHead(200, headers)
            )
            entry.dispatcher.release(reservation)

        self.after(ANSWER_S, answer)

    def add_demand(
        self, per_s: float, until_s: float, start_s: float = 0.0
    ) -> None:
        """Let requests arrive at random entries."""
        at_s = start_s

        def arrive() -> None:
            name = self.generator.choice(sorted(self.entries))
            self.request(self.entries[name])

        while at_s < until_s:
            at_s += self.generator.expovariate(per_s)
            self.after(at_s - self.time.now_s, arrive)

    def drain(self, endpoint_id: str) -> Endpoint:
        """Let an endpoint state in its answers that it drains."""
        endpoint = self.endpoints[endpoint_id]
        self.draining.add(endpoint.lifetime)
        return endpoint

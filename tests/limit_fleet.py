"""Simulates entries that share endpoints which name limits.

Each entry has its own dispatcher and limits; messages between them are
encoded, delayed and may be lost. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from result import Ok

from gateway_kit import FakeTime, make_dispatcher, make_endpoint
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.limit_exchange import LimitExchange
from quetzaldyke.gateway.limit_messages import LimitMessage
from quetzaldyke.gateway.loads import RequestCounts
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.wait_queue import QueuedRequest
from quetzaldyke.process.metrics import Metrics

SERVICE: Final = 'lm'
TICK_S: Final = 0.1
QUEUE_TICK_S: Final = 0.05
ANSWER_S: Final = 0.05
HOLD_S: Final = 0.3
WAIT_S: Final = 0.5


@dataclass(slots=True)
class SimulatedEndpoint:
    """An endpoint, the limit that it names, and the requests that it got."""

    endpoint: Endpoint
    # Returns the limit that a response names at a time; None for none.
    limit: Callable[[float], float | None] = lambda now_s: None
    got_s: list[float] = field(default_factory=list)
    # Entries that a request came from.
    senders: set[str] = field(default_factory=set)


@dataclass(slots=True)
class LimitEntry:
    """One entry of the simulated fleet."""

    name: str
    dispatcher: Dispatcher
    exchange: LimitExchange
    # Batch items that could start.
    batch: int = 0
    alive: bool = True
    # Being stopped: no member any more, but heard and still serving.
    leaving: bool = False
    # Rows of this entry's last load report, and those applied of its peers.
    reported: tuple[tuple[str, int, int], ...] = ()
    applied: dict[str, tuple[tuple[str, int, int], ...]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class LimitFleet:
    """Entries, endpoints and the network between them."""

    time: FakeTime = field(default_factory=lambda: FakeTime(0.0))
    seed: int = 1
    loss: float = 0.0
    # Whether the network delivers each message twice.
    doubling: bool = False
    entries: dict[str, LimitEntry] = field(default_factory=dict)
    endpoints: dict[str, SimulatedEndpoint] = field(default_factory=dict)
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    refused: int = 0
    served: int = 0
    batch_started: int = 0
    messages: int = 0
    generator: random.Random = field(default_factory=random.Random)

    @classmethod
    def of(
        cls, entries: int, endpoints: int, *, seed: int = 1, loss: float = 0.0
    ) -> LimitFleet:
        """Return a fleet whose endpoints name no limit yet."""
        fleet = cls(seed=seed, loss=loss, generator=random.Random(seed))
        for number in range(endpoints):
            endpoint = make_endpoint(f'e{number}', slots=6)
            fleet.endpoints[endpoint.endpoint_id] = SimulatedEndpoint(endpoint)
        for number in range(entries):
            fleet.add_entry(f'entry-{number}')
        return fleet

    def add_entry(self, name: str) -> LimitEntry:
        """Start an entry."""
        dispatcher = make_dispatcher(
            self.time, *(one.endpoint for one in self.endpoints.values())
        )
        exchange = LimitExchange.from_parts(
            name,
            dispatcher.endpoints,
            dispatcher.loads,
            Metrics(),
            random.Random(f'{self.seed}-{name}'),
            partial(self.send, name),
            self.time.read,
        )
        exchange.attach(dispatcher)
        entry = LimitEntry(name, dispatcher, exchange)
        exchange.permits.on_granted = partial(self.start_waiting, entry)
        self.entries[name] = entry
        self.after(self.generator.random() * TICK_S, partial(self.tick, entry))
        self.after(
            self.generator.random() * QUEUE_TICK_S,
            partial(self.tick_queue, entry),
        )
        return entry

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

    def send(self, sender: str, receiver: str, message: LimitMessage) -> None:
        """Deliver a message after some milliseconds, or lose it."""
        self.messages += 1
        if self.generator.random() < self.loss:
            return
        datagram = encode(message)

        def deliver() -> None:
            entry = self.entries.get(receiver)
            if entry is None or not entry.alive:
                return
            decoded = decode(datagram)
            assert decoded == message
            entry.exchange.apply(message)

        for _ in range(1 + self.doubling):
            self.after(0.001 + 0.004 * self.generator.random(), deliver)

    def tick(self, entry: LimitEntry) -> None:
        """Run the periodic work of an entry."""
        if not entry.alive:
            return
        alive = [one.name for one in self.entries.values() if one.alive]
        self.exchange_loads(entry, alive)
        members = [one for one in alive if not self.entries[one].leaving]
        entry.exchange.set_members(members, alive)
        entry.exchange.give_back()
        entry.exchange.coordinator.tick()
        self.after(TICK_S, partial(self.tick, entry))

    def exchange_loads(self, entry: LimitEntry, alive: list[str]) -> None:
        """Apply the load reports of the peers that have changed."""
        counts = entry.dispatcher.loads.report()
        rows = [(key, one.online, one.batch) for key, one in counts.items()]
        entry.reported = tuple(rows)
        loads = entry.dispatcher.loads
        for peer in alive:
            reported = self.entries[peer].reported
            if peer == entry.name or entry.applied.get(peer) == reported:
                continue
            entry.applied[peer] = reported
            known = {
                key: RequestCounts(online, batch)
                for key, online, batch in reported
            }
            loads.apply_report(peer, known, {}, 0, self.time.now_s)

    def tick_queue(self, entry: LimitEntry) -> None:
        """Serve the queue of an entry, start items, and ask for permits."""
        if not entry.alive:
            return
        self.start_waiting(entry)
        queue = entry.dispatcher.queue(SERVICE)
        queue.refuse_expired(self.time.now_s)
        entry.dispatcher.ask_for_permits(SERVICE)
        usable = entry.dispatcher.endpoints.usable(SERVICE, self.time.now_s)
        if entry.batch:
            entry.exchange.permits.ask_batch(usable, entry.batch)
        self.after(QUEUE_TICK_S, partial(self.tick_queue, entry))

    def start_waiting(self, entry: LimitEntry) -> None:
        """Start queued requests, then items that have permits."""
        entry.dispatcher.serve_queues()
        usable = entry.dispatcher.endpoints.usable(SERVICE, self.time.now_s)
        places = entry.exchange.permits.batch_places(usable, lambda one: 1)
        for endpoint in places[: entry.batch]:
            entry.batch -= 1
            self.batch_started += 1
            self.start(
                entry, entry.dispatcher.acquire_on(endpoint, online=False)
            )

    def request(self, entry: LimitEntry) -> None:
        """Let an online request arrive."""

        def try_start() -> bool:
            reservation = entry.dispatcher.try_acquire(SERVICE)
            if reservation is not None:
                self.served += 1
                self.start(entry, reservation)
            return reservation is not None

        def refuse() -> None:
            self.refused += 1

        if not entry.alive:
            return
        queue = entry.dispatcher.queue(SERVICE)
        if not len(queue) and try_start():
            return
        now_s = self.time.now_s
        queue.add(
            QueuedRequest(0, now_s + WAIT_S, now_s + WAIT_S, try_start, refuse)
        )
        entry.dispatcher.ask_for_permits(SERVICE)

    def start(self, entry: LimitEntry, reservation: Reservation) -> None:
        """Send a request to its endpoint, which answers later."""
        sent_s = self.time.now_s
        endpoint = reservation.endpoint
        simulated = self.endpoints[endpoint.endpoint_id]
        simulated.got_s.append(sent_s)
        simulated.senders.add(entry.name)

        def answer() -> None:
            if entry.alive:
                entry.exchange.permits.limits.note_answer(
                    endpoint,
                    Ok(simulated.limit(sent_s)),
                    served=True,
                    age_s=self.time.now_s - sent_s,
                    permitted=reservation.permitted,
                )

        self.after(ANSWER_S, answer)
        self.after(HOLD_S, partial(entry.dispatcher.release, reservation))

    def add_demand(
        self, per_s: float, until_s: float, start_s: float = 0.0
    ) -> None:
        """Let online requests arrive at random entries."""
        generator = random.Random(f'{self.seed}-demand-{start_s}')
        at_s = start_s

        def arrive() -> None:
            names = [one.name for one in self.entries.values() if one.alive]
            self.request(self.entries[generator.choice(names)])

        while at_s < until_s:
            at_s += generator.expovariate(per_s)
            self.after(at_s - self.time.now_s, arrive)

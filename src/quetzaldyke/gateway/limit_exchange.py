"""Connects the limits and permits of this entry with those of its peers."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.endpoint_limits import EndpointLimits, LimitAnswer
from quetzaldyke.gateway.endpoint_permits import EndpointPermits
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.limit_coordinator import LimitCoordinator
from quetzaldyke.gateway.limit_messages import (
    EndpointPauses,
    LimitAnswers,
    LimitMessage,
    LimitUpdate,
    PermitAsk,
    PermitAsks,
    PermitGrant,
    PermitOffer,
    PermitReturn,
)
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.recent_numbers import RecentNumbers
from quetzaldyke.parts.timers import boot_time_s
from quetzaldyke.process.metrics import Metrics

SERIAL_START_BITS: Final = 48


@dataclass(slots=True)
class LimitExchange:
    """Delivers messages about limits to this entry and to its peers."""

    own_id: str
    coordinator: LimitCoordinator
    permits: EndpointPermits
    # Sends a message to a peer.
    send_to_peer: Callable[[str, LimitMessage], None]
    # Returns the time by the clock of the endpoint table.
    table_now: Callable[[], float] = boot_time_s
    # When the pauses end that the other entries were not notified of yet, by
    # lifetime of the endpoint.
    paused_until_s: dict[str, float] = field(default_factory=dict)
    pauses_sent_s: float = -math.inf
    recent: RecentNumbers = field(default_factory=RecentNumbers)

    @classmethod
    def from_parts(
        cls,
        own_id: str,
        table: EndpointTable,
        loads: LoadTable,
        metrics: Metrics,
        generator: random.Random,
        send_to_peer: Callable[[str, LimitMessage], None],
        now: Callable[[], float] = boot_time_s,
    ) -> LimitExchange:
        """Build the limits of an entry, and connect their components.

        `now` must go on while the machine is suspended.
        """

        def busy_entries() -> list[str]:
            own = [own_id] if loads.report() else []
            peers = loads.peers.items()
            return own + [peer for peer, report in peers if report.counts]

        limits = EndpointLimits(
            table,
            now,
            log_event,
            lambda event: metrics.count('endpoint_limits_total', event=event),
        )
        permits = EndpointPermits(
            limits,
            now,
            generator,
            count=lambda event, number: metrics.count(
                'permits_total', number, event=event
            ),
        )
        coordinator = LimitCoordinator(
            own_id, limits, now, generator, busy_entries
        )
        # An entry that starts again under its id must not repeat old numbers.
        coordinator.serials = itertools.count(
            generator.getrandbits(SERIAL_START_BITS)
        )
        metrics.gauge('limited_endpoints', lambda: len(limits.known))
        metrics.gauge(
            'coordinated_limits', lambda: len(coordinator.coordinated)
        )
        exchange = cls(own_id, coordinator, permits, send_to_peer)
        exchange.connect()
        return exchange

    def connect(self) -> None:
        """Route the messages of the coordinator and of the permits."""
        self.coordinator.send = self.send
        self.permits.send_asks = self.send_asks
        self.permits.limits.on_answer = self.report_answer
        self.permits.limits.on_pause = self.note_pause

    def attach(self, dispatcher: Dispatcher) -> None:
        """Let a dispatcher use the permits."""
        dispatcher.permits = self.permits
        self.table_now = dispatcher.clock.now
        self.permits.on_denied = dispatcher.refuse_unservable

    def send(self, receiver: str, message: LimitMessage) -> None:
        """Send a message to a peer, or apply it if it is for this entry."""
        if receiver == self.own_id:
            self.apply(message)
        else:
            self.send_to_peer(receiver, message)

    def apply(self, message: LimitMessage) -> None:
        """Apply a message of a peer or of this entry."""
        if isinstance(message, PermitGrant | PermitReturn):
            if not self.recent.add(message.sender, message.serial):
                self.permits.count('repeated', 1)
                return
        match message:
            case LimitAnswers():
                self.coordinator.on_answers(message)
            case LimitUpdate():
                self.coordinator.on_update(message)
            case PermitAsks():
                self.coordinator.on_asks(message)
            case PermitGrant():
                self.permits.apply(message)
            case PermitOffer(_, key):
                self.permits.ask_trial(key)
            case PermitReturn():
                self.coordinator.on_return(message)
            case EndpointPauses():
                self.apply_pauses(message)

    def apply_pauses(self, message: EndpointPauses) -> None:
        """Pause the endpoints that have asked another entry for it."""
        limits = self.permits.limits
        for key, pause_s in message.pauses_s.items():
            endpoint = limits.find(key)
            if endpoint is not None:
                now_s = self.table_now()
                limits.table.pause(endpoint.endpoint_id, pause_s, now_s)

    def note_pause(self, key: str, pause_s: float) -> None:
        """Keep a pause that an endpoint asks for until the next message."""
        self.paused_until_s[key] = self.table_now() + pause_s

    def send_pauses(self) -> None:
        """Send the new pauses to all other entries, at intervals.

        One message has all of them: in an overload all endpoints may ask for
        pauses, and each entry may be the first to hear of some.
        """
        now_s = self.table_now()
        interval_s = self.coordinator.update_pause_s
        if now_s - self.pauses_sent_s < interval_s or not self.paused_until_s:
            return
        pauses_s = {
            key: until_s - now_s
            for key, until_s in self.paused_until_s.items()
            if until_s > now_s
        }
        self.paused_until_s.clear()
        self.pauses_sent_s = now_s
        if pauses_s:
            message = EndpointPauses(self.own_id, pauses_s)
            self.coordinator.send_to_peers(message)

    def report_answer(self, answer: LimitAnswer) -> None:
        """Report a response of a limited endpoint to its coordinator."""
        receiver = self.coordinator.choice.coordinator(answer.key)
        if receiver is not None:
            self.send(receiver, LimitAnswers(self.own_id, (answer,)))

    def send_asks(self, asks: list[PermitAsk]) -> None:
        """Send asks to the coordinators of their endpoints."""
        rows = [
            (self.coordinator.choice.coordinator(ask.key) or '', ask)
            for ask in asks
        ]
        rows.sort(key=lambda row: row[0])
        for receiver, group in itertools.groupby(rows, key=lambda row: row[0]):
            if receiver:
                chosen = tuple(ask for _, ask in group)
                self.send(receiver, PermitAsks(self.own_id, chosen))

    def set_members(
        self, registered: Iterable[str], alive: Iterable[str]
    ) -> None:
        """Update the members, and those that were heard lately.

        This entry counts as heard once it is registered.
        """
        self.coordinator.set_members(registered, alive)

    async def tick(self) -> None:
        """Send what is due, and run the work of the coordinator."""
        self.give_back()
        self.send_pauses()
        self.coordinator.tick()

    def give_back(self) -> None:
        """Give expired permits back to the coordinators."""
        by_receiver: dict[str, dict[str, int]] = {}
        for key, permits in self.permits.give_back().items():
            receiver = self.coordinator.choice.coordinator(key)
            if receiver is not None:
                by_receiver.setdefault(receiver, {})[key] = permits
        for receiver, returned in by_receiver.items():
            serial = next(self.coordinator.serials)
            self.send(receiver, PermitReturn(self.own_id, returned, serial))

    def clean_up(self) -> None:
        """Drop what is kept of endpoints that have gone, and log the use."""
        self.permits.limits.drop_absent()
        self.permits.drop_absent()
        heard = self.coordinator.heard_peers | {self.own_id}
        self.recent.keep_senders(heard)
        self.permits.limits.log_usage()

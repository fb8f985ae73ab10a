"""Request-reply calls for load orders, from a leader to a sidecar."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.messages import (
    Message,
    Order,
    OrderNonce,
    OrderPrepare,
    OrderResult,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.version.configuration import Pool

NONCE_TIMEOUT_S: Final = 2.0
# A load takes minutes; without a result in this time it is ordered again.
RESULT_TIMEOUT_S: Final = 600.0
CLOSED_POLL_S: Final = 1.0


@dataclass(slots=True)
class OrderCalls:
    """Order calls of one entry that await a reply."""

    fleet: Fleet
    counter: itertools.count[int] = field(default_factory=itertools.count)
    reply_events: dict[str, anyio.Event] = field(default_factory=dict)
    nonces: dict[str, str] = field(default_factory=dict)
    results: dict[str, OrderResult] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Subscribe to nonces and order results."""
        self.fleet.subscribe(OrderNonce, self.on_reply)
        self.fleet.subscribe(OrderResult, self.on_reply)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Pass a reply to the call that awaits it; drop it if none does."""
        match reply:
            case OrderNonce(order_id=order_id, nonce=nonce):
                self.nonces[order_id] = nonce
            case OrderResult(order_id=order_id):
                self.results[order_id] = reply
            case _:
                return
        event = self.reply_events.get(order_id)
        if event is None:
            self.forget(order_id)
        else:
            event.set()

    def new_order_id(self) -> str:
        """Return an order id that is unique within this process."""
        return f'{self.fleet.own.instance}-{next(self.counter)}'

    def forget(self, order_id: str) -> None:
        """Discard the state of an order."""
        self.reply_events.pop(order_id, None)
        self.nonces.pop(order_id, None)
        self.results.pop(order_id, None)

    async def request_nonce(self, session: PeerSession, order_id: str) -> str:
        """Request a nonce for an order; empty if none arrives in time."""
        event = anyio.Event()
        self.reply_events[order_id] = event
        session.send(OrderPrepare(order_id))
        with anyio.move_on_after(NONCE_TIMEOUT_S):
            await event.wait()
        return self.nonces.get(order_id, '')

    async def send_order(
        self,
        session: PeerSession,
        order: Order,
    ) -> OrderResult | None:
        """Send an order; return its result, or None if none arrives.

        Stops waiting when the session closes or after RESULT_TIMEOUT_S.
        """
        event = anyio.Event()
        self.reply_events[order.order_id] = event
        session.send(order)
        with anyio.move_on_after(RESULT_TIMEOUT_S):
            while not event.is_set() and not session.closed:
                with anyio.move_on_after(CLOSED_POLL_S):
                    await event.wait()
        return self.results.get(order.order_id)


def load_order(order_id: str, nonce: str, token: int, pool: Pool) -> Order:
    """Return the order to load a pool's model, version and adapter."""
    return Order(
        order_id,
        nonce,
        token,
        'load',
        pool.model,
        pool.version,
        pool.adapter,
        '',
    )

"""Question and answer between the giver of orders and a sidecar."""

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
# A load takes minutes; a giver that hears nothing orders it again.
RESULT_TIMEOUT_S: Final = 600.0
CLOSED_POLL_S: Final = 1.0


@dataclass(slots=True)
class OrderCalls:
    """Orders of one entry that wait for an answer."""

    fleet: Fleet
    counter: itertools.count[int] = field(default_factory=itertools.count)
    reply_events: dict[str, anyio.Event] = field(default_factory=dict)
    nonces: dict[str, str] = field(default_factory=dict)
    results: dict[str, OrderResult] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Take part in the fleet's messages."""
        self.fleet.subscribe(OrderNonce, self.on_reply)
        self.fleet.subscribe(OrderResult, self.on_reply)

    async def on_reply(self, session: PeerSession, reply: Message) -> None:
        """Hand an answer to the order that waits for it."""
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
        """Return an id for an order of this process."""
        return f'{self.fleet.own.instance}-{next(self.counter)}'

    def forget(self, order_id: str) -> None:
        """Drop what is kept of an order."""
        self.reply_events.pop(order_id, None)
        self.nonces.pop(order_id, None)
        self.results.pop(order_id, None)

    async def request_nonce(self, session: PeerSession, order_id: str) -> str:
        """Return the sidecar's nonce, or nothing."""
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
        """Send an order and wait for its outcome; None when unknown."""
        event = anyio.Event()
        self.reply_events[order.order_id] = event
        session.send(order)
        with anyio.move_on_after(RESULT_TIMEOUT_S):
            while not event.is_set() and not session.closed:
                with anyio.move_on_after(CLOSED_POLL_S):
                    await event.wait()
        return self.results.get(order.order_id)


def load_order(order_id: str, nonce: str, token: int, pool: Pool) -> Order:
    """Return the order to load what a pool serves."""
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

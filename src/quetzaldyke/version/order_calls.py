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

NONCE_WAIT_S: Final = 2.0
# A load takes minutes; a giver that hears nothing orders it again.
RESULT_WAIT_S: Final = 600.0
CLOSED_POLL_S: Final = 1.0


@dataclass(slots=True)
class OrderCalls:
    """Orders of one entry that wait for an answer."""

    fleet: Fleet
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    answers: dict[str, anyio.Event] = field(default_factory=dict)
    nonces: dict[str, str] = field(default_factory=dict)
    results: dict[str, OrderResult] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Take part in the fleet's messages."""
        self.fleet.subscribe(OrderNonce, self.on_answer)
        self.fleet.subscribe(OrderResult, self.on_answer)

    async def on_answer(self, session: PeerSession, answer: Message) -> None:
        """Hand an answer to the order that waits for it."""
        match answer:
            case OrderNonce(order_id=order_id, nonce=nonce):
                self.nonces[order_id] = nonce
            case OrderResult(order_id=order_id):
                self.results[order_id] = answer
            case _:
                return
        event = self.answers.get(order_id)
        if event is None:
            self.forget(order_id)
        else:
            event.set()

    def new_id(self) -> str:
        """Return an id for an order of this process."""
        return f'{self.fleet.own.instance}-{next(self.numbers)}'

    def forget(self, order_id: str) -> None:
        """Drop what is kept of an order."""
        self.answers.pop(order_id, None)
        self.nonces.pop(order_id, None)
        self.results.pop(order_id, None)

    async def nonce(self, session: PeerSession, order_id: str) -> str:
        """Return the sidecar's nonce, or nothing."""
        event = anyio.Event()
        self.answers[order_id] = event
        session.send(OrderPrepare(order_id))
        with anyio.move_on_after(NONCE_WAIT_S):
            await event.wait()
        return self.nonces.get(order_id, '')

    async def send(
        self,
        session: PeerSession,
        order: Order,
    ) -> OrderResult | None:
        """Send an order and wait for its outcome; None when unknown."""
        event = anyio.Event()
        self.answers[order.order_id] = event
        session.send(order)
        with anyio.move_on_after(RESULT_WAIT_S):
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

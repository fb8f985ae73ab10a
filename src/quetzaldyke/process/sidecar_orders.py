"""Orders to the engine: nonce, fencing and one order at a time."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from result import Err

from quetzaldyke.connection.engine_client import EngineClient
from quetzaldyke.connection.messages import (
    Order,
    OrderNonce,
    OrderPrepare,
    OrderResult,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.fencing import FencingGate
from quetzaldyke.process.endpoint_watch import EndpointWatch
from quetzaldyke.process.logs import LogEvent


@dataclass(slots=True)
class Orders:
    """Orders at one endpoint."""

    gate: FencingGate
    watch: EndpointWatch
    log_event: LogEvent
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    def prepare(self, session: PeerSession, message: OrderPrepare) -> None:
        """Answer with a nonce."""
        nonce = self.gate.issue_nonce(message.order_id)
        session.send(OrderNonce(message.order_id, nonce))

    def admit(self, session: PeerSession, order: Order) -> bool:
        """Check an order at its arrival; tells the giver of a refusal."""
        outcome = self.gate.admit(
            order.order_id,
            order.nonce,
            order.fencing_token,
        )
        if isinstance(outcome, Err):
            self.reply(session, order, outcome.err_value)
            return False
        return True

    async def carry_out(self, session: PeerSession, order: Order) -> None:
        """Hand an admitted order to the engine and report its outcome."""
        async with self.lock:
            refusal = await self.give(order)
            if not refusal:
                await self.watch.read_state()
                self.watch.ordered.set()
        self.reply(session, order, refusal)

    async def give(self, order: Order) -> str:
        """Give the order; return why it was not carried out."""
        client = self.watch.client
        if not isinstance(client, EngineClient):
            return 'the endpoint takes no orders'
        # A newer order may have come while this one waited for its turn.
        if self.gate.stale(order.fencing_token):
            return 'token is stale'
        outcome = await client.give_order(order)
        return outcome.err_value.reason if isinstance(outcome, Err) else ''

    def reply(self, session: PeerSession, order: Order, refusal: str) -> None:
        """Send the outcome of an order."""
        self.log_event(
            'order_done',
            order_id=order.order_id,
            action=order.action,
            model=order.model,
            version=order.version,
            fencing_token=order.fencing_token,
            refusal=refusal,
        )
        session.send(OrderResult(order.order_id, not refusal, refusal))

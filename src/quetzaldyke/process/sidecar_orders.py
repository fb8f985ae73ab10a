"""Executes orders to the engine: nonces, fencing, one order at a time."""

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
from quetzaldyke.process.endpoint_monitor import EndpointMonitor
from quetzaldyke.process.logs import LogEvent


@dataclass(slots=True)
class OrderExecutor:
    """Checks and executes the orders for one endpoint."""

    gate: FencingGate
    monitor: EndpointMonitor
    log_event: LogEvent
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    def prepare(self, session: PeerSession, message: OrderPrepare) -> None:
        """Reply with the nonce that the order must carry."""
        nonce = self.gate.issue_nonce(message.order_id)
        session.send(OrderNonce(message.order_id, nonce))

    def admit(self, session: PeerSession, order: Order) -> bool:
        """Check an order on arrival; reply and return False if refused."""
        outcome = self.gate.admit(
            order.order_id,
            order.nonce,
            order.fencing_token,
        )
        if isinstance(outcome, Err):
            self.reply(session, order, outcome.err_value)
            return False
        return True

    async def execute(self, session: PeerSession, order: Order) -> None:
        """Execute an admitted order and send its outcome.

        After a success, the engine's state is read again and the monitor is
        woken.
        """
        async with self.lock:
            refusal = await self.send_to_engine(order)
            if not refusal:
                await self.monitor.read_engine_state()
                self.monitor.order_executed.set()
        self.reply(session, order, refusal)

    async def send_to_engine(self, order: Order) -> str:
        """Send the order to the engine; return an error or an empty string."""
        client = self.monitor.client
        if not isinstance(client, EngineClient):
            return 'the endpoint takes no orders'
        # A newer order may have been admitted while this one awaited the lock.
        if self.gate.stale(order.fencing_token):
            return 'token is stale'
        outcome = await client.execute_order(order)
        return outcome.err_value.reason if isinstance(outcome, Err) else ''

    def reply(self, session: PeerSession, order: Order, refusal: str) -> None:
        """Log the outcome of an order and send it."""
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

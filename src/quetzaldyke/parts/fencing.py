"""Fencing of orders by a single-use nonce and a monotonic token.

A token alone is not enough: a process that was restarted has lost the highest
token, and some endpoints ignore it. The sender of an order therefore requests
a nonce, then reads its epoch, then sends the order with both. An order that is
delayed beyond the lifetime of its nonce, or that was meant for a former
process of the receiver, has no valid nonce.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Literal

from result import Err, Ok, Result

from quetzaldyke.parts.timers import Clock

NONCE_TTL_S: Final = 2.0
NONCE_BYTES: Final = 16

Refusal = Literal['nonce not valid', 'token is stale']


def random_nonce() -> str:
    """Return an unpredictable nonce."""
    return secrets.token_hex(NONCE_BYTES)


@dataclass(slots=True)
class FencingGate:
    """Decides whether a received order is executed.

    >>> gate = FencingGate(Clock(read=lambda: 0.0))
    >>> gate.admit('order-1', gate.issue_nonce('order-1'), token=7).is_ok()
    True
    >>> gate.admit('order-2', gate.issue_nonce('order-2'), token=6)
    Err('token is stale')
    >>> gate.admit('order-3', 'old-nonce', token=8)
    Err('nonce not valid')
    """

    clock: Clock
    highest: int = 0
    make_nonce: Callable[[], str] = random_nonce
    # Order id and expiry time by nonce.
    nonces: dict[str, tuple[str, float]] = field(default_factory=dict)

    def issue_nonce(self, order_id: str) -> str:
        """Return a nonce that is valid for one order for `NONCE_TTL_S`."""
        self.drop_expired()
        nonce = self.make_nonce()
        self.nonces[nonce] = (order_id, self.clock.now() + NONCE_TTL_S)
        return nonce

    def admit(
        self,
        order_id: str,
        nonce: str,
        token: int,
    ) -> Result[None, Refusal]:
        """Check the nonce and the token of an order.

        The nonce is used up even if the order is refused.
        """
        self.drop_expired()
        issued_for, _ = self.nonces.pop(nonce, ('', 0))
        if issued_for != order_id or not nonce:
            return Err('nonce not valid')
        if self.stale(token):
            return Err('token is stale')
        self.highest = token
        return Ok(None)

    def stale(self, token: int) -> bool:
        """Tell whether a higher token has been observed."""
        return token < self.highest

    def observe_token(self, token: int) -> None:
        """Raise the highest token to one that the endpoint has observed."""
        self.highest = max(self.highest, token)

    def drop_expired(self) -> None:
        """Drop the expired nonces."""
        now_s = self.clock.now()
        for nonce, (_, expires_s) in list(self.nonces.items()):
            if expires_s <= now_s:
                self.nonces.pop(nonce)

    def clear(self) -> None:
        """Drop every nonce; called after a pause of the process."""
        self.nonces.clear()

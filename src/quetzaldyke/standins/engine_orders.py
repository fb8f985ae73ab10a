"""Applies orders to the simulated engine: models, adapters and roles."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

import anyio

ACTIONS: Final = frozenset(
    ('load', 'unload', 'load_adapter', 'unload_adapter', 'set_role'),
)


@dataclass(slots=True)
class OrderState:
    """The state set by orders, and the fencing tokens they carried."""

    model: str
    version: str
    check_tokens: bool
    load_model_s: float
    adapter: str = ''
    role: str = ''
    loading: bool = False
    highest_token: int = 0
    # Fencing token and action of each applied order, oldest first.
    applied: list[tuple[int, str]] = field(default_factory=list)

    def accepts(self, token: int) -> bool:
        """Return whether an order with this fencing token is accepted."""
        return not self.check_tokens or token >= self.highest_token

    async def apply(self, order: dict[str, Any]) -> None:
        """Apply an order; loading a model takes `load_model_s`."""
        token = int(order.get('fencing_token', 0))
        action = order['action']
        self.highest_token = max(self.highest_token, token)
        self.applied.append((token, action))
        match action:
            case 'load':
                self.loading = True
                try:
                    await anyio.sleep(self.load_model_s)
                finally:
                    self.loading = False
                self.model = order.get('model') or self.model
                self.version = order.get('version') or self.version
                self.adapter = order.get('adapter') or self.adapter
            case 'unload':
                self.model = ''
                self.version = ''
            case 'load_adapter':
                self.adapter = order.get('adapter', '')
            case 'unload_adapter':
                self.adapter = ''
            case 'set_role':
                self.role = order.get('role', '')

    def as_dict(self) -> dict[str, Any]:
        """Return the state as the `/orders` route reports it."""
        return {
            'model': self.model,
            'version': self.version,
            'adapter': self.adapter,
            'role': self.role,
            'loading': self.loading,
            'highest_token': self.highest_token,
            'applied': len(self.applied),
        }

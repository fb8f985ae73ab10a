"""Decides which endpoints are draining, from their answers and the registry.

Load pattern: an endpoint that is about to stop states so in every answer, and
in the registry if it reaches the store. Without the store, or while the watch
is behind, only the answers show it.

Either source suffices: an endpoint drains if its registration or one answer
says so. A registration in state `ready` does not refute an answer, since it
may be older. A statement is about one lifetime of an endpoint and holds until
that lifetime ends. A later lifetime under the same id, or another endpoint at
the same address, starts without it.

The statement outlives the registration for some time: one that lapses in an
outage of the store may come back while the endpoint still drains.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Endpoint

# Far longer than an endpoint serves after its last registration.
RETENTION_S: Final = 600.0
# Statements about lifetimes that are not registered are kept up to this
# number: peers may send any.
MAX_UNREGISTERED: Final = 1_000


@dataclass(slots=True)
class DrainStatements:
    """The lifetimes of endpoints that have stated that they are draining."""

    # When each lifetime was registered last, or stated it if it never was.
    seen_s: dict[str, float] = field(default_factory=dict)

    def add(self, lifetime: str, now_s: float) -> bool:
        """Record a statement; return whether it is new."""
        if lifetime in self.seen_s:
            return False
        self.seen_s[lifetime] = now_s
        return True

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint drains by either source."""
        return endpoint.state == 'draining' or endpoint.lifetime in self.seen_s

    def drop_ended(self, registered: Container[str], now_s: float) -> None:
        """Drop lifetimes that have not been registered for a long time.

        `registered` are the lifetimes in the registry.
        """
        for lifetime in self.seen_s:
            if lifetime in registered:
                self.seen_s[lifetime] = now_s
        absent = sorted(
            (seen_s, lifetime)
            for lifetime, seen_s in self.seen_s.items()
            if lifetime not in registered
        )
        excess = max(0, len(absent) - MAX_UNREGISTERED)
        for position, (seen_s, lifetime) in enumerate(absent):
            if position < excess or now_s - seen_s > RETENTION_S:
                del self.seen_s[lifetime]

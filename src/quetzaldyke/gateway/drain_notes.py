"""Applies what answers and peers state about the draining of endpoints.

A statement is new once for each lifetime of an endpoint. Only then is it
logged, counted and sent to the peers, so that a flood of answers with it costs
a look-up each.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from result import Err

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.platform.draining import decode_draining

STATUS_MISDIRECTED: Final = 421
# Endpoints whose unreadable values are logged once each.
MAX_LOGGED_UNREADABLE: Final = 1_000


@dataclass(slots=True)
class DrainNotes:
    """Records statements about draining in the endpoint table."""

    table: EndpointTable
    now: Callable[[], float]
    log_event: Callable[..., None] = lambda name, **fields: None
    # Counts an event of the metric `endpoint_drains_total`.
    count: Callable[[str], None] = lambda event: None
    # Called with a lifetime that an answer has shown to drain.
    on_stated: Callable[[str], None] = lambda lifetime: None
    # Called after endpoints have become unusable.
    on_change: Callable[[], None] = lambda: None
    unreadable: set[str] = field(default_factory=set)

    def note_head(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Apply the head of an answer to a request that `endpoint` was sent.

        Any final answer counts, also a refusal or an error. One that was
        misdirected came from another endpoint and says nothing of this one.
        """
        stated = decode_draining(head.headers)
        if isinstance(stated, Err):
            self.note_unreadable(endpoint, stated.err_value)
        elif stated.ok_value and head.status == STATUS_MISDIRECTED:
            self.count('other_endpoint')
        elif stated.ok_value and self.add(endpoint.lifetime, 'answer'):
            self.on_stated(endpoint.lifetime)
            self.on_change()

    def add(self, lifetime: str, source: str) -> bool:
        """Record a statement; log and count it, and return True, if new."""
        if not self.table.note_draining(lifetime, self.now()):
            return False
        endpoint_id, _, _ = lifetime.rpartition('@')
        tracked = self.table.by_id.get(endpoint_id)
        self.count(source)
        self.log_event(
            'endpoint_draining',
            endpoint=endpoint_id,
            lifetime=lifetime,
            source=source,
            registered=tracked.endpoint.state if tracked else '',
        )
        return True

    def apply(self, lifetimes: Iterable[str]) -> None:
        """Apply the statements that a peer has sent."""
        added = [one for one in lifetimes if self.add(one, 'peer')]
        if added:
            self.on_change()

    def note_unreadable(self, endpoint: Endpoint, reason: str) -> None:
        """Count a value that can't be read; log it once for each lifetime."""
        self.count('unreadable')
        if endpoint.lifetime in self.unreadable:
            return
        if len(self.unreadable) >= MAX_LOGGED_UNREADABLE:
            self.unreadable.clear()
        self.unreadable.add(endpoint.lifetime)
        self.log_event(
            'drain_unreadable',
            endpoint=endpoint.endpoint_id,
            reason=reason,
        )

"""Applies the platform's endpoint list, and changes to it, to the table."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.guarded import call_guarded
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform import names
from quetzaldyke.platform.records import decode_endpoint


@dataclass(slots=True)
class EndpointFeed:
    """Updates the endpoint table from a watch on the endpoint records."""

    table: EndpointTable
    now: Callable[[], float]
    # Called after the table has been updated.
    on_change: Callable[[], None]
    listed: bool = False

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the table by a complete list, skipping unreadable records."""
        endpoints = []
        for record in snapshot.records:
            decoded = decode_endpoint(record.key, record.value)
            if isinstance(decoded, Err):
                self.drop(record.key, decoded.err_value)
            else:
                endpoints.append(decoded.ok_value)
        gone = self.table.replace_all(endpoints, self.now())
        self.listed = True
        log_event(
            'endpoints_listed',
            endpoints=len(endpoints),
            gone=','.join(gone),
            revision=snapshot.revision,
        )
        self.on_change()

    def on_changes(self, changes: list[WatchedChange], revision: int) -> None:
        """Apply changes of single registrations."""
        for change in changes:
            call_guarded(self.apply_change, change)
        self.on_change()

    def apply_change(self, change: WatchedChange) -> None:
        """Apply the change of one registration."""
        endpoint_id = change.key.removeprefix(names.ENDPOINT_PREFIX)
        if change.value is None:
            gone = self.table.remove(endpoint_id, self.now())
            state = 'gone' if gone else 'lapsed'
        else:
            state = self.put(change.key, change.value)
        if not state:
            return
        log_event(
            'endpoint_changed',
            endpoint=endpoint_id,
            state=state,
            revision=change.revision,
        )

    def put(self, key: str, raw: bytes) -> str:
        """Apply one registration; return its state, empty if unreadable."""
        decoded = decode_endpoint(key, raw)
        if isinstance(decoded, Err):
            self.drop(key, decoded.err_value)
            return ''
        self.table.put(decoded.ok_value)
        return decoded.ok_value.state

    def drop(self, key: str, reason: str) -> None:
        """Stop using an endpoint whose registration can't be read.

        It gets no grace period, not even after an outage: its key is there,
        but names no endpoint. Requests that run there go on, and the next
        registration that the endpoint writes brings it back.
        """
        endpoint_id = key.removeprefix(names.ENDPOINT_PREFIX)
        log_event(
            'endpoint_unreadable',
            endpoint=ascii(endpoint_id)[1:-1],
            reason=reason,
            dropped=self.table.drop(endpoint_id),
        )

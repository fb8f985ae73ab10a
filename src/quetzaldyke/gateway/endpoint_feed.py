"""Applies the platform's endpoint list, and changes to it, to the table."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from quetzaldyke.gateway.endpoints import EndpointTable
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
                log_event(
                    'endpoint_unreadable',
                    key=record.key,
                    reason=decoded.err_value,
                )
                continue
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
            endpoint_id = change.key.removeprefix(names.ENDPOINT_PREFIX)
            if change.value is None:
                gone = self.table.remove(endpoint_id, self.now())
                state = 'gone' if gone else 'lapsed'
            else:
                state = self.put(change.key, change.value)
            log_event(
                'endpoint_changed',
                endpoint=endpoint_id,
                state=state,
                revision=change.revision,
            )
        self.on_change()

    def put(self, key: str, raw: bytes) -> str:
        """Apply one registration; return its state for the log."""
        decoded = decode_endpoint(key, raw)
        if isinstance(decoded, Err):
            return f'unreadable {decoded.err_value}'
        self.table.put(decoded.ok_value)
        return decoded.ok_value.state

"""Implements the calls of the simulated key-value service.

Uses the JSON mapping of the etcd gateway: bytes are base64, integers are
strings, and responses omit zero fields.
"""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

from quetzaldyke.standins.kv_state import KeyEvent, KeyValue, KvState

MAX_VALUE_BYTES: Final = 1_000_000
WRITE_KINDS: Final = ('put', 'delete', 'lease_grant', 'lease_revoke')

Body = dict[str, Any]


@dataclass(slots=True)
class KvCounts:
    """Counters of calls by kind; a watch counts once, when it opens."""

    calls: Counter[str] = field(default_factory=Counter)
    conflicts: int = 0
    open_watches: int = 0

    @property
    def writes(self) -> int:
        """Return the number of write calls."""
        return sum(self.calls[kind] for kind in WRITE_KINDS)

    @property
    def reads(self) -> int:
        """Return the number of read calls, watches included."""
        return self.calls['range'] + self.calls['watch']

    def as_dict(self) -> dict[str, Any]:
        """Return the counters as the `/counts` route reports them."""
        return {
            'calls': dict(self.calls),
            'writes': self.writes,
            'reads': self.reads,
            'conflicts': self.conflicts,
            'open_watches': self.open_watches,
        }


class KvCallError(Exception):
    """A call fails with an error response of the protocol."""

    def __init__(self, status: int, code: int, message: str) -> None:
        """Store the HTTP status and the gRPC code."""
        super().__init__(message)
        self.status = status
        self.code = code


def base64_text(raw: bytes) -> str:
    """Return bytes as base64 text."""
    return base64.b64encode(raw).decode()


def bytes_field(body: Body, name: str) -> bytes:
    """Return a base64 field of a body as bytes; empty if missing."""
    return base64.b64decode(body.get(name, ''))


def int_field(body: Body, name: str) -> int:
    """Return an integer field, given as string or number; 0 if missing."""
    return int(body.get(name, 0))


def kv_body(kv: KeyValue) -> Body:
    """Return a key-value pair as JSON, without zero fields."""
    fields: Body = {
        'key': base64_text(kv.key),
        'create_revision': str(kv.create_revision),
        'mod_revision': str(kv.mod_revision),
        'version': str(kv.version),
        'value': base64_text(kv.value),
        'lease': str(kv.lease),
    }
    return {
        name: text for name, text in fields.items() if text not in {'0', ''}
    }


def event_body(event: KeyEvent) -> Body:
    """Return an event as JSON; the default type PUT is omitted."""
    body: Body = {'kv': kv_body(event.kv)}
    if event.deleted:
        body['type'] = 'DELETE'
    return body


def header(state: KvState) -> Body:
    """Return the header that every response carries."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(state.revision),
    }


def do_range(state: KvState, counts: KvCounts, body: Body) -> Body:
    """Return the keys of a range, or one key."""
    counts.calls['range'] += 1
    found = state.select(
        bytes_field(body, 'key'), bytes_field(body, 'range_end')
    )
    return {
        'header': header(state),
        'kvs': [kv_body(one) for one in found],
        'count': str(len(found)),
    }


def do_txn(state: KvState, counts: KvCounts, body: Body) -> Body:
    """Apply one put or delete if the compared revision matches.

    Raises `KvCallError` for an unsupported compare or an invalid put.
    """
    compare = body['compare'][0]
    operation = body['success'][0]
    kind = 'put' if 'request_put' in operation else 'delete'
    counts.calls[kind] += 1
    if compare.get('target') != 'MOD' or compare.get('result') != 'EQUAL':
        raise KvCallError(400, 3, 'only MOD EQUAL is supported')
    revision = state.mod_revision(bytes_field(compare, 'key'))
    put = operation.get('request_put')
    if put is not None:
        check_put(state, put)
    if revision != int_field(compare, 'mod_revision'):
        counts.conflicts += 1
        return {'header': header(state)}
    if put is not None:
        state.put(
            bytes_field(put, 'key'),
            bytes_field(put, 'value'),
            int_field(put, 'lease'),
        )
    else:
        state.delete(bytes_field(operation['request_delete_range'], 'key'))
    return {'header': header(state), 'succeeded': True}


def check_put(state: KvState, put: Body) -> None:
    """Raise `KvCallError` if the value is too large or the lease unknown."""
    if len(bytes_field(put, 'value')) > MAX_VALUE_BYTES:
        raise KvCallError(400, 3, 'etcdserver: request is too large')
    lease_id = int_field(put, 'lease')
    if lease_id and lease_id not in state.leases:
        raise KvCallError(404, 5, 'etcdserver: requested lease not found')


def do_grant(state: KvState, counts: KvCounts, body: Body) -> Body:
    """Grant a lease."""
    counts.calls['lease_grant'] += 1
    lease = state.grant(int_field(body, 'TTL'))
    return {
        'header': header(state),
        'ID': str(lease.lease_id),
        'TTL': str(lease.ttl_s),
    }


def do_keep_alive(state: KvState, counts: KvCounts, body: Body) -> Body:
    """Renew a lease; the response omits the TTL if it has expired."""
    counts.calls['lease_keepalive'] += 1
    ttl_s = state.keep_alive(int_field(body, 'ID'))
    result: Body = {'header': header(state), 'ID': str(body['ID'])}
    if ttl_s:
        result['TTL'] = str(ttl_s)
    return {'result': result}


def do_revoke(state: KvState, counts: KvCounts, body: Body) -> Body:
    """Revoke a lease; raise `KvCallError` if it is unknown."""
    counts.calls['lease_revoke'] += 1
    if not state.revoke(int_field(body, 'ID')):
        raise KvCallError(404, 5, 'etcdserver: requested lease not found')
    return {'header': header(state)}


CALLS: Final = {
    '/v3/kv/range': do_range,
    '/v3/kv/txn': do_txn,
    '/v3/lease/grant': do_grant,
    '/v3/lease/keepalive': do_keep_alive,
    '/v3/lease/revoke': do_revoke,
}

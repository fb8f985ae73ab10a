"""Key-value store client for the JSON gateway of etcd v3.

Errors tell whether a write may have been applied. A call that got no
connection is `unavailable`; a timeout or a broken connection after the
request was sent is `unknown`.
"""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, TypeVar

import httpcore
from result import Err, Ok, Result

from quetzaldyke.connection.http_client import (
    NOT_SENT_ERRORS,
    TRANSPORT_ERRORS,
    HttpClient,
)
from quetzaldyke.parts.kv import (
    MAX_VALUE_BYTES,
    Change,
    KvError,
    Record,
)

CALL_TIMEOUT_S: Final = 2.0
# Further concurrent calls are queued until a connection is free.
MAX_CONNECTIONS: Final = 16
MAX_WATCHES: Final = 16
OK_STATUS: Final = 200
NOT_FOUND_STATUS: Final = 404
BAD_REQUEST_STATUS: Final = 400
MAX_BYTE: Final = 255
MAX_REASON_CHARS: Final = 200
# Raised for content of another form.
MALFORMED_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
)
# End a watch, after which the caller reads the keys again.
WATCH_ERRORS: Final = (*TRANSPORT_ERRORS, *MALFORMED_ERRORS)
T = TypeVar('T')
Body = dict[str, Any]


def encode_base64(raw: bytes) -> str:
    """Return bytes in the base64 form that the gateway expects.

    >>> encode_base64(b'claims/1')
    'Y2xhaW1zLzE='
    """
    return base64.b64encode(raw).decode()


def decode_field(body: Body, name: str) -> bytes:
    """Return a decoded bytes field; the gateway omits empty ones."""
    return base64.b64decode(body.get(name, ''))


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive end of the range of keys with a prefix.

    >>> prefix_end('jobs/')
    b'jobs0'
    >>> prefix_end('')
    b'\\x00'
    """
    raw = bytearray(prefix.encode())
    while raw:
        if raw[-1] < MAX_BYTE:
            raw[-1] += 1
            return bytes(raw)
        raw.pop()
    return b'\0'


def decode(body: Body, parse: Callable[[Body], T]) -> Result[T, KvError]:
    """Return what a response says; `unknown` if it is malformed."""
    try:
        return Ok(parse(body))
    except MALFORMED_ERRORS as exc:
        reason = f'malformed response: {exc!r}'
        return Err(KvError('unknown', reason[:MAX_REASON_CHARS]))


def parse_records(body: Body) -> list[Record]:
    """Return the records of a range."""
    return [parse_record(one) for one in body.get('kvs') or ()]


def parse_first(body: Body) -> Record | None:
    """Return the first record of a range, or None if it is empty."""
    return next(iter(parse_records(body)), None)


def parse_record(kv: Body) -> Record:
    """Return the record of a key-value pair in a response."""
    return Record(
        decode_field(kv, 'key').decode(),
        decode_field(kv, 'value'),
        int(kv['mod_revision']),
    )


@dataclass(slots=True)
class HttpKeyValueStore:
    """`KeyValueStore` over HTTP; an async context manager."""

    address: str
    calls: HttpClient
    # A watch occupies its connection, so watches have a client of their own.
    watches: HttpClient
    timeout_s: float = CALL_TIMEOUT_S

    @classmethod
    def from_address(
        cls,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpKeyValueStore:
        """Return a store that connects on its first call."""
        return cls(
            address,
            HttpClient(address, MAX_CONNECTIONS),
            HttpClient(address, MAX_WATCHES),
            timeout_s,
        )

    async def __aenter__(self) -> HttpKeyValueStore:
        """Return the store itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.calls.aclose()
        await self.watches.aclose()

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Return the record of a key, or None if it does not exist."""
        response_body = await self.call(
            'kv/range', {'key': encode_base64(key.encode())}
        )
        if isinstance(response_body, Err):
            return response_body
        return decode(response_body.ok_value, parse_first)

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Return the records of all keys with the prefix."""
        response_body = await self.call('kv/range', range_body(prefix))
        if isinstance(response_body, Err):
            return response_body
        return decode(response_body.ok_value, parse_records)

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write a key if it has the given revision; return the new one.

        Revision 0 means that the key must not exist. Fails with `conflict`
        for another revision and `too_large` for a value over the limit.
        """
        if len(value) > MAX_VALUE_BYTES:
            return Err(KvError('too_large', f'{key}: {len(value)} bytes'))
        put: Body = {
            'key': encode_base64(key.encode()),
            'value': encode_base64(value),
        }
        if lease_id:
            put['lease'] = str(lease_id)
        return await self.transact(key, revision, {'request_put': put})

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete a key if it has the given revision, else `conflict`."""
        delete = {'request_delete_range': {'key': encode_base64(key.encode())}}
        response_body = await self.transact(key, revision, delete)
        return response_body.map(lambda _revision: None)

    async def transact(
        self,
        key: str,
        revision: int,
        operation: Body,
    ) -> Result[int, KvError]:
        """Run one operation if the key has the given revision.

        Returns the revision of the store, or fails with `conflict`.
        """
        compare = {
            'key': encode_base64(key.encode()),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        body = {'compare': [compare], 'success': [operation], 'failure': []}
        response_body = await self.call('kv/txn', body)
        if isinstance(response_body, Err):
            return response_body
        if not response_body.ok_value.get('succeeded', False):
            return Err(KvError('conflict', f'{key}: not at {revision}'))
        return decode(
            response_body.ok_value,
            lambda answer: int(answer['header']['revision']),
        )

    async def grant_lease(self, ttl_s: int) -> Result[int, KvError]:
        """Create a lease and return its id."""
        response_body = await self.call(
            'lease/grant', {'TTL': str(ttl_s), 'ID': '0'}
        )
        return response_body.and_then(
            lambda body: decode(body, lambda answer: int(answer['ID'])),
        )

    async def keep_alive(self, lease_id: int) -> Result[bool, KvError]:
        """Renew a lease; returns False if it has expired."""
        response_body = await self.call(
            'lease/keepalive', {'ID': str(lease_id)}
        )
        return response_body.and_then(
            lambda body: decode(
                body,
                lambda answer: int(answer.get('result', {}).get('TTL', 0)) > 0,
            ),
        )

    async def revoke(self, lease_id: int) -> Result[None, KvError]:
        """Revoke a lease, which deletes its keys; it may have expired."""
        response_body = await self.call('lease/revoke', {'ID': str(lease_id)})
        if (
            isinstance(response_body, Err)
            and response_body.err_value.kind == 'conflict'
        ):
            return Ok(None)
        return response_body.map(lambda _body: None)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
    ) -> AsyncIterator[Change]:
        """Yield changes after a revision until the connection breaks.

        Also ends at a malformed line, or if requested changes were compacted.
        The caller then reads the keys again and starts a new watch from that
        revision.
        """
        create = {
            **range_body(prefix),
            'start_revision': str(after_revision + 1),
        }
        content = json.dumps({'create_request': create}).encode()
        try:
            async with self.watches.stream(
                'POST',
                '/v3/watch',
                content,
                self.timeout_s,
            ) as response:
                async for line in iter_lines(response):
                    result = json.loads(line).get('result', {})
                    if result.get('canceled', False):
                        return
                    for event in result.get('events') or ():
                        yield parse_change(event)
        except WATCH_ERRORS:
            return

    async def call(self, path: str, body: Body) -> Result[Body, KvError]:
        """Post a call; the error tells whether it may have been applied."""
        try:
            response = await self.calls.request(
                'POST',
                f'/v3/{path}',
                json.dumps(body).encode(),
                self.timeout_s,
            )
        except NOT_SENT_ERRORS as exc:
            return Err(KvError('unavailable', repr(exc)))
        except TRANSPORT_ERRORS as exc:
            return Err(KvError('unknown', repr(exc)))
        return parse_response(response)


def range_body(prefix: str) -> Body:
    """Return the request fields that select all keys with a prefix."""
    start = prefix.encode() or b'\0'
    return {
        'key': encode_base64(start),
        'range_end': encode_base64(prefix_end(prefix)),
    }


def parse_change(event: Body) -> Change:
    """Return the change of a watch event."""
    return Change(parse_record(event['kv']), event.get('type') == 'DELETE')


def parse_response(response: httpcore.Response) -> Result[Body, KvError]:
    """Return the body of a response, or the error that its status means.

    Only statuses that the service returns before it applies anything prove
    that nothing was written; any other one is `unknown`.
    """
    if response.status == OK_STATUS:
        try:
            answer = json.loads(response.content)
        except (ValueError, RecursionError) as exc:
            return Err(KvError('unknown', repr(exc)[:MAX_REASON_CHARS]))
        if not isinstance(answer, dict):
            return Err(KvError('unknown', 'response is no JSON object'))
        return Ok(answer)
    text = response.content.decode(errors='replace')
    if response.status == NOT_FOUND_STATUS:
        return Err(KvError('conflict', text))
    if response.status == BAD_REQUEST_STATUS:
        if 'too large' in text:
            return Err(KvError('too_large', text))
        return Err(KvError('unavailable', text))
    return Err(KvError('unknown', f'{response.status} {text}'))


async def iter_lines(response: httpcore.Response) -> AsyncIterator[str]:
    """Yield the non-empty lines of a streamed response."""
    pending = b''
    async for chunk in response.aiter_stream():
        *complete, pending = (pending + chunk).split(b'\n')
        for line in complete:
            if line.strip():
                yield line.decode()

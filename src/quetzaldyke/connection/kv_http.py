"""Key-value store over the JSON gateway of etcd v3.

Errors say whether a write can have been applied. A call that never got a
connection is `unavailable`; a timeout or a broken connection after the
request was sent is `unknown`.
"""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final

import anyio
import httpcore
from result import Err, Ok, Result

from quetzaldyke.parts.kv import (
    MAX_VALUE_BYTES,
    Change,
    KvError,
    Record,
)

CALL_TIMEOUT_S: Final = 2.0
# More concurrent calls wait in line for a connection.
MAX_CONNECTIONS: Final = 32
OK_STATUS: Final = 200
NOT_FOUND_STATUS: Final = 404
REFUSED_STATUS: Final = 400
MAX_BYTE: Final = 255
# A watch without changes stays silent, so its reads have no timeout.
WATCH_TIMEOUTS: Final = {'connect': CALL_TIMEOUT_S, 'read': None}

Body = dict[str, Any]

BROKEN_CONNECTION: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    OSError,
    TimeoutError,
    EOFError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
# No request was sent: neither a connection nor a place in line.
NEVER_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


def text_of(raw: bytes) -> str:
    """Return bytes as the gateway expects them.

    >>> text_of(b'claims/1')
    'Y2xhaW1zLzE='
    """
    return base64.b64encode(raw).decode()


def bytes_of(body: Body, name: str) -> bytes:
    """Return a bytes field; the gateway leaves out empty ones."""
    return base64.b64decode(body.get(name, ''))


def prefix_end(prefix: str) -> bytes:
    """Return the end of the range of keys with a prefix.

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


def record_of(kv: Body) -> Record:
    """Return a key of an answer."""
    return Record(
        bytes_of(kv, 'key').decode(),
        bytes_of(kv, 'value'),
        int(kv['mod_revision']),
    )


@dataclass(slots=True)
class HttpKeyValueStore:
    """`KeyValueStore` over HTTP; close it by `async with`."""

    address: str
    pool: httpcore.AsyncConnectionPool
    timeout_s: float = CALL_TIMEOUT_S

    @classmethod
    def from_address(
        cls,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpKeyValueStore:
        """Return a store that connects at its first call."""
        pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)
        return cls(address, pool, timeout_s)

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
        with anyio.CancelScope(shield=True):
            await self.pool.aclose()

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read one key."""
        answer = await self.call('kv/range', {'key': text_of(key.encode())})
        if isinstance(answer, Err):
            return answer
        kvs = answer.ok_value.get('kvs') or []
        return Ok(record_of(kvs[0]) if kvs else None)

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Read all keys that start with the prefix."""
        answer = await self.call('kv/range', range_body(prefix))
        if isinstance(answer, Err):
            return answer
        kvs = answer.ok_value.get('kvs') or []
        return Ok([record_of(one) for one in kvs])

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write if the key's revision is as given; return the new one."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(KvError('too_large', f'{key}: {len(value)} bytes'))
        put: Body = {'key': text_of(key.encode()), 'value': text_of(value)}
        if lease_id:
            put['lease'] = str(lease_id)
        return await self.transact(key, revision, {'request_put': put})

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete if the key's revision is as given."""
        erase = {'request_delete_range': {'key': text_of(key.encode())}}
        answer = await self.transact(key, revision, erase)
        return answer.map(lambda _revision: None)

    async def transact(
        self,
        key: str,
        revision: int,
        operation: Body,
    ) -> Result[int, KvError]:
        """Run one operation if the key's revision is as given."""
        compare = {
            'key': text_of(key.encode()),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        body = {'compare': [compare], 'success': [operation], 'failure': []}
        answer = await self.call('kv/txn', body)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.get('succeeded', False):
            return Err(KvError('conflict', f'{key}: not at {revision}'))
        return Ok(int(answer.ok_value['header']['revision']))

    async def grant_lease(self, ttl_s: int) -> Result[int, KvError]:
        """Create a lease and return its id."""
        answer = await self.call('lease/grant', {'TTL': str(ttl_s), 'ID': '0'})
        return answer.map(lambda body: int(body['ID']))

    async def keep_alive(self, lease_id: int) -> Result[bool, KvError]:
        """Extend a lease; False when it has already lapsed."""
        answer = await self.call('lease/keepalive', {'ID': str(lease_id)})
        return answer.map(
            lambda body: int(body.get('result', {}).get('TTL', 0)) > 0,
        )

    async def revoke(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys; ended leases are no error."""
        answer = await self.call('lease/revoke', {'ID': str(lease_id)})
        if isinstance(answer, Err) and answer.err_value.kind == 'conflict':
            return Ok(None)
        return answer.map(lambda _body: None)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
    ) -> AsyncIterator[Change]:
        """Yield changes after a revision until the connection breaks.

        Also ends when the service has discarded changes that were asked
        for; the caller reads again and watches from there.
        """
        create = {
            **range_body(prefix),
            'start_revision': str(after_revision + 1),
        }
        content = json.dumps({'create_request': create}).encode()
        try:
            async with self.pool.stream(
                'POST',
                f'http://{self.address}/v3/watch',
                headers={'Content-Type': 'application/json'},
                content=content,
                extensions={'timeout': WATCH_TIMEOUTS},
            ) as response:
                async for line in lines_of(response):
                    result = json.loads(line).get('result', {})
                    if result.get('canceled', False):
                        return
                    for event in result.get('events') or ():
                        yield change_of(event)
        except BROKEN_CONNECTION:
            return

    async def call(self, path: str, body: Body) -> Result[Body, KvError]:
        """Post one call; sorts failures by what can have been applied."""
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'),
            self.timeout_s,
        )
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self.pool.request(
                    'POST',
                    f'http://{self.address}/v3/{path}',
                    headers={'Content-Type': 'application/json'},
                    content=json.dumps(body).encode(),
                    extensions={'timeout': timeouts},
                )
        except NEVER_SENT as exc:
            return Err(KvError('unavailable', repr(exc)))
        except BROKEN_CONNECTION as exc:
            return Err(KvError('unknown', repr(exc)))
        return read_answer(response)


def range_body(prefix: str) -> Body:
    """Return the fields that select all keys with a prefix."""
    start = prefix.encode() or b'\0'
    return {'key': text_of(start), 'range_end': text_of(prefix_end(prefix))}


def change_of(event: Body) -> Change:
    """Return a change of a watch."""
    return Change(record_of(event['kv']), event.get('type') == 'DELETE')


def read_answer(response: httpcore.Response) -> Result[Body, KvError]:
    """Return the body of an answer, or the error that it tells.

    Only errors that the service gives before it applies anything are
    certain; all other statuses can hide an applied write.
    """
    if response.status == OK_STATUS:
        try:
            return Ok(json.loads(response.content))
        except ValueError as exc:
            return Err(KvError('unknown', repr(exc)))
    text = response.content.decode(errors='replace')
    if response.status == NOT_FOUND_STATUS:
        return Err(KvError('conflict', text))
    if response.status == REFUSED_STATUS:
        if 'too large' in text:
            return Err(KvError('too_large', text))
        return Err(KvError('unavailable', text))
    return Err(KvError('unknown', f'{response.status} {text}'))


async def lines_of(response: httpcore.Response) -> AsyncIterator[str]:
    """Yield the lines of a streamed answer."""
    pending = b''
    async for part in response.aiter_stream():
        *whole, pending = (pending + part).split(b'\n')
        for line in whole:
            if line.strip():
                yield line.decode()

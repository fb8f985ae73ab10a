"""Client of the platform's store: one method for each call.

A call that gets no answer counts as `unknown`, because the store may still
apply it seconds later; an answer that refuses the call counts as
`unavailable`, because nothing was done.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import urlencode

import orjson
from result import Err, Ok, Result

from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import (
    HttpClient,
    encode_request,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.store_path import Address, StorePath
from quetzaldyke.parts.kv import ErrorKind, KvError, Record
from quetzaldyke.parts.transactions import (
    Lease,
    Snapshot,
    Transaction,
    WatchBatch,
    WatchedChange,
)
from quetzaldyke.platform.names import CONFIG_KEY

MS_IN_S: Final = 1000
# The store answers in milliseconds; this bears answers sixty times as slow.
CALL_TIMEOUT_S: Final = 0.9
# How much later than asked a waiting watch may answer.
WATCH_SLACK_S: Final = 0.6
CALLS_PATH: Final = '/quetzaldyke/'
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_CONDITION_FAILED: Final = 412
STATUS_TOO_LARGE: Final = 413
LOGGED_BODY_BYTES: Final = 200
REFUSALS: Final = frozenset((429, 503))


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded body of a call."""

    status: int
    body: Any


@dataclass(slots=True)
class PlatformStore:
    """Calls to the store at one address."""

    client: HttpClient
    # The way that calls take.
    path: StorePath
    # Told after each call its name and whether the store answered it.
    on_result: Callable[[str, bool], None]
    # Exchanges that wait on each way.
    waiting: dict[Address, set[Exchange]] = field(default_factory=dict)

    @classmethod
    def from_address(
        cls,
        address: str,
        client: HttpClient,
        on_result: Callable[[str, bool], None],
    ) -> PlatformStore:
        """Return a client whose calls start on the direct way."""
        host, _, port = address.rpartition(':')
        store = cls(client, StorePath((host, int(port))), on_result)
        store.path.on_change = store.leave_other_ways
        return store

    def leave_other_ways(self, address: Address) -> None:
        """Cut the calls that wait on a way that is not used any more."""
        for way, exchanges in self.waiting.items():
            if way != address:
                for exchange in list(exchanges):
                    exchange.cancel()
        log_event('store_way_changed', address=f'{address[0]}:{address[1]}')

    async def probe_direct(self) -> None:
        """Try the direct way while it counts as broken."""
        if self.path.direct.up:
            return
        query = urlencode({'key': CONFIG_KEY, 'serializable': 1})
        request = self.encode('GET', f'kv-key?{query}', None)
        await self.exchange(request, CALL_TIMEOUT_S, self.path.store)
        self.path.choose(time.monotonic())

    async def get(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> Result[Record | None, KvError]:
        """Read one key."""
        query: dict[str, str | int] = {'key': key}
        if stale:
            query['serializable'] = 1
        answer = await self.call('GET', f'kv-key?{urlencode(query)}')
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        return Ok(decode_record(answer.ok_value.body))

    async def list_prefix(self, prefix: str) -> Result[Snapshot, KvError]:
        """Read all pages of a prefix.

        Pages are not one snapshot, so a watch continues from the first.
        """
        records: list[Record] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            answer = await self.call('GET', f'kv-range?{urlencode(query)}')
            if isinstance(answer, Err):
                return answer
            body = answer.ok_value.body
            records.extend(decode_record(row) for row in body['items'])
            revision = revision or body['store-revision']
            if not body['has-more'] or not body['items']:
                return Ok(Snapshot(records, revision))
            after = body['items'][-1]['key']

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Wait for changes after a revision."""
        query = urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'wait-ms': int(wait_s * MS_IN_S),
            },
        )
        answer = await self.call(
            'GET',
            f'kv-watch?{query}',
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_GONE:
            return Err(KvError('compacted', prefix))
        body = answer.ok_value.body
        changes = [decode_change(row) for row in body['events']]
        return Ok(WatchBatch(changes, body['store-revision']))

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[int, KvError]:
        """Apply a transaction."""
        body = {
            'if-rev': [
                {'key': key, 'revision': revision}
                for key, revision in transaction.conditions.items()
            ],
            'puts': [
                {
                    'key': put.key,
                    'value': base64.b64encode(put.value).decode('ascii'),
                    'lease': put.lease_id,
                }
                for put in transaction.puts
            ],
            'deletes': list(transaction.deletes),
        }
        answer = await self.call('POST', 'kv-txn', body)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value.status
        if status == STATUS_CONDITION_FAILED:
            return Err(KvError('conflict'))
        if status == STATUS_NOT_FOUND:
            return Err(KvError('no_lease'))
        return Ok(int(answer.ok_value.body['revision']))

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease."""
        body = {'ttl-ms': int(ttl_s * MS_IN_S)}
        answer = await self.call('POST', 'kv-lease', body)
        if isinstance(answer, Err):
            return answer
        granted = answer.ok_value.body
        return Ok(Lease(granted['lease'], granted['ttl-ms'] / MS_IN_S))

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease."""
        answer = await self.call('POST', f'kv-keep/{lease_id}')
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_NOT_FOUND:
            return Err(KvError('no_lease'))
        return Ok(None)

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease."""
        answer = await self.call('DELETE', f'kv-lease-end/{lease_id}')
        return answer if isinstance(answer, Err) else Ok(None)

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Answer, KvError]:
        """Make one call and tell whether the store answered."""
        request = self.encode(method, path, body)
        address = self.path.choose(time.monotonic())
        outcome = await self.exchange(request, timeout_s, address)
        if isinstance(outcome, Err):
            self.on_result(call_name(path), False)
            return outcome
        self.on_result(call_name(path), True)
        head, raw = outcome.ok_value
        return decode_answer(head, raw)

    def encode(self, method: str, path: str, body: object) -> bytes:
        """Return the bytes of a call."""
        host, port = self.path.store
        return encode_request(
            method.encode(),
            f'{CALLS_PATH}{path}'.encode(),
            [
                (b'host', f'{host}:{port}'.encode()),
                (b'content-type', b'application/json'),
            ],
            b'' if body is None else orjson.dumps(body),
        )

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        address: Address,
    ) -> Result[tuple[ResponseHead, bytes], KvError]:
        """Send a call on one way and note whether it was answered."""
        outcome = await self.send(request, timeout_s, address)
        answered = isinstance(outcome, Ok)
        cancelled = (
            isinstance(outcome, Err)
            and outcome.err_value.detail == Failure.CANCELLED.value
        )
        if not cancelled:
            self.path.note(address, answered=answered, now_s=time.monotonic())
        return outcome

    async def send(
        self,
        request: bytes,
        timeout_s: float,
        address: Address,
    ) -> Result[tuple[ResponseHead, bytes], KvError]:
        """Send bytes and return the whole answer unless it is a refusal."""
        exchange = Exchange()
        waiting = self.waiting.setdefault(address, set())
        waiting.add(exchange)
        try:
            async with asyncio.timeout(timeout_s):
                await self.client.start(*address, request, exchange)
                head = await exchange.read_head()
                raw = await exchange.read_body()
        except ExchangeError as exc:
            unsent = exc.failure is Failure.NOT_CONNECTED
            kind: ErrorKind = 'unavailable' if unsent else 'unknown'
            return Err(KvError(kind, str(exc)))
        except TimeoutError:
            return Err(KvError('unknown', f'no answer in {timeout_s} s'))
        finally:
            waiting.discard(exchange)
            exchange.cancel()
        if head.status in REFUSALS:
            return Err(KvError('unavailable', f'status {head.status}'))
        return Ok((head, raw))


def call_name(path: str) -> str:
    """Return the name of a call without its arguments.

    >>> call_name('kv-keep/7'), call_name('kv-watch?prefix=a/')
    ('kv-keep', 'kv-watch')
    """
    return path.partition('?')[0].partition('/')[0]


def decode_answer(head: ResponseHead, raw: bytes) -> Result[Answer, KvError]:
    """Decode the body of an answer."""
    if head.status == STATUS_TOO_LARGE:
        return Err(KvError('too_large', raw.decode('utf-8', 'replace')))
    expected = {
        STATUS_OK,
        STATUS_NOT_FOUND,
        STATUS_GONE,
        STATUS_CONDITION_FAILED,
    }
    if head.status not in expected:
        return Err(
            KvError(
                'unknown', f'status {head.status}: {raw[:LOGGED_BODY_BYTES]!r}'
            )
        )
    try:
        body = orjson.loads(raw) if raw else None
    except ValueError as exc:
        return Err(KvError('unknown', f'unreadable answer: {exc}'))
    return Ok(Answer(head.status, body))


def decode_record(row: Any) -> Record:
    """Translate one item."""
    return Record(row['key'], base64.b64decode(row['value']), row['revision'])


def decode_change(row: Any) -> WatchedChange:
    """Translate one event of a watch."""
    if row.get('tombstone'):
        return WatchedChange(row['key'], row['revision'], None)
    return WatchedChange(
        row['key'],
        row['revision'],
        base64.b64decode(row['value']),
    )

"""HTTP client of the platform's store, with one method for each call.

A call without a response fails as `unknown`, because the store may still
apply it seconds later. A call that the store rejects fails as `unavailable`,
because it was certainly not applied.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final
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
from quetzaldyke.gateway.store_health import is_cut_watch
from quetzaldyke.gateway.store_path import Address, StorePath
from quetzaldyke.parts.kv import ErrorKind, KvError, Record
from quetzaldyke.parts.transactions import (
    DEFAULT_LIMITS,
    Lease,
    Snapshot,
    Transaction,
    TransactionLimits,
    WatchBatch,
)
from quetzaldyke.platform.names import CONFIG_KEY
from quetzaldyke.platform.store_responses import (
    MS_IN_S,
    STATUS_CONDITION_FAILED,
    STATUS_GONE,
    STATUS_NOT_FOUND,
    StoreResponse,
    decode_batch,
    decode_body,
    decode_lease,
    decode_page,
    decode_record,
    decode_response,
    decode_revision,
)

# The store answers in milliseconds; answers sixty times as slow still arrive
# in time.
CALL_TIMEOUT_S: Final = 0.9
# Time that a watch may take beyond the wait that it asked for.
WATCH_SLACK_S: Final = 0.6
BASE_PATH: Final = '/quetzaldyke/'
REJECTED_STATUSES: Final = frozenset((429, 503))


@dataclass(slots=True)
class PlatformStore:
    """Client of one store, which is reached directly or through a peer."""

    client: HttpClient
    # Selects the address that calls are sent to.
    path: StorePath
    # Called after each call with its name and whether the store answered.
    on_result: Callable[[str, bool], None]
    limits: TransactionLimits = DEFAULT_LIMITS
    # Called when a watch was ended while it waited.
    on_cut: Callable[[], None] = lambda: None
    # Exchanges without a complete response, by the address they were sent to.
    open_exchanges: dict[Address, set[Exchange]] = field(default_factory=dict)

    @classmethod
    def from_address(
        cls,
        address: str,
        client: HttpClient,
        on_result: Callable[[str, bool], None],
        limits: TransactionLimits = DEFAULT_LIMITS,
    ) -> PlatformStore:
        """Return a client that first calls the store directly.

        Raises `ValueError` if the address has no valid port.
        """
        host, _, port = address.rpartition(':')
        store = cls(client, StorePath((host, int(port))), on_result, limits)
        store.path.on_change = store.cancel_other_paths
        return store

    def cancel_other_paths(self, address: Address) -> None:
        """Cancel the calls that were sent to any other address."""
        for path_address, exchanges in self.open_exchanges.items():
            if path_address != address:
                for exchange in list(exchanges):
                    exchange.cancel()
        log_event('store_way_changed', address=f'{address[0]}:{address[1]}')

    async def probe_direct(self) -> None:
        """Send a probe on the direct path if it is down."""
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
        """Read one key; return None if it does not exist.

        A stale read is cheap, and its value may be seconds old.
        """
        query: dict[str, str | int] = {'key': key}
        if stale:
            query['serializable'] = 1
        response = await self.call('GET', f'kv-key?{urlencode(query)}')
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        return decode_body(response.ok_value, decode_record)

    async def list_prefix(self, prefix: str) -> Result[Snapshot, KvError]:
        """Read all keys that start with a prefix, page by page.

        The pages are read at different revisions. The result has the
        revision of the first, so that a watch from it misses no change.
        """
        records: list[Record] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            response = await self.call('GET', f'kv-range?{urlencode(query)}')
            if isinstance(response, Err):
                return response
            decoded = decode_body(response.ok_value, decode_page)
            if isinstance(decoded, Err):
                return decoded
            page, has_more = decoded.ok_value
            records.extend(page.records)
            revision = revision or page.revision
            if not has_more or not page.records:
                return Ok(Snapshot(records, revision))
            after = page.records[-1].key

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Return the changes after a revision, or wait for some.

        Returns no changes if there are none within `wait_s`, and fails with
        `compacted` if the store no longer has the history.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'wait-ms': int(wait_s * MS_IN_S),
            },
        )
        response = await self.call(
            'GET',
            f'kv-watch?{query}',
            timeout_s=wait_s + WATCH_SLACK_S,
            waits=True,
        )
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_GONE:
            return Err(KvError('compacted', prefix))
        return decode_body(response.ok_value, decode_batch)

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[int, KvError]:
        """Apply a transaction and return its revision.

        Fails with `conflict` if a condition does not hold, with `no_lease` if
        a lease does not exist, and with `too_large`, without a call, if the
        store can never take it.
        """
        excess = self.limits.excess(transaction)
        if excess:
            return Err(KvError('too_large', excess))
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
        response = await self.call('POST', 'kv-txn', body)
        if isinstance(response, Err):
            return response
        status = response.ok_value.status
        if status == STATUS_CONDITION_FAILED:
            return Err(KvError('conflict'))
        if status == STATUS_NOT_FOUND:
            return Err(KvError('no_lease'))
        return decode_body(response.ok_value, decode_revision)

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease; the store chooses its id and final TTL."""
        body = {'ttl-ms': int(ttl_s * MS_IN_S)}
        response = await self.call('POST', 'kv-lease', body)
        if isinstance(response, Err):
            return response
        return decode_body(response.ok_value, decode_lease)

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease; fails with `no_lease` if it has lapsed."""
        response = await self.call('POST', f'kv-keep/{lease_id}')
        if isinstance(response, Err):
            return response
        if response.ok_value.status == STATUS_NOT_FOUND:
            return Err(KvError('no_lease'))
        return Ok(None)

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease, which deletes its keys."""
        response = await self.call('DELETE', f'kv-lease-end/{lease_id}')
        return response if isinstance(response, Err) else Ok(None)

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        waits: bool = False,
    ) -> Result[StoreResponse, KvError]:
        """Make one call and report whether the store answered it.

        A call that the store rejects counts as not answered. One that `waits`
        for changes may be cut, which is neither.
        """
        request = self.encode(method, path, body)
        address = self.path.choose(time.monotonic())
        result = await self.exchange(request, timeout_s, address, waits=waits)
        if isinstance(result, Err):
            if result.err_value.kind == 'cut':
                self.on_cut()
            else:
                self.on_result(call_name(path), False)
            return result
        self.on_result(call_name(path), True)
        head, raw = result.ok_value
        return decode_response(head, raw)

    def encode(self, method: str, path: str, body: object) -> bytes:
        """Return the HTTP request of a call."""
        host, port = self.path.store
        return encode_request(
            method.encode(),
            f'{BASE_PATH}{path}'.encode(),
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
        *,
        waits: bool = False,
    ) -> Result[tuple[ResponseHead, bytes], KvError]:
        """Send a call to one address and record whether it was answered.

        A cancelled or cut call says nothing about the path and is not
        recorded.
        """
        result = await self.send(request, timeout_s, address, waits=waits)
        if not (isinstance(result, Err) and proves_nothing(result.err_value)):
            answered = isinstance(result, Ok)
            self.path.note(address, answered=answered, now_s=time.monotonic())
        return result

    async def send(
        self,
        request: bytes,
        timeout_s: float,
        address: Address,
        *,
        waits: bool = False,
    ) -> Result[tuple[ResponseHead, bytes], KvError]:
        """Send a request and return the head and body of the response.

        Fails with `unavailable` if the request was rejected or never sent,
        with `cut` if it was ended while it waited for changes, and with
        `unknown` if the response is missing or incomplete otherwise.
        """
        started_s = time.monotonic()
        exchange = Exchange()
        exchanges = self.open_exchanges.setdefault(address, set())
        exchanges.add(exchange)
        try:
            async with asyncio.timeout(timeout_s):
                await self.client.start(*address, request, exchange)
                head = await exchange.read_head()
                raw = await exchange.read_body()
        except ExchangeError as exc:
            waited_s = time.monotonic() - started_s if waits else 0.0
            return Err(KvError(error_kind(exc.failure, waited_s), str(exc)))
        except TimeoutError:
            return Err(KvError('unknown', f'no answer in {timeout_s} s'))
        finally:
            exchanges.discard(exchange)
            exchange.cancel()
        if head.status in REJECTED_STATUSES:
            return Err(KvError('unavailable', f'status {head.status}'))
        return Ok((head, raw))


def error_kind(failure: Failure, waited_s: float) -> ErrorKind:
    """Return the kind of error of a call that failed after some time.

    `waited_s` is 0 unless the call waits for changes.
    """
    if failure is Failure.NOT_CONNECTED:
        return 'unavailable'
    return 'cut' if is_cut_watch(failure, waited_s) else 'unknown'


def proves_nothing(error: KvError) -> bool:
    """Return whether a failed call says nothing about its path."""
    return error.kind == 'cut' or error.detail == Failure.CANCELLED.value


def call_name(path: str) -> str:
    """Return the name of a call without its arguments.

    >>> call_name('kv-keep/7'), call_name('kv-watch?prefix=a/')
    ('kv-keep', 'kv-watch')
    """
    return path.partition('?')[0].partition('/')[0]

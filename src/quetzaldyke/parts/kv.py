"""Interface of the platform's key-value service and compare-and-swap on it.

A write whose answer was lost may have been applied. `swap` therefore stores
the ids of the latest writes in the value. After a lost answer it reads the
value back and looks for its own id.
"""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final, Generic, Literal, Protocol, TypeVar

import anyio
import msgpack
from result import Err, Ok, Result

MAX_VALUE_BYTES: Final = 1_000_000
MAX_WRITE_IDS: Final = 32
WRITE_ID_BYTES: Final = 8
MAX_SWAP_ATTEMPTS: Final = 16
RETRY_PAUSE_S: Final = 0.02

# Revision of a missing key; `put_if` with this revision creates the key.
ABSENT: Final = 0

ErrorKind = Literal[
    'unavailable',
    'unknown',
    'conflict',
    'too_large',
    'compacted',
    'no_lease',
    'cut',
]
T = TypeVar('T')


@dataclass(frozen=True, slots=True)
class KvError:
    """Failure of a call.

    `unavailable`: certainly not applied. `unknown`: may have been applied.
    `conflict`: the revision differs. `too_large`: the value exceeds the
    limit. `compacted`: the requested history has been removed. `no_lease`:
    the lease has lapsed. `cut`: a watch was ended while it waited.
    """

    kind: ErrorKind
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Record:
    """A stored value with the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """One change from a watch; `record.value` is empty if deleted."""

    record: Record
    deleted: bool


class KeyValueStore(Protocol):
    """Calls of the platform's key-value service."""

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Return the record of a key, or None if the key does not exist."""

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Return the records of all keys that start with the prefix."""

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write if the key has the given revision; return the new revision.

        Fails with `conflict` at any other revision.
        """

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete the key if it has the given revision.

        Fails with `conflict` at any other revision.
        """

    async def grant_lease(self, ttl_s: int) -> Result[int, KvError]:
        """Create a lease and return its id."""

    async def keep_alive(self, lease_id: int) -> Result[bool, KvError]:
        """Extend a lease; return False if it has already lapsed."""

    async def revoke(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""

    def watch(
        self,
        prefix: str,
        after_revision: int,
    ) -> AsyncIterator[Change]:
        """Yield the changes after a revision until the connection breaks."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Payload stored with the ids of the latest writes to it.

    >>> Envelope.unpack(Envelope(('w1',), b'x').pack())
    Envelope(write_ids=('w1',), payload=b'x')
    """

    write_ids: tuple[str, ...]
    payload: bytes

    @classmethod
    def unpack(cls, raw: bytes) -> Envelope:
        """Return the envelope decoded from a stored value."""
        write_ids, payload = msgpack.unpackb(raw)
        return cls(tuple(write_ids), payload)

    def pack(self) -> bytes:
        """Return the encoded value to store."""
        return bytes(msgpack.packb([list(self.write_ids), self.payload]))

    def with_write(self, write_id: str, payload: bytes) -> Envelope:
        """Return the envelope with a new payload and one more write id."""
        kept = (*self.write_ids, write_id)[-MAX_WRITE_IDS:]
        return Envelope(kept, payload)


EMPTY_ENVELOPE: Final = Envelope((), b'')


@dataclass(frozen=True, slots=True)
class Stored:
    """Payload of an envelope with the revision of its key."""

    payload: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Refused(Generic[T]):
    """The change function declined to write; nothing was written."""

    reason: T


ChangeFunction = Callable[[bytes], 'bytes | Refused[T]']


def new_write_id() -> str:
    """Return a unique write id."""
    return uuid.uuid4().hex[: WRITE_ID_BYTES * 2]


async def read(
    store: KeyValueStore,
    key: str,
) -> Result[Stored, KvError]:
    """Read a payload; an absent key reads as empty at revision 0."""
    answer = await store.get(key)
    if isinstance(answer, Err):
        return answer
    record = answer.ok_value
    if record is None:
        return Ok(Stored(b'', ABSENT))
    try:
        envelope = Envelope.unpack(record.value)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        return Err(KvError('unknown', f'malformed value: {type(exc).__name__}'))
    return Ok(Stored(envelope.payload, record.revision))


@dataclass(slots=True)
class SwapState(Generic[T]):
    """State of one `swap` call across its attempts."""

    write_id: str
    # True while it is unknown whether a write has been applied.
    uncertain: bool = False
    # Revision and contents that the uncertain write was based on.
    base_revision: int = ABSENT
    base: Envelope = EMPTY_ENVELOPE
    last_error: KvError = KvError('conflict', 'too many conflicts')


async def swap(
    store: KeyValueStore,
    key: str,
    change: ChangeFunction[T],
    write_id: str | None = None,
) -> Result[Stored, KvError | Refused[T]]:
    """Replace a payload by `change(payload)`, even if answers are lost.

    `change` gets `b''` for an absent key and may be called again after a
    conflict. With a given `write_id` the whole call can be repeated safely.
    After `MAX_SWAP_ATTEMPTS` it fails with `unavailable` if nothing was
    written, else with `unknown`. A key must not be deleted and created again
    while this runs, since a lost answer to its creation can't be resolved
    then.
    """
    state: SwapState[T] = SwapState(write_id or new_write_id())
    for _ in range(MAX_SWAP_ATTEMPTS):
        answer = await store.get(key)
        if isinstance(answer, Err):
            state.last_error = answer.err_value
            await anyio.sleep(RETRY_PAUSE_S)
            continue
        outcome = await swap_once(store, key, change, state, answer.ok_value)
        if outcome is not None:
            return outcome
        if state.last_error.kind != 'conflict':
            await anyio.sleep(RETRY_PAUSE_S)
    kind: ErrorKind = 'unknown' if state.uncertain else 'unavailable'
    return Err(KvError(kind, state.last_error.detail))


async def swap_once(
    store: KeyValueStore,
    key: str,
    change: ChangeFunction[T],
    state: SwapState[T],
    record: Record | None,
) -> Result[Stored, KvError | Refused[T]] | None:
    """Attempt one write on top of a record; None if it must be retried."""
    current = Envelope.unpack(record.value) if record else EMPTY_ENVELOPE
    revision = record.revision if record else ABSENT
    if state.write_id in current.write_ids:
        return Ok(Stored(current.payload, revision))
    if state.uncertain and revision != state.base_revision:
        if not proves_not_applied(state.base, current):
            return Err(
                KvError('unknown', 'own write id may have left the window')
            )
        state.uncertain = False
    payload = change(current.payload)
    if isinstance(payload, Refused):
        return Err(payload)
    raw = current.with_write(state.write_id, payload).pack()
    if len(raw) > MAX_VALUE_BYTES:
        return Err(KvError('too_large', f'{key}: {len(raw)} bytes'))
    written = await store.put_if(key, raw, revision)
    if isinstance(written, Ok):
        return Ok(Stored(payload, written.ok_value))
    if written.err_value.kind == 'unknown':
        state.uncertain = True
        state.base_revision = revision
        state.base = current
    return record_failure(state, written.err_value)


def record_failure(
    state: SwapState[T],
    error: KvError,
) -> Err[KvError | Refused[T]] | None:
    """Record a failed write; return an error only for `too_large`."""
    state.last_error = error
    return Err(error) if error.kind == 'too_large' else None


def proves_not_applied(base: Envelope, current: Envelope) -> bool:
    """Tell whether a missing write id proves that the write was not applied.

    Its id would directly follow the last id of the base. While that last id
    is in the window, the own id can't have left the window.

    >>> proves_not_applied(Envelope(('a',), b''), Envelope(('a', 'b'), b''))
    True
    >>> proves_not_applied(Envelope(('a',), b''), Envelope(('c', 'd'), b''))
    False
    """
    if base.write_ids:
        return base.write_ids[-1] in current.write_ids
    return len(current.write_ids) < MAX_WRITE_IDS

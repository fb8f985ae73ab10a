"""Interface of the platform's key-value service and the safe update loop.

A write whose answer was lost may have taken effect. `swap` therefore keeps
the ids of the latest writes inside the value and settles a lost answer by
reading back and looking for its own id.
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
KEPT_WRITE_IDS: Final = 32
WRITE_ID_BYTES: Final = 8
MAX_SWAP_TRIES: Final = 16
RETRY_PAUSE_S: Final = 0.02

# Revision of a key that does not exist; `put_if` with it creates the key.
ABSENT: Final = 0

ErrorKind = Literal[
    'unavailable',
    'unknown',
    'conflict',
    'too_large',
    'compacted',
    'no_lease',
]
T = TypeVar('T')


@dataclass(frozen=True, slots=True)
class KvError:
    """Failure of a call.

    `unavailable`: certainly not applied. `unknown`: may have been applied.
    `conflict`: the revision differed. `too_large`: the value limit.
    `compacted`: the history asked for is gone. `no_lease`: it has lapsed.
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
    """One change seen by a watch; `record.value` is empty when deleted."""

    record: Record
    deleted: bool


class KeyValueStore(Protocol):
    """The calls that the platform's service offers."""

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read one key."""

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Read all keys that start with the prefix."""

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write if the key's revision is as given; return the new one."""

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete if the key's revision is as given."""

    async def grant_lease(self, ttl_s: int) -> Result[int, KvError]:
        """Create a lease and return its id."""

    async def keep_alive(self, lease_id: int) -> Result[bool, KvError]:
        """Extend a lease; False when it has already lapsed."""

    async def revoke(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""

    def watch(
        self,
        prefix: str,
        after_revision: int,
    ) -> AsyncIterator[Change]:
        """Yield changes after a revision until the connection breaks."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A stored payload with the ids of the writes that led to it.

    >>> Envelope.unpack(Envelope(('w1',), b'x').pack())
    Envelope(write_ids=('w1',), payload=b'x')
    """

    write_ids: tuple[str, ...]
    payload: bytes

    @classmethod
    def unpack(cls, raw: bytes) -> Envelope:
        """Decode a stored value."""
        write_ids, payload = msgpack.unpackb(raw)
        return cls(tuple(write_ids), payload)

    def pack(self) -> bytes:
        """Encode for storage."""
        return bytes(msgpack.packb([list(self.write_ids), self.payload]))

    def replaced(self, write_id: str, payload: bytes) -> Envelope:
        """Return the envelope after one more write."""
        kept = (*self.write_ids, write_id)[-KEPT_WRITE_IDS:]
        return Envelope(kept, payload)


EMPTY: Final = Envelope((), b'')


@dataclass(frozen=True, slots=True)
class Stored:
    """Payload of an envelope with the revision that holds it."""

    payload: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Refused(Generic[T]):
    """The change function declined; nothing was written."""

    reason: T


ChangeFunction = Callable[[bytes], 'bytes | Refused[T]']


def new_write_id() -> str:
    """Return an id that no other write uses."""
    return uuid.uuid4().hex[: WRITE_ID_BYTES * 2]


async def read(
    store: KeyValueStore,
    key: str,
) -> Result[Stored, KvError]:
    """Read a payload; an absent key reads as empty at revision 0."""
    answer = await store.get(key)
    if isinstance(answer, Err):
        return answer
    entry = answer.ok_value
    if entry is None:
        return Ok(Stored(b'', ABSENT))
    envelope = Envelope.unpack(entry.value)
    return Ok(Stored(envelope.payload, entry.revision))


@dataclass(slots=True)
class SwapState(Generic[T]):
    """What one `swap` call has learned so far."""

    write_id: str
    # True while a write may have been applied without our knowing.
    uncertain: bool = False
    # Revision and contents that the uncertain write was based on.
    base_revision: int = ABSENT
    base: Envelope = EMPTY
    last_error: KvError = KvError('conflict', 'too many conflicts')


async def swap(
    store: KeyValueStore,
    key: str,
    change: ChangeFunction[T],
    write_id: str | None = None,
) -> Result[Stored, KvError | Refused[T]]:
    """Replace a payload by `change(payload)`, whatever answers get lost.

    `change` gets `b''` for an absent key and may be called again after a
    conflict. A known `write_id` makes the whole call safe to repeat. Keys
    that are deleted and created again while this runs are not supported:
    a lost answer to a creation can't be settled then.
    """
    state: SwapState[T] = SwapState(write_id or new_write_id())
    for _ in range(MAX_SWAP_TRIES):
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
    """Try one write on top of a record; None when it must be tried again."""
    current = Envelope.unpack(record.value) if record else EMPTY
    revision = record.revision if record else ABSENT
    if state.write_id in current.write_ids:
        return Ok(Stored(current.payload, revision))
    if state.uncertain and revision != state.base_revision:
        if not excludes(state.base, current):
            return Err(KvError('unknown', 'write id no longer in the window'))
        state.uncertain = False
    payload = change(current.payload)
    if isinstance(payload, Refused):
        return Err(payload)
    raw = current.replaced(state.write_id, payload).pack()
    if len(raw) > MAX_VALUE_BYTES:
        return Err(KvError('too_large', f'{key}: {len(raw)} bytes'))
    written = await store.put_if(key, raw, revision)
    if isinstance(written, Ok):
        return Ok(Stored(payload, written.ok_value))
    if written.err_value.kind == 'unknown':
        state.uncertain = True
        state.base_revision = revision
        state.base = current
    return note_failure(state, written.err_value)


def note_failure(
    state: SwapState[T],
    error: KvError,
) -> Err[KvError | Refused[T]] | None:
    """Remember a failed write; only a size error ends the swap."""
    state.last_error = error
    return Err(error) if error.kind == 'too_large' else None


def excludes(base: Envelope, current: Envelope) -> bool:
    """Tell whether a missing write id proves that the write was not applied.

    It would stand directly after the last id of the contents that it was
    based on. While that one is in the window, ours can't have left it.

    >>> excludes(Envelope(('a',), b''), Envelope(('a', 'b'), b''))
    True
    >>> excludes(Envelope(('a',), b''), Envelope(('c', 'd'), b''))
    False
    """
    if base.write_ids:
        return base.write_ids[-1] in current.write_ids
    return len(current.write_ids) < KEPT_WRITE_IDS

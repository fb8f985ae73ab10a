"""Contents of one claim bucket and the operations on it.

The operations are idempotent: each carries the id of its claim, by which an
earlier write whose answer was lost is recognised in the bucket.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

import msgpack
from result import Err, Ok, Result

from quetzaldyke.parts.kv import Refused

# New claims and inline outcomes must keep a bucket within this size. The rest
# of the value limit is a reserve for outcomes of claims that already exist.
MAX_BUCKET_BYTES: Final = 900_000
# Upper bound of the encoded size of a claim without key hash and outcome.
ENTRY_OVERHEAD_BYTES: Final = 64
# Keys are refused after the retention period, but their claims are removed
# only this much later, so that a process whose clock is behind does not accept
# a key whose claim has been removed.
PRUNE_MARGIN_MS: Final = 600_000

State = Literal['claimed', 'done', 'not_run']
ErrorKind = Literal['not_run', 'unknown']
Code = Literal[
    'bucket_full',
    'expired_key',
    'future_key',
    'store_failed',
    'claim_lost',
]


@dataclass(frozen=True, slots=True)
class Claim:
    """Stored state of one non-idempotent request.

    `in_own_key` means that the outcome is stored in a key of its own.
    """

    state: State
    claim_id: str
    created_ms: int
    outcome: bytes = b''
    in_own_key: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The caller holds the claim and must run the request."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Recorded:
    """An earlier attempt ran the request; this is its outcome."""

    outcome: bytes


@dataclass(frozen=True, slots=True)
class RecordedInOwnKey:
    """An earlier attempt ran it; the outcome is in a key of its own."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt holds the claim and has not recorded an outcome."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Done:
    """The outcome or the release has been written to the bucket."""


@dataclass(frozen=True, slots=True)
class NeedsOwnKey:
    """The outcome does not fit and must be written to a key of its own."""


@dataclass(frozen=True, slots=True)
class ClaimError:
    """Failure of an operation.

    `not_run`: the claim of this attempt was certainly not written.
    `unknown`: it may have been written, or an earlier attempt may have run
    the request.
    """

    kind: ErrorKind
    code: Code
    detail: str = ''


Reply = Claimed | Recorded | RecordedInOwnKey | InProgress | Done | NeedsOwnKey
Answer = Result[Reply, ClaimError]
Claims = dict[str, Claim]


@dataclass(slots=True, eq=False)
class Operation:
    """Operation on one claim, queued to be written with a group."""

    kind: Literal['claim', 'record', 'release']
    key_hash: str
    claim_id: str
    created_ms: int = 0
    outcome: bytes = b''
    in_own_key: bool = False
    # Result on the contents that were read last; final once written.
    provisional: Answer | None = None
    # Whether `provisional` holds only after the group has been written.
    needs_write: bool = True
    # Final result.
    answer: Answer | None = None
    # A write was cancelled and may have been applied.
    maybe_written: bool = False
    # No caller waits for the result; it is retried until written.
    retry_until_written: bool = False

    def copy_for_retry(self) -> Operation:
        """Return an unanswered copy that is retried until written."""
        return Operation(
            self.kind,
            self.key_hash,
            self.claim_id,
            self.created_ms,
            self.outcome,
            self.in_own_key,
            retry_until_written=True,
        )


def unpack_claims(payload: bytes) -> Claims:
    """Decode a bucket; an empty payload has no claims.

    >>> unpack_claims(pack_claims({'k': Claim('claimed', 'c', 5)}))
    {'k': Claim(state='claimed', claim_id='c', created_ms=5, outcome=b'', \
in_own_key=False)}
    """
    if not payload:
        return {}
    rows = msgpack.unpackb(payload)
    return {key_hash: Claim(*row) for key_hash, row in rows.items()}


def pack_claims(claims: Claims) -> bytes:
    """Encode a bucket."""
    rows = {
        key_hash: [
            claim.state,
            claim.claim_id,
            claim.created_ms,
            claim.outcome,
            claim.in_own_key,
        ]
        for key_hash, claim in claims.items()
    }
    return bytes(msgpack.packb(rows))


def expired_keys(claims: Claims, now_ms: int, retention_ms: int) -> list[str]:
    """Return the key hashes of the claims that may be removed."""
    oldest_ms = now_ms - retention_ms - PRUNE_MARGIN_MS
    return [
        key_hash
        for key_hash, claim in claims.items()
        if claim.created_ms < oldest_ms
    ]


def apply_group(
    group: Sequence[Operation],
    payload: bytes,
    now_ms: int,
    retention_ms: int,
) -> bytes | Refused[str]:
    """Apply operations in order and return the new encoded bucket.

    Sets the provisional result of each operation. Refuses the write if no
    operation needs it; expired claims are removed only along with a write.
    """
    claims = unpack_claims(payload)
    removed = False
    for key_hash in expired_keys(claims, now_ms, retention_ms):
        # Outcomes in keys of their own are deleted before their claims.
        if not claims[key_hash].in_own_key:
            claims.pop(key_hash)
            removed = True
    size = len(pack_claims(claims)) if removed else len(payload)
    changed_keys: set[str] = set()
    for operation in group:
        size += apply_operation(operation, claims, size)
        # A result that depends on an earlier operation of this group is
        # not durable until the group has been written.
        operation.needs_write |= operation.key_hash in changed_keys
        if operation.needs_write:
            changed_keys.add(operation.key_hash)
    if any(operation.needs_write for operation in group):
        return pack_claims(claims)
    return Refused('nothing to write')


def apply_operation(operation: Operation, claims: Claims, size: int) -> int:
    """Apply one operation; return the bytes by which the bucket grows."""
    match operation.kind:
        case 'claim':
            return apply_claim(operation, claims, size)
        case 'record':
            return apply_record(operation, claims, size)
        case 'release':
            apply_release(operation, claims)
            return 0


def set_provisional(
    operation: Operation, provisional: Answer, needs_write: bool
) -> None:
    """Set the provisional result of an operation."""
    operation.provisional = provisional
    operation.needs_write = needs_write


def apply_claim(operation: Operation, claims: Claims, size: int) -> int:
    """Claim a key that has no claim or a released one.

    Returns the bytes by which the bucket grows.
    """
    existing = claims.get(operation.key_hash)
    if existing is not None and existing.claim_id == operation.claim_id:
        set_provisional(
            operation, Ok(Claimed(existing.claim_id)), needs_write=False
        )
        return 0
    if existing is not None and existing.state != 'not_run':
        set_provisional(operation, Ok(reply_to(existing)), needs_write=False)
        return 0
    growth = 0 if existing else len(operation.key_hash) + ENTRY_OVERHEAD_BYTES
    if size + growth > MAX_BUCKET_BYTES:
        full = ClaimError('not_run', 'bucket_full', f'{size} bytes')
        set_provisional(operation, Err(full), needs_write=False)
        return 0
    claims[operation.key_hash] = Claim(
        'claimed',
        operation.claim_id,
        operation.created_ms,
    )
    set_provisional(
        operation, Ok(Claimed(operation.claim_id)), needs_write=True
    )
    return growth


def reply_to(existing: Claim) -> Reply:
    """Return the reply to a caller that finds another attempt's claim."""
    if existing.state != 'done':
        return InProgress(existing.claim_id)
    if existing.in_own_key:
        return RecordedInOwnKey(existing.claim_id)
    return Recorded(existing.outcome)


def apply_record(operation: Operation, claims: Claims, size: int) -> int:
    """Record the outcome of the caller's own claim.

    Returns the bytes by which the bucket grows.
    """
    existing = claims.get(operation.key_hash)
    if existing is None or existing.claim_id != operation.claim_id:
        lost = ClaimError('unknown', 'claim_lost', operation.key_hash)
        set_provisional(operation, Err(lost), needs_write=False)
        return 0
    if existing.state == 'done':
        set_provisional(operation, Ok(Done()), needs_write=False)
        return 0
    growth = len(operation.outcome)
    if growth and size + growth > MAX_BUCKET_BYTES:
        set_provisional(operation, Ok(NeedsOwnKey()), needs_write=False)
        return 0
    claims[operation.key_hash] = Claim(
        'done',
        existing.claim_id,
        existing.created_ms,
        operation.outcome,
        operation.in_own_key,
    )
    set_provisional(operation, Ok(Done()), needs_write=True)
    return growth


def apply_release(operation: Operation, claims: Claims) -> None:
    """Mark the caller's own claim as certainly not run.

    A write is needed even if the claim is absent: it changes the revision,
    so that a claim still in flight can't be applied afterwards.
    """
    existing = claims.get(operation.key_hash)
    if existing is not None and existing.claim_id == operation.claim_id:
        if existing.state == 'claimed':
            claims[operation.key_hash] = Claim(
                'not_run',
                existing.claim_id,
                existing.created_ms,
            )
    set_provisional(operation, Ok(Done()), needs_write=True)

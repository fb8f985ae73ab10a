"""Contents of one claim bucket and the operations on it.

The operations are safe to repeat: each carries the id of its claim, so a
write that was applied without our knowing is recognised in the bucket.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

import msgpack
from result import Err, Ok, Result

from quetzaldyke.parts.kv import Refused

# The rest of the value limit is for outcomes of claims that already exist.
MAX_BUCKET_BYTES: Final = 900_000
# Upper bound of what an entry takes besides its key hash and its outcome.
ENTRY_OVERHEAD_BYTES: Final = 64
# Claims are refused at the retention's end and removed this much later, so
# that no process whose clock is behind admits a key whose claim is gone.
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
    """What is known of one non-idempotent request.

    `elsewhere` says that the outcome has a key of its own.
    """

    state: State
    claim_id: str
    created_ms: int
    outcome: bytes = b''
    elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The caller holds the claim and has to run the request."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Recorded:
    """The request ran before; this is its outcome."""

    outcome: bytes


@dataclass(frozen=True, slots=True)
class RecordedElsewhere:
    """The request ran before; its outcome is in a key of its own."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt holds the claim and has recorded no outcome."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Done:
    """The outcome or the release is in the bucket."""


@dataclass(frozen=True, slots=True)
class NeedsOwnKey:
    """The outcome does not fit; it must be written to a key of its own."""


@dataclass(frozen=True, slots=True)
class ClaimError:
    """Failure of an operation.

    `not_run`: this attempt's claim was certainly not written. `unknown`:
    it may have been written, or an earlier attempt may have run.
    """

    kind: ErrorKind
    code: Code
    detail: str = ''


Reply = Claimed | Recorded | RecordedElsewhere | InProgress | Done | NeedsOwnKey
Answer = Result[Reply, ClaimError]
Claims = dict[str, Claim]


@dataclass(slots=True, eq=False)
class Operation:
    """One operation that waits for its group to be written."""

    kind: Literal['claim', 'record', 'release']
    key_hash: str
    claim_id: str
    created_ms: int = 0
    outcome: bytes = b''
    elsewhere: bool = False
    # What the operation came to on the contents that were read last.
    seen: Answer | None = None
    # Whether `seen` holds only after the group has been written.
    needs_write: bool = True
    # Final result.
    answer: Answer | None = None
    # A cancelled write may have been applied without our knowing.
    maybe_written: bool = False
    # Nobody waits for it; it is tried again until it is written.
    kept: bool = False

    def copy_to_keep(self) -> Operation:
        """Return a copy that is tried again without a waiting caller."""
        return Operation(
            self.kind,
            self.key_hash,
            self.claim_id,
            self.created_ms,
            self.outcome,
            self.elsewhere,
            kept=True,
        )


def unpack_claims(payload: bytes) -> Claims:
    """Decode a bucket.

    >>> unpack_claims(pack_claims({'k': Claim('claimed', 'c', 5)}))
    {'k': Claim(state='claimed', claim_id='c', created_ms=5, outcome=b'', \
elsewhere=False)}
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
            claim.elsewhere,
        ]
        for key_hash, claim in claims.items()
    }
    return bytes(msgpack.packb(rows))


def expired(claims: Claims, now_ms: int, retention_ms: int) -> list[str]:
    """Return the keys whose claims may be removed."""
    limit_ms = now_ms - retention_ms - PRUNE_MARGIN_MS
    return [
        key_hash
        for key_hash, claim in claims.items()
        if claim.created_ms < limit_ms
    ]


def apply_group(
    group: Sequence[Operation],
    payload: bytes,
    now_ms: int,
    retention_ms: int,
) -> bytes | Refused[str]:
    """Apply operations in order; refuses the write when nothing changes."""
    claims = unpack_claims(payload)
    removed = False
    for key_hash in expired(claims, now_ms, retention_ms):
        # Outcomes in keys of their own are deleted before their claims.
        if not claims[key_hash].elsewhere:
            claims.pop(key_hash)
            removed = True
    size = len(pack_claims(claims)) if removed else len(payload)
    touched: set[str] = set()
    for operation in group:
        size += apply_one(operation, claims, size)
        # What follows from an operation of this group is not durable
        # before the group is.
        operation.needs_write |= operation.key_hash in touched
        if operation.needs_write:
            touched.add(operation.key_hash)
    if any(operation.needs_write for operation in group):
        return pack_claims(claims)
    return Refused('nothing to write')


def apply_one(operation: Operation, claims: Claims, size: int) -> int:
    """Apply one operation; returns the bytes by which the bucket grows."""
    match operation.kind:
        case 'claim':
            return apply_claim(operation, claims, size)
        case 'record':
            return apply_record(operation, claims, size)
        case 'release':
            apply_release(operation, claims)
            return 0


def see(operation: Operation, seen: Answer, needs_write: bool) -> None:
    """Note what an operation came to."""
    operation.seen = seen
    operation.needs_write = needs_write


def apply_claim(operation: Operation, claims: Claims, size: int) -> int:
    """Claim a key that is free or whose claimant did not run it."""
    held = claims.get(operation.key_hash)
    if held is not None and held.claim_id == operation.claim_id:
        see(operation, Ok(Claimed(held.claim_id)), needs_write=False)
        return 0
    if held is not None and held.state != 'not_run':
        see(operation, Ok(found(held)), needs_write=False)
        return 0
    growth = 0 if held else len(operation.key_hash) + ENTRY_OVERHEAD_BYTES
    if size + growth > MAX_BUCKET_BYTES:
        full = ClaimError('not_run', 'bucket_full', f'{size} bytes')
        see(operation, Err(full), needs_write=False)
        return 0
    claims[operation.key_hash] = Claim(
        'claimed',
        operation.claim_id,
        operation.created_ms,
    )
    see(operation, Ok(Claimed(operation.claim_id)), needs_write=True)
    return growth


def found(held: Claim) -> Reply:
    """Return what a claim of another attempt means."""
    if held.state != 'done':
        return InProgress(held.claim_id)
    if held.elsewhere:
        return RecordedElsewhere(held.claim_id)
    return Recorded(held.outcome)


def apply_record(operation: Operation, claims: Claims, size: int) -> int:
    """Record the outcome of the caller's own claim."""
    held = claims.get(operation.key_hash)
    if held is None or held.claim_id != operation.claim_id:
        lost = ClaimError('unknown', 'claim_lost', operation.key_hash)
        see(operation, Err(lost), needs_write=False)
        return 0
    if held.state == 'done':
        see(operation, Ok(Done()), needs_write=False)
        return 0
    growth = len(operation.outcome)
    if growth and size + growth > MAX_BUCKET_BYTES:
        see(operation, Ok(NeedsOwnKey()), needs_write=False)
        return 0
    claims[operation.key_hash] = Claim(
        'done',
        held.claim_id,
        held.created_ms,
        operation.outcome,
        operation.elsewhere,
    )
    see(operation, Ok(Done()), needs_write=True)
    return growth


def apply_release(operation: Operation, claims: Claims) -> None:
    """Mark the caller's own claim as certainly not run.

    Always written, also when the claim is absent: the write moves the
    revision on, and a claim still in flight can't be applied afterwards.
    """
    held = claims.get(operation.key_hash)
    if held is not None and held.claim_id == operation.claim_id:
        if held.state == 'claimed':
            claims[operation.key_hash] = Claim(
                'not_run',
                held.claim_id,
                held.created_ms,
            )
    see(operation, Ok(Done()), needs_write=True)

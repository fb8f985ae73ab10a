"""Stores the configuration in one value of the key-value service.

The value has the version, the packed document and the latest patches with
their ids. A patch names the version that it was made against; since each
patch raises the version by one, at most one is accepted for each version.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final, Literal

import anyio
import msgpack
from result import Err, Ok, Result

from quetzaldyke.parts.errors import Errors
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, read, swap
from quetzaldyke.version.configuration import (
    EMPTY,
    Configuration,
    pack_document,
    unpack_document,
)
from quetzaldyke.version.patching import (
    Operations,
    apply_patch,
    configuration_digest,
    pack_operations,
    patch_digest,
    unpack_operations,
)
from quetzaldyke.version.version_hint import write_version_hint

CONFIG_KEY: Final = 'config'
KEPT_PATCHES: Final = 64
# Leaves space for the document within the size limit of a value. Beyond it,
# the operations of the oldest patches are dropped; their ids stay.
KEPT_OPERATION_BYTES: Final = 131_072
MAX_SUBMIT_TRIES: Final = 5
SUBMIT_RETRY_PAUSE_S: Final = 0.05

PatchErrorKind = Literal[
    'stale',  # made against another version
    'invalid',  # can't be applied, or the result is not valid
    'reused',  # the id belongs to an accepted patch with other content
    'too_old',  # base before the history; may have been accepted earlier
    'too_large',
    'unavailable',  # not accepted by this send; nothing was read
    'unknown',  # may have been accepted; send the same id again
]


@dataclass(frozen=True, slots=True)
class AppliedPatch:
    """An accepted patch in the history."""

    patch_id: str
    version: int
    digest: str
    accepted_ms: int
    packed_operations: bytes

    @property
    def operations(self) -> list[dict[str, Any]]:
        """Return the operations; empty if they were dropped."""
        return unpack_operations(self.packed_operations)

    def as_row(self) -> list[object]:
        """Return the stored form."""
        return [
            self.patch_id,
            self.version,
            self.digest,
            self.accepted_ms,
            self.packed_operations,
        ]


@dataclass(frozen=True, slots=True)
class Head:
    """Stored value: the latest version and the patches that led to it."""

    version: int = 0
    document: bytes = b''
    patches: tuple[AppliedPatch, ...] = ()
    # Digest of the document, to check a replay of patches against.
    digest: str = ''

    @classmethod
    def unpack(cls, payload: bytes) -> Head:
        """Decode a stored payload; an empty one is version 0."""
        if not payload:
            return cls()
        version, document, rows, digest = msgpack.unpackb(payload)
        patches = tuple(AppliedPatch(*row) for row in rows)
        return cls(version, document, patches, digest)

    def pack(self) -> bytes:
        """Encode for storage."""
        rows = [patch.as_row() for patch in self.patches]
        row = [self.version, self.document, rows, self.digest]
        return bytes(msgpack.packb(row))

    @property
    def configuration(self) -> Configuration:
        """Return the document as a configuration."""
        return unpack_document(self.document) if self.document else EMPTY

    def find(self, patch_id: str) -> AppliedPatch | None:
        """Return the accepted patch of an id; None if not in the history."""
        for patch in self.patches:
            if patch.patch_id == patch_id:
                return patch
        return None

    def covers(self, base_version: int) -> bool:
        """Tell whether the history has every patch after a version."""
        oldest = self.version - len(self.patches)
        return base_version >= oldest

    def patches_since(self, version: int) -> list[AppliedPatch] | None:
        """Return the patches after a version; None if any was dropped."""
        later = [patch for patch in self.patches if patch.version > version]
        complete = len(later) == self.version - version
        if not complete or any(not patch.packed_operations for patch in later):
            return None
        return later


@dataclass(frozen=True, slots=True)
class Accepted:
    """Result for a patch that was certainly accepted."""

    version: int
    # The value as it was read; its version may be later than the patch's.
    head: Head
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class PatchError:
    """Result for a patch that was not accepted, or not known to be."""

    kind: PatchErrorKind
    detail: str = ''
    head: Head | None = None
    findings: Errors | None = None


@dataclass(frozen=True, slots=True)
class Patch:
    """A patch as an operator sent it."""

    patch_id: str
    base_version: int
    operations: Operations

    @property
    def digest(self) -> str:
        """Return the digest of the base version and the operations."""
        return patch_digest(self.base_version, self.operations)


async def read_head(store: KeyValueStore) -> Result[Head, KvError]:
    """Read the stored value; an absent one is version 0."""
    answer = await read(store, CONFIG_KEY)
    return answer.map(lambda stored: Head.unpack(stored.payload))


async def submit_patch(
    store: KeyValueStore,
    base_version: int,
    patch_id: str,
    operations: Operations,
    read_wall_ms: Callable[[], int] = wall_clock_ms,
    decoded: tuple[int, Configuration] = (0, EMPTY),
) -> Result[Accepted, PatchError]:
    """Submit a patch against a version; each patch id is accepted once.

    `decoded` is a version with its configuration, which then need not be
    decoded again; with 5,600 organisations that takes 18 ms.

    After a lost reply the history shows the outcome: if it reaches back to
    the base version, the patch is in it or can no longer be accepted.
    """
    patch = Patch(patch_id, base_version, operations)
    announced = await write_version_hint(store, base_version + 1)
    if isinstance(announced, Err):
        # Nothing was written to `config` yet, so the patch is not accepted.
        return Err(PatchError('unavailable', announced.err_value.detail))
    outcome: Result[Accepted, PatchError] = Err(PatchError('unavailable'))
    uncertain = False
    for _ in range(MAX_SUBMIT_TRIES):
        outcome = await submit_once(store, patch, read_wall_ms, decoded)
        if isinstance(outcome, Ok) or outcome.err_value.kind != 'unknown':
            break
        uncertain = True
        await anyio.sleep(SUBMIT_RETRY_PAUSE_S)
    if isinstance(outcome, Err) and uncertain:
        return Err(mark_uncertain(outcome.err_value))
    return outcome


def mark_uncertain(error: PatchError) -> PatchError:
    """Return an error that allows for an earlier try that succeeded."""
    if error.kind == 'unavailable':
        return replace(error, kind='unknown')
    return error


async def submit_once(
    store: KeyValueStore,
    patch: Patch,
    read_wall_ms: Callable[[], int],
    decoded: tuple[int, Configuration],
) -> Result[Accepted, PatchError]:
    """Try one swap; fails with `unknown` if its outcome is not known."""

    def change(payload: bytes) -> bytes | Refused[Accepted | PatchError]:
        return decide(Head.unpack(payload), patch, read_wall_ms(), decoded)

    outcome = await swap(store, CONFIG_KEY, change)
    if isinstance(outcome, Ok):
        return accepted_answer(Head.unpack(outcome.ok_value.payload), patch)
    match outcome.err_value:
        case Refused(Accepted() as accepted):
            return Ok(accepted)
        case Refused(PatchError() as error):
            return Err(error)
        case KvError(kind='too_large', detail=detail):
            return Err(PatchError('too_large', detail))
        case KvError(kind='unknown', detail=detail):
            return Err(PatchError('unknown', detail))
        case failure:
            return Err(PatchError('unavailable', str(failure)))


def accepted_answer(head: Head, patch: Patch) -> Result[Accepted, PatchError]:
    """Return the result for a patch that was written."""
    found = head.find(patch.patch_id)
    if found is None:
        # KEPT_PATCHES or more patches were accepted before the read-back.
        return Err(PatchError('unknown', 'no longer in the history', head))
    return Ok(Accepted(found.version, head))


def decide(
    head: Head,
    patch: Patch,
    now_ms: int,
    decoded: tuple[int, Configuration] = (0, EMPTY),
) -> bytes | Refused[Accepted | PatchError]:
    """Return the new payload, or the result if nothing is to be written."""
    earlier = head.find(patch.patch_id)
    if earlier is not None:
        return Refused(answer_resend(head, earlier, patch))
    if patch.base_version != head.version:
        covered = head.covers(patch.base_version)
        kind: PatchErrorKind = 'stale' if covered else 'too_old'
        return Refused(PatchError(kind, f'version {head.version}', head))
    version, configuration = decoded
    if not version or version != head.version:
        configuration = head.configuration
    outcome = apply_patch(configuration, patch.operations)
    if isinstance(outcome, Err):
        return Refused(
            PatchError('invalid', head=head, findings=outcome.err_value),
        )
    return next_head(head, patch, outcome.ok_value, now_ms).pack()


def answer_resend(
    head: Head,
    earlier: AppliedPatch,
    patch: Patch,
) -> Accepted | PatchError:
    """Return the result for a patch id that is already in the history."""
    if earlier.digest != patch.digest:
        return PatchError('reused', f'accepted as version {earlier.version}')
    return Accepted(earlier.version, head, repeated=True)


def next_head(
    head: Head,
    patch: Patch,
    configuration: Configuration,
    now_ms: int,
) -> Head:
    """Return the value after a patch."""
    version = head.version + 1
    applied = AppliedPatch(
        patch.patch_id,
        version,
        patch.digest,
        now_ms,
        pack_operations(patch.operations),
    )
    kept = (*head.patches, applied)[-KEPT_PATCHES:]
    return Head(
        version,
        pack_document(configuration),
        drop_old_operations(kept),
        configuration_digest(configuration),
    )


def drop_old_operations(
    patches: tuple[AppliedPatch, ...],
) -> tuple[AppliedPatch, ...]:
    """Drop the operations of the oldest patches beyond the size limit."""
    room = KEPT_OPERATION_BYTES
    kept: list[AppliedPatch] = []
    for patch in reversed(patches):
        room -= len(patch.packed_operations)
        kept.append(
            patch if room >= 0 else replace(patch, packed_operations=b''),
        )
    return tuple(reversed(kept))

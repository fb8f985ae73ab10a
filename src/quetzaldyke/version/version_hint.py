"""Stores a hint of the highest configuration version that may exist.

Entries poll this small value instead of `config`: at the target size the
configuration takes 255 KB, which would be 64 KB/s for each entry. The hint
is written before a patch, so that no accepted version is missed when the
writer dies in between. It may be one version too high when the patch then
fails; readers therefore read `config` only a few times for each change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from result import Err, Result

from quetzaldyke.parts.decimals import parse_decimal
from quetzaldyke.parts.kv import (
    ABSENT,
    KeyValueStore,
    KvError,
    Refused,
    Stored,
    read,
    swap,
)

VERSION_HINT_KEY: Final = 'latest_config'
# Reads of `config` for one change of the hint. A write that was in progress
# when the hint was read is seen by the second read, 4 s later.
READS_PER_HINT_CHANGE: Final = 3
MAX_TRIES: Final = 3
# Every this many polls (once a minute) `config` is read whatever the hint
# says, in case it was written without one.
FULL_READ_POLLS: Final = 15


def parse_version(payload: bytes) -> int | None:
    """Return the version in a stored hint; 0 if it is empty, None if odd.

    >>> parse_version(b''), parse_version(b'12'), parse_version(b'x')
    (0, 12, None)
    """
    return parse_decimal(payload or b'0')


async def write_version_hint(
    store: KeyValueStore,
    version: int,
) -> Result[Stored, KvError]:
    """Raise the hint to `version`; always changes its revision.

    A higher version that is stored stays.
    """

    def change(payload: bytes) -> bytes:
        return str(max(version, parse_version(payload) or 0)).encode()

    for _ in range(MAX_TRIES):
        outcome: Result[Stored, KvError | Refused[None]] = await swap(
            store,
            VERSION_HINT_KEY,
            change,
        )
        written = outcome.map_err(as_kv_error)
        # A retry is safe: writing the same version twice does no harm.
        if written.is_ok() or written.unwrap_err().kind != 'unknown':
            break
    return written


def as_kv_error(failure: KvError | Refused[None]) -> KvError:
    """Return the failure of a swap whose change function never refuses."""
    assert isinstance(failure, KvError)
    return failure


@dataclass(slots=True)
class VersionHintReader:
    """Decides from the hint when `config` has to be read."""

    seen_revision: int = 0
    reads_left: int = 0
    polls: int = 0

    async def should_read(self, store: KeyValueStore, version: int) -> bool:
        """Tell whether a version above `version` may exist.

        False if the hint can't be read.
        """
        answer = await read(store, VERSION_HINT_KEY)
        if isinstance(answer, Err):
            return False
        stored = answer.ok_value
        self.polls += 1
        if stored.revision == ABSENT or self.polls % FULL_READ_POLLS == 0:
            return True
        if stored.revision != self.seen_revision:
            self.seen_revision = stored.revision
            self.reads_left = READS_PER_HINT_CHANGE
        hinted = parse_version(stored.payload)
        known = hinted is not None and hinted <= version
        if known or not self.reads_left:
            return False
        self.reads_left -= 1
        return True

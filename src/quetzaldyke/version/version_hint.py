"""A small value that says which version may exist by now.

Entries read it every few seconds instead of `config`: at the target size
the configuration takes 255 KB, which would be 64 KB/s for each entry. It is
written before a patch, so that no accepted version can be missed when the
writer dies in between. It may be one version too high when the patch then
fails; readers look at `config` a few times for each change of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from result import Err, Result

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
# Reads of `config` for one change of the hint. A write that was under way
# when the hint was read is seen by the second one, 4 s later.
READS_PER_HINT_CHANGE: Final = 3
MAX_TRIES: Final = 3
# `config` is read all the same once in so many polls (a minute), in case it
# was written by other means.
FULL_READ_POLLS: Final = 15


def parse_version(payload: bytes) -> int:
    """Return the version in the value.

    >>> parse_version(b''), parse_version(b'12')
    (0, 12)
    """
    return int(payload or b'0')


async def write_version_hint(
    store: KeyValueStore,
    version: int,
) -> Result[Stored, KvError]:
    """Say that a version may exist soon; always changes the revision."""

    def change(payload: bytes) -> bytes:
        return str(max(version, parse_version(payload))).encode()

    for _ in range(MAX_TRIES):
        outcome: Result[Stored, KvError | Refused[None]] = await swap(
            store,
            VERSION_HINT_KEY,
            change,
        )
        written = outcome.map_err(as_kv_error)
        # Writing the same version twice does no harm.
        if written.is_ok() or written.unwrap_err().kind != 'unknown':
            break
    return written


def as_kv_error(failure: KvError | Refused[None]) -> KvError:
    """Return the failure of a swap that never declines."""
    assert isinstance(failure, KvError)
    return failure


@dataclass(slots=True)
class VersionHintReader:
    """Decides when `config` has to be read."""

    seen_revision: int = 0
    reads_left: int = 0
    polls: int = 0

    async def should_read(self, store: KeyValueStore, version: int) -> bool:
        """Tell whether a version above `version` may exist."""
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
        if parse_version(stored.payload) <= version or not self.reads_left:
            return False
        self.reads_left -= 1
        return True

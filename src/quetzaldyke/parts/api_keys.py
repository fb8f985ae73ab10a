"""Finds the owner of an API key without keeping the key itself.

Callers present a key with each request, in the form of a bearer token. Only
digests of the keys are kept in memory, so that a log line, a dump or an error
can't disclose one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from result import Err, Ok, Result

BEARER: Final = b'bearer '
# Far above the length of any key. A longer one is unknown without being hashed.
MAX_KEY_BYTES: Final = 1024

Owner = TypeVar('Owner')


def hash_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key).digest()


def bearer_key(credentials: Iterable[bytes]) -> bytes | None:
    """Return the key in the credentials of a request, or None.

    `credentials` are the values of its authorization headers. There is no key
    if there are several values, or if the scheme is another one.

    >>> bearer_key([b'Bearer abc']), bearer_key([b'bearer  abc '])
    (b'abc', b'abc')
    >>> bearer_key([b'Basic abc']), bearer_key([]), bearer_key([b'Bearer a'] * 2)
    (None, None, None)
    """
    values = list(credentials)
    if len(values) != 1 or len(values[0]) > MAX_KEY_BYTES:
        return None
    scheme = values[0][: len(BEARER)].lower()
    key = values[0][len(BEARER) :].strip()
    return key if scheme == BEARER and key else None


@dataclass(frozen=True, slots=True)
class KeyDirectory(Generic[Owner]):
    """The owners of API keys, by name and by the digest of each key."""

    owners: Mapping[str, Owner] = field(default_factory=dict)
    names: Mapping[bytes, str] = field(default_factory=dict)

    @classmethod
    def from_keys(
        cls,
        owners: Mapping[str, Owner],
        keys: Iterable[tuple[str, bytes]],
    ) -> Result[KeyDirectory[Owner], str]:
        """Return the directory of some keys, each with its owner's name.

        Fails with the names of two owners that hold the same key.
        """
        names: dict[bytes, str] = {}
        for name, key in keys:
            holder = names.setdefault(hash_key(key), name)
            if holder != name:
                return Err(f'{holder} and {name} hold the same key')
        return Ok(cls(owners, names))

    def find(self, key: bytes) -> Owner | None:
        """Return the owner of a key, or None if nobody holds it."""
        name = self.names.get(hash_key(key))
        return None if name is None else self.owners[name]

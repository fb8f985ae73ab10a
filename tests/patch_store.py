"""A store of configurations whose calls fail in several ways."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from quetzaldyke.parts.kv import Envelope, KvError, Record
from quetzaldyke.version.patching import (
    Operations,
)
from quetzaldyke.version.store import (
    CONFIG_KEY,
    Head,
)
from quetzaldyke.version.version_hint import VERSION_HINT_KEY, parse_version

FAULTS = ('fine', 'fine', 'lost', 'late', 'dropped', 'down')
NOT_IN = frozenset(('stale', 'invalid', 'reused', 'too_large'))


@dataclass
class FaultyStore:
    """In-memory store that injects lost, late and dropped writes.

    A late write returns `unknown` and is applied at some later time, if the
    key still has the revision that it was made for.
    """

    draw: random.Random = field(default_factory=lambda: random.Random(1))
    faults: list[str] = field(default_factory=list)
    records: dict[str, Record] = field(default_factory=dict)
    revision: int = 0
    late: list[Callable[[], bool]] = field(default_factory=list)
    # Every value that `config` ever had.
    heads: list[Head] = field(default_factory=list)

    async def pause(self) -> str:
        """Yield to other tasks; return the fault of this call."""
        for _ in range(self.draw.randrange(4)):
            await anyio.lowlevel.checkpoint()
        if self.late and self.draw.random() < 0.3:
            self.late.pop(self.draw.randrange(len(self.late)))()
        return self.faults.pop() if self.faults else 'fine'

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read one key."""
        if await self.pause() == 'down':
            return Err(KvError('unavailable'))
        return Ok(self.records.get(key))

    async def put_if(
        self, key: str, value: bytes, revision: int, lease_id: int = 0
    ) -> Result[int, KvError]:
        """Write if the revision matches, with the next fault."""

        def apply() -> bool:
            present = self.records.get(key)
            if (present.revision if present else 0) != revision:
                return False
            self.revision += 1
            self.records[key] = Record(key, value, self.revision)
            if key == CONFIG_KEY:
                self.note_head(value)
            return True

        fault = await self.pause()
        if fault == 'down':
            return Err(KvError('unavailable'))
        if fault == 'late':
            self.late.append(apply)
        if fault in {'late', 'dropped'}:
            return Err(KvError('unknown'))
        done = apply()
        if fault == 'lost':
            return Err(KvError('unknown'))
        return Ok(self.revision) if done else Err(KvError('conflict'))

    def note_head(self, raw: bytes) -> None:
        """Check and record a new value of `config`."""
        head = Head.unpack(Envelope.unpack(raw).payload)
        last = self.heads[-1].version if self.heads else 0
        assert head.version == last + 1
        hint = Envelope.unpack(self.records[VERSION_HINT_KEY].value).payload
        hinted = parse_version(hint)
        assert hinted is not None
        assert hinted >= head.version
        self.heads.append(head)

    def accepted_ids(self) -> list[str]:
        """Return the patch ids of all versions, in order."""
        return [head.patches[-1].patch_id for head in self.heads]


def set_tries(number: int) -> Operations:
    """Return a patch of one field."""
    return [{'op': 'replace', 'path': '/max_item_tries', 'value': number}]

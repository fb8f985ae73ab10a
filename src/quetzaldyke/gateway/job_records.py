"""Records of batch jobs in the store, and their keys.

A job never changes once it is accepted. Its state holds the owner and the
results listed so far; it is only written under the condition that nobody
else wrote it, which is what keeps every result at one position. Outputs and
bodies are kept apart, so that only those who need them read them.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final

import msgpack

FLEET_PREFIX: Final = 'quetzaldyke/fleet/'
MEMBER_PREFIX: Final = f'{FLEET_PREFIX}member/'
JOB_PREFIX: Final = f'{FLEET_PREFIX}job/'
STATE_PREFIX: Final = f'{FLEET_PREFIX}state/'
END_PREFIX: Final = f'{FLEET_PREFIX}end/'
QUOTA_PREFIX: Final = f'{FLEET_PREFIX}quota/'
# What running items have produced so far.
PARTIAL_PREFIX: Final = 'quetzaldyke/partial/'
BODY_PREFIX: Final = 'quetzaldyke/body/'
RESULT_PREFIX: Final = 'quetzaldyke/result/'


@dataclass(frozen=True, slots=True)
class Member:
    """A running entry, kept under a lease."""

    owner_id: str
    instance: str
    host: str
    port: int

    @classmethod
    def unpack(cls, raw: bytes) -> Member:
        """Decode a stored member."""
        return cls(*msgpack.unpackb(raw))

    def pack(self) -> bytes:
        """Encode for storage."""
        row = [self.owner_id, self.instance, self.host, self.port]
        return bytes(msgpack.packb(row))


@dataclass(frozen=True, slots=True)
class ItemRecord:
    """One item of a job; its body is part `body_part` of the job's bodies."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    tokens: int
    body_part: int
    body_start: int
    body_size: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """One accepted job."""

    job_id: str
    route: str
    host: str
    # Unix time of its acceptance.
    accepted_ms: int
    items: tuple[ItemRecord, ...]

    @classmethod
    def unpack(cls, raw: bytes) -> JobRecord:
        """Decode a stored job."""
        job_id, route, host, accepted_ms, rows = msgpack.unpackb(raw)
        items = tuple(
            ItemRecord(
                item_id,
                path,
                tuple((name, text) for name, text in headers),
                *numbers,
            )
            for item_id, path, headers, *numbers in rows
        )
        return cls(job_id, route, host, accepted_ms, items)

    def pack(self) -> bytes:
        """Encode for storage."""
        rows = [
            [
                one.item_id,
                one.path,
                one.headers,
                one.tokens,
                one.body_part,
                one.body_start,
                one.body_size,
            ]
            for one in self.items
        ]
        row = [self.job_id, self.route, self.host, self.accepted_ms, rows]
        return bytes(msgpack.packb(row))


@dataclass(frozen=True, slots=True)
class ListedResult:
    """A result at its position; its output is a row of a result part."""

    item: int
    completed: bool
    part: int


@dataclass(frozen=True, slots=True)
class JobState:
    """Owner and results of a job."""

    owner_id: str
    # Instance of the owner, which may come back as another process.
    owner_instance: str
    parts: int = 0
    listed: tuple[ListedResult, ...] = ()
    # Failed runs by item, kept over a change of the owner.
    failures: dict[int, int] = field(default_factory=dict)

    @classmethod
    def unpack(cls, raw: bytes) -> JobState:
        """Decode a stored state."""
        owner_id, instance, parts, rows, failures = msgpack.unpackb(
            raw,
            strict_map_key=False,
        )
        listed = tuple(ListedResult(*row) for row in rows)
        return cls(owner_id, instance, parts, listed, failures)

    def pack(self) -> bytes:
        """Encode for storage."""
        rows = [[one.item, one.completed, one.part] for one in self.listed]
        row = [
            self.owner_id,
            self.owner_instance,
            self.parts,
            rows,
            self.failures,
        ]
        return bytes(msgpack.packb(row))

    def with_results(
        self,
        outcomes: list[tuple[int, bool]],
        failures: dict[int, int],
    ) -> JobState:
        """Return the state after one more part of results.

        >>> state = JobState('o', 'i').with_results([(3, True)], {})
        >>> state.parts, state.listed
        (1, (ListedResult(item=3, completed=True, part=0),))
        """
        added = tuple(
            ListedResult(item, completed, self.parts)
            for item, completed in outcomes
        )
        return replace(
            self,
            parts=self.parts + 1,
            listed=self.listed + added,
            failures=failures,
        )


@dataclass(frozen=True, slots=True)
class PartialOutput:
    """What the runs of an unfinished item have produced."""

    item: int
    # Number of the last whole event.
    last_event: int
    output: bytes


def pack_partials(partials: list[PartialOutput]) -> bytes:
    """Encode the partial outputs of a job.

    >>> unpack_partials(pack_partials([PartialOutput(2, 7, b'x')]))
    [PartialOutput(item=2, last_event=7, output=b'x')]
    """
    rows = [[one.item, one.last_event, one.output] for one in partials]
    return bytes(msgpack.packb(rows))


def unpack_partials(raw: bytes) -> list[PartialOutput]:
    """Decode the partial outputs of a job."""
    return [PartialOutput(*row) for row in msgpack.unpackb(raw)]


def body_key(job_id: str, part: int) -> str:
    """Return the key of one part of a job's bodies."""
    return f'{BODY_PREFIX}{job_id}/{part}'


def result_key(job_id: str, part: int) -> str:
    """Return the key of one part of a job's results."""
    return f'{RESULT_PREFIX}{job_id}/{part}'


def pack_outputs(outputs: list[tuple[int, bytes]]) -> bytes:
    """Encode the outputs of one part by item."""
    return bytes(msgpack.packb([list(row) for row in outputs]))


def unpack_outputs(raw: bytes) -> dict[int, bytes]:
    """Decode the outputs of one part."""
    return dict(msgpack.unpackb(raw))

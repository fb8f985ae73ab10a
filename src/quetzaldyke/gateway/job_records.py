"""Records of batch jobs in the store, and their keys.

A job record never changes once it is accepted. The state of the job holds its
owner and the results so far; it is written only on condition that its
revision has not changed, which keeps every result at one position. Outputs
and bodies have keys of their own, so that only readers that need them load
them.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from typing import Any, Final

import msgpack
from result import Err

from quetzaldyke.gateway.model import Installation, WeightedService
from quetzaldyke.parts.addresses import is_port, parse_host

FLEET_PREFIX: Final = 'quetzaldyke/fleet/'
MEMBER_PREFIX: Final = f'{FLEET_PREFIX}member/'
JOB_PREFIX: Final = f'{FLEET_PREFIX}job/'
STATE_PREFIX: Final = f'{FLEET_PREFIX}state/'
END_PREFIX: Final = f'{FLEET_PREFIX}end/'
QUOTA_PREFIX: Final = f'{FLEET_PREFIX}quota/'
# Partial outputs of items that are not finished.
PARTIAL_PREFIX: Final = 'quetzaldyke/partial/'
BODY_PREFIX: Final = 'quetzaldyke/body/'
RESULT_PREFIX: Final = 'quetzaldyke/result/'
# A digest has as many bytes.
MAX_QUOTA_BYTES: Final = 64


def text_of(content: object) -> str:
    """Return a decoded text; raises `TypeError` for any other type."""
    if not isinstance(content, str):
        raise TypeError(f'{type(content).__name__} in place of a text')
    return content


def integer_of(content: object) -> int:
    """Return a decoded integer; raises `TypeError` for any other type."""
    if isinstance(content, bool) or not isinstance(content, int):
        raise TypeError(f'{type(content).__name__} in place of an integer')
    return content


@dataclass(frozen=True, slots=True)
class Member:
    """A running entry; its record lives as long as its lease."""

    owner_id: str
    instance: str
    host: str
    port: int
    # Empty where no setting needs it, and in earlier releases.
    failure_domain: str = ''

    @classmethod
    def from_installation(
        cls, installation: Installation, owner_id: str
    ) -> Member:
        """Return the member that an entry is.

        Its failure domain is named only where a setting needs it: an earlier
        release can't read a record with it.
        """
        options = installation.options
        named = options.keep_local or options.keep_connections
        return cls(
            owner_id,
            installation.instance,
            installation.host,
            installation.first_peer_port,
            installation.failure_domain if named else '',
        )

    @classmethod
    def unpack(cls, raw: bytes) -> Member:
        """Decode a stored member.

        Raises `ValueError` or `TypeError` if it is malformed, also if nothing
        can be sent to its address: datagrams go to all members in turn.
        """
        owner_id, instance, host, port, *added = msgpack.unpackb(raw)
        reachable = parse_host(text_of(host))
        if isinstance(reachable, Err) or not is_port(port):
            raise ValueError('member without a usable address')
        domain = text_of(added[0]) if added else ''
        return cls(text_of(owner_id), text_of(instance), host, port, domain)

    def pack(self) -> bytes:
        """Encode for storage."""
        row = [self.owner_id, self.instance, self.host, self.port]
        if self.failure_domain:
            row.append(self.failure_domain)
        return bytes(msgpack.packb(row))


@dataclass(frozen=True, slots=True)
class ItemRecord:
    """One item of a job; its body begins in the part `body_part`."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    tokens: int
    body_part: int
    body_start: int
    body_size: int


@dataclass(frozen=True, slots=True)
class JobTerms:
    """What a job's route says of its items."""

    # Version of the configuration.
    version: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    # Both from the acceptance on.
    completion_target_s: float = 0.0
    max_wait_s: float = 0.0

    @classmethod
    def from_row(cls, row: list[Any]) -> JobTerms:
        """Decode stored terms; raises `ValueError` or `TypeError`."""
        version, services, max_attempts, target_s, max_wait_s = row
        return cls(
            integer_of(version),
            tuple(
                WeightedService(text_of(service), float(weight))
                for service, weight in services
            ),
            integer_of(max_attempts),
            float(target_s),
            float(max_wait_s),
        )

    def to_row(self) -> list[Any]:
        """Return the terms as they are stored."""
        return [
            self.version,
            [[share.service, share.weight] for share in self.services],
            self.max_attempts,
            self.completion_target_s,
            self.max_wait_s,
        ]


@dataclass(frozen=True, slots=True)
class JobRecord:
    """One accepted job."""

    job_id: str
    route: str
    host: str
    # Unix time of its acceptance.
    accepted_ms: int
    items: tuple[ItemRecord, ...]
    # Number of the parts that hold the bodies.
    body_parts: int = 1
    # The terms of its route at its acceptance; None in earlier releases.
    terms: JobTerms | None = None
    # Name of the organisation that it belongs to; empty if there is none.
    organisation: str = ''

    @classmethod
    def unpack(cls, raw: bytes) -> JobRecord:
        """Decode a stored job.

        Raises `ValueError` or `TypeError` if it is malformed.
        """
        job_id, route, host, accepted_ms, rows, *added = msgpack.unpackb(raw)
        items = tuple(
            ItemRecord(
                text_of(item_id),
                text_of(path),
                tuple((text_of(name), text_of(text)) for name, text in headers),
                *(integer_of(number) for number in numbers),
            )
            for item_id, path, headers, *numbers in rows
        )
        return cls(
            text_of(job_id),
            text_of(route),
            text_of(host),
            integer_of(accepted_ms),
            items,
            integer_of(added[0]) if added else last_body_part(items) + 1,
            JobTerms.from_row(added[1]) if added and added[1] else None,
            text_of(added[2]) if len(added) > 2 else '',
        )

    def pack(self) -> bytes:
        """Encode for storage."""
        rows = [
            [
                item.item_id,
                item.path,
                item.headers,
                item.tokens,
                item.body_part,
                item.body_start,
                item.body_size,
            ]
            for item in self.items
        ]
        row = [
            self.job_id,
            self.route,
            self.host,
            self.accepted_ms,
            rows,
            self.body_parts,
            self.terms.to_row() if self.terms else None,
            self.organisation,
        ]
        return bytes(msgpack.packb(row))


def last_body_part(items: tuple[ItemRecord, ...]) -> int:
    """Return the part in which the last body begins."""
    return items[-1].body_part if items else 0


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """A result; its output is a row of the result part `part`."""

    item: int
    completed: bool
    part: int


@dataclass(frozen=True, slots=True)
class JobState:
    """The owner of a job and its results in order."""

    owner_id: str
    # Instance of the owner; it may restart as another process.
    owner_instance: str
    part_count: int = 0
    results: tuple[ResultRecord, ...] = ()
    # Failed runs by item, kept when the owner changes.
    failures: dict[int, int] = field(default_factory=dict)

    @classmethod
    def unpack(cls, raw: bytes) -> JobState:
        """Decode a stored state.

        Raises `ValueError` or `TypeError` if it is malformed.
        """
        owner_id, instance, part_count, rows, failures = msgpack.unpackb(
            raw,
            strict_map_key=False,
        )
        results = tuple(
            ResultRecord(integer_of(item), bool(completed), integer_of(part))
            for item, completed, part in rows
        )
        return cls(
            text_of(owner_id),
            text_of(instance),
            integer_of(part_count),
            results,
            {
                integer_of(item): integer_of(count)
                for item, count in dict(failures).items()
            },
        )

    def pack(self) -> bytes:
        """Encode for storage."""
        rows = [
            [result.item, result.completed, result.part]
            for result in self.results
        ]
        row = [
            self.owner_id,
            self.owner_instance,
            self.part_count,
            rows,
            self.failures,
        ]
        return bytes(msgpack.packb(row))

    def with_results(
        self,
        outcomes: list[tuple[int, bool]],
        failures: dict[int, int],
    ) -> JobState:
        """Return the state with one more part of results, if there are any.

        >>> state = JobState('o', 'i').with_results([(3, True)], {})
        >>> state.part_count, state.results
        (1, (ResultRecord(item=3, completed=True, part=0),))
        """
        added = tuple(
            ResultRecord(item, completed, self.part_count)
            for item, completed in outcomes
        )
        done = {result.item for result in self.results + added}
        return replace(
            self,
            part_count=self.part_count + bool(added),
            results=self.results + added,
            failures={
                item: count
                for item, count in failures.items()
                if item not in done
            },
        )


@dataclass(frozen=True, slots=True)
class PartialOutput:
    """The output so far of an item that is not finished."""

    item: int
    # Number of the last complete event.
    last_event: int
    output: bytes
    # Service of the endpoints that it is from; empty in earlier releases.
    service: str = ''


def largest_state(job: JobRecord, owner_id: str, instance: str) -> JobState:
    """Return a state as large as that of the job can become."""
    items = range(len(job.items))
    return JobState(
        owner_id,
        instance,
        len(items),
        tuple(ResultRecord(item, False, len(items)) for item in items),
        dict.fromkeys(items, len(items)),
    )


def pack_partials(partials: list[PartialOutput]) -> bytes:
    """Encode the partial outputs of a job.

    >>> unpack_partials(pack_partials([PartialOutput(2, 7, b'x')]))
    [PartialOutput(item=2, last_event=7, output=b'x', service='')]
    """
    rows = [
        [partial.item, partial.last_event, partial.output, partial.service]
        for partial in partials
    ]
    return bytes(msgpack.packb(rows))


def unpack_partials(raw: bytes) -> list[PartialOutput]:
    """Decode the partial outputs of a job."""
    return [PartialOutput(*row) for row in msgpack.unpackb(raw)]


def quota_name(route: str, organisation: str) -> str:
    """Return the last part of the key that serializes acceptances.

    There is one for each route and organisation. Without an organisation it is
    the name of the route, as in earlier releases; a digest takes its place
    where a name could be too long for a key or contain a slash.

    >>> quota_name('r', ''), quota_name('a/b', '') == quota_name('a', 'b')
    ('r', False)
    """
    size = len(route.encode())
    if not organisation and '/' not in route and size < MAX_QUOTA_BYTES:
        return route
    pair = msgpack.packb([route, organisation])
    return hashlib.sha256(pair).hexdigest()


def body_key(job_id: str, part: int) -> str:
    """Return the key of one part of a job's bodies."""
    return f'{BODY_PREFIX}{job_id}/{part}'


def result_key(job_id: str, part: int) -> str:
    """Return the key of one part of a job's results."""
    return f'{RESULT_PREFIX}{job_id}/{part}'


def pack_outputs(outputs: list[tuple[int, bytes]]) -> bytes:
    """Encode one part of the outputs, given as (item, output)."""
    return bytes(msgpack.packb([list(row) for row in outputs]))


def unpack_outputs(raw: bytes) -> dict[int, bytes]:
    """Decode one part of the outputs, by item."""
    return dict(msgpack.unpackb(raw))

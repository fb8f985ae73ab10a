"""Reads the platform's instance list and applies it to the fleet.

The list lags, and its service may be down; the last list read then stays in
force, and notices and connections of the peers decide which get work.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Final, Literal

from anyio.abc import TaskGroup
from pydantic import BaseModel, ConfigDict
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result

from quetzaldyke.connection.http_client import TRANSPORT_ERRORS, HttpClient
from quetzaldyke.connection.links import LinkOptions
from quetzaldyke.connection.messages import LeavingNotice, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.fleet import Fleet, Instance, apply_instance_list
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.settings import Address, Name

LIST_INTERVAL_S: Final = 1.0
LIST_TIMEOUT_S: Final = 2.0
HTTP_OK: Final = 200


class ListedInstance(BaseModel):
    """One row of the list; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)

    instance: Name
    role: Literal['entry', 'sidecar']
    failure_domain: Name
    peer_address: Address
    pool: str = ''
    state: Literal['live', 'leaving'] = 'live'


@dataclass(frozen=True, slots=True)
class ParsedList:
    """The valid rows of a list, and what is known of the others."""

    instances: list[Instance]
    # Names that rows state which are otherwise invalid.
    invalid_names: list[str]
    # First error of a row; empty if all are valid.
    fault: str = ''


def to_instance(row: ListedInstance) -> Instance:
    """Convert a row of the list to the fleet's form."""
    return Instance(
        row.instance,
        row.role,
        row.failure_domain,
        row.peer_address,
        row.pool,
        row.state == 'leaving',
    )


def parse_list(body: bytes) -> Result[ParsedList, str]:
    """Return the rows of a list, or why it is no list.

    An invalid row doesn't make the others unreadable.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return Err(type(exc).__name__)
    rows = document.get('instances') if isinstance(document, dict) else None
    if not isinstance(rows, list):
        return Err('no list of instances')
    instances: list[Instance] = []
    invalid_names: list[str] = []
    faults: list[str] = []
    for row in rows:
        try:
            instances.append(to_instance(ListedInstance.model_validate(row)))
        except ModelError as exc:
            faults.append(describe_fault(exc))
            invalid_names.append(named_instance(row))
    return Ok(ParsedList(instances, invalid_names, ''.join(faults[:1])))


def describe_fault(exc: ModelError) -> str:
    """Return where a row is invalid first, and why."""
    first = exc.errors(include_input=False, include_url=False)[0]
    location = '/'.join(str(part) for part in first['loc'])
    return f'{location}: {first["msg"]}'


def named_instance(row: object) -> str:
    """Return the name that a row states; empty if it states none."""
    name = row.get('instance') if isinstance(row, dict) else None
    return name if isinstance(name, str) else ''


@dataclass(slots=True)
class Membership:
    """Reads the instance list for one entry."""

    address: str
    fleet: Fleet
    options: LinkOptions
    group: TaskGroup
    log_event: LogEvent
    client: HttpClient = field(init=False)
    # Incarnations of the entries that announced their shutdown, by name. The
    # list may still show them as live for a while.
    leaving_incarnations: dict[str, str] = field(default_factory=dict)
    # Last logged failure, so that an outage is logged once.
    logged_failure: str = ''

    def __post_init__(self) -> None:
        """Create the client; lists are read one after another."""
        self.client = HttpClient(self.address, max_connections=1)

    async def read_list(self) -> Result[ParsedList, str]:
        """Fetch the list; return its rows, or why it can't be read."""
        try:
            response = await self.client.request(
                'GET', '/instances', b'', LIST_TIMEOUT_S
            )
        except TRANSPORT_ERRORS as exc:
            return Err(f'{type(exc).__name__} at the instance list')
        if response.status != HTTP_OK:
            return Err(f'status {response.status} of the instance list')
        return parse_list(response.content)

    async def refresh(self) -> None:
        """Read and apply the list; keep the last one on a failure."""
        listed = await self.read_list()
        if isinstance(listed, Err):
            self.log_failure_change(listed.err_value)
            return
        parsed = listed.ok_value
        if not parsed.instances and self.fleet.instances:
            # It is more likely that the service lost its data than that the
            # whole fleet is gone, and to drop every connection could not be
            # undone.
            self.log_failure_change('the instance list is empty')
            return
        self.log_failure_change(parsed.fault)
        # A valid row replaces what was known of an invalid one of its name.
        listed_rows = [*self.earlier_rows(parsed), *parsed.instances]
        rows = [
            replace(
                row,
                leaving=row.leaving
                or row.instance in self.leaving_incarnations,
            )
            for row in listed_rows
        ]
        apply_instance_list(self.fleet, rows, self.group, self.options)

    def earlier_rows(self, parsed: ParsedList) -> list[Instance]:
        """Return what is known of the instances whose rows became invalid."""
        known = self.fleet.instances
        return [known[name] for name in parsed.invalid_names if name in known]

    def subscribe(self) -> None:
        """Subscribe to leaving notices and new sessions."""
        self.fleet.subscribe(LeavingNotice, self.on_notice)
        self.fleet.on_open(self.on_open)

    async def on_notice(self, session: PeerSession, message: Message) -> None:
        """Mark an entry that announces its shutdown as leaving."""
        remote = session.remote
        if remote.role != 'entry' or not isinstance(message, LeavingNotice):
            return
        if message.instance != remote.instance:
            return
        self.leaving_incarnations[remote.instance] = remote.incarnation
        row = self.fleet.instances.get(remote.instance)
        if row is not None:
            self.fleet.instances[row.instance] = replace(row, leaving=True)

    async def on_open(self, session: PeerSession) -> None:
        """Drop the notice of an entry that connects as a new process."""
        name = session.remote.instance
        if self.leaving_incarnations.get(name) != session.remote.incarnation:
            self.leaving_incarnations.pop(name, None)

    def log_failure_change(self, failure: str) -> None:
        """Log a failure when it begins, changes or ends (empty text)."""
        if failure != self.logged_failure:
            name = 'instances_unreadable' if failure else 'instances_read'
            self.log_event(name, reason=failure)
        self.logged_failure = failure

    async def aclose(self) -> None:
        """Close the connections to the instance list service."""
        await self.client.aclose()

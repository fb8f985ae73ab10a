"""Reads the platform's instance list and applies it to the fleet.

The list lags and its service may be down; the last known list then stays
in force, and direct signs from the peers decide who gets work.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final, Literal

import httpcore
from anyio.abc import TaskGroup
from pydantic import BaseModel, ConfigDict, Field
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result

from quetzaldyke.connection.links import LinkOptions
from quetzaldyke.connection.messages import LeavingNotice, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.fleet import Fleet, Instance, apply_instance_list
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.settings import Address, Name

LIST_INTERVAL_S: Final = 1.0
LIST_TIMEOUT_S: Final = 2.0
HTTP_OK: Final = 200
HTTP_FAULTS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


class ListedInstance(BaseModel):
    """One row of the list; fields that we don't know are ignored."""

    model_config = ConfigDict(frozen=True)

    instance: Name
    role: Literal['entry', 'sidecar']
    failure_domain: Name
    peer_address: Address
    pool: str = ''
    state: Literal['live', 'leaving'] = 'live'


class InstanceList(BaseModel):
    """Body of `GET /instances`."""

    instances: list[ListedInstance] = Field(default_factory=list)


def to_instance(row: ListedInstance) -> Instance:
    """Return the fleet's form of a row."""
    return Instance(
        row.instance,
        row.role,
        row.failure_domain,
        row.peer_address,
        row.pool,
        row.state == 'leaving',
    )


def parse_list(body: bytes) -> Result[list[Instance], str]:
    """Return the rows of a list, or why it can't be used."""
    try:
        listed = InstanceList.model_validate_json(body)
    except ModelError as exc:
        first = exc.errors(include_input=False, include_url=False)[0]
        place = '/'.join(str(part) for part in first['loc'])
        return Err(f'{place}: {first["msg"]}')
    return Ok([to_instance(row) for row in listed.instances])


@dataclass(slots=True)
class Membership:
    """Reader of the instance list of one entry."""

    address: str
    fleet: Fleet
    options: LinkOptions
    group: TaskGroup
    log_event: LogEvent
    pool: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: httpcore.AsyncConnectionPool(
            max_connections=2,
            network_backend=httpcore.AnyIOBackend(),
        ),
    )
    # Entries that gave notice of their stop, with their incarnation. The
    # list may call them live for a while longer.
    notices: dict[str, str] = field(default_factory=dict)
    # The last failure that was logged, so that an outage is one line.
    failure: str = ''

    async def read_list(self) -> Result[list[Instance], str]:
        """Read the list once."""
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'),
            LIST_TIMEOUT_S,
        )
        try:
            response = await self.pool.request(
                'GET',
                f'http://{self.address}/instances',
                extensions={'timeout': timeouts},
            )
        except HTTP_FAULTS as exc:
            return Err(f'{type(exc).__name__} at the instance list')
        if response.status != HTTP_OK:
            return Err(f'status {response.status} of the instance list')
        return parse_list(response.content)

    async def refresh(self) -> None:
        """Read the list and apply it; keep the last one on a failure."""
        listed = await self.read_list()
        if isinstance(listed, Err):
            self.note(listed.err_value)
            return
        if not listed.ok_value and self.fleet.instances:
            # A service that lost its data is likelier than a fleet that
            # vanished; dropping every connection can't be taken back.
            self.note('the instance list is empty')
            return
        self.note('')
        rows = [
            replace(row, leaving=row.leaving or row.instance in self.notices)
            for row in listed.ok_value
        ]
        apply_instance_list(self.fleet, rows, self.group, self.options)

    def subscribe(self) -> None:
        """Listen to notices of entries."""
        self.fleet.subscribe(LeavingNotice, self.on_notice)
        self.fleet.on_open(self.on_open)

    async def on_notice(self, session: PeerSession, message: Message) -> None:
        """Take an entry that stops out of the live ones at once."""
        remote = session.remote
        if remote.role != 'entry' or not isinstance(message, LeavingNotice):
            return
        if message.instance != remote.instance:
            return
        self.notices[remote.instance] = remote.incarnation
        row = self.fleet.instances.get(remote.instance)
        if row is not None:
            self.fleet.instances[row.instance] = replace(row, leaving=True)

    async def on_open(self, session: PeerSession) -> None:
        """Forget the notice of an entry whose process was replaced."""
        name = session.remote.instance
        if self.notices.get(name) != session.remote.incarnation:
            self.notices.pop(name, None)

    def note(self, failure: str) -> None:
        """Log a failure when it begins or ends."""
        if failure != self.failure:
            name = 'instances_unreadable' if failure else 'instances_read'
            self.log_event(name, reason=failure)
        self.failure = failure

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self.pool.aclose()

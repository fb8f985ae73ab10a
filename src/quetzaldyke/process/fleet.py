"""Keeps an entry's connections to sidecars and to other entries.

The platform's instance list determines the peers to dial. Since it lags, a
leaving notice takes precedence over the state of the connection, and that
over the list. One task for each peer redials it until it leaves the list.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.calls import CallTable
from quetzaldyke.connection.links import LinkOptions, dial
from quetzaldyke.connection.messages import (
    SESSION_LOST,
    LeavingNotice,
    Message,
    Report,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.rendezvous import even_subset

REDIAL_DELAY_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Instance:
    """One row of the platform's instance list."""

    instance: str
    role: str  # 'entry' or 'sidecar'
    failure_domain: str
    peer_address: str
    pool: str = ''
    leaving: bool = False


@dataclass(slots=True)
class SidecarLink:
    """Connection to the sidecar of one endpoint, and its last report."""

    instance: Instance
    session: PeerSession
    calls: CallTable
    report: Report | None = None
    leaving: bool = False
    # Kept by routing for the lifetime of the connection.
    running_online: int = 0
    running_batch: int = 0
    ttft_ms: float = 0.0

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent over this link."""
        if self.session.closed or self.leaving or self.report is None:
            return False
        return self.report.endpoint_up and not self.report.leaving


Handler = Callable[[PeerSession, Message], Awaitable[None]]
OpenHandler = Callable[[PeerSession], Awaitable[None]]


@dataclass(slots=True)
class Fleet:
    """Peers of one entry and the subscribers to their messages."""

    own: Instance
    subset_size: int
    instances: dict[str, Instance] = field(default_factory=dict)
    links: dict[str, SidecarLink] = field(default_factory=dict)
    entries: dict[str, PeerSession] = field(default_factory=dict)
    handlers: dict[type[Message], list[Handler]] = field(
        default_factory=lambda: defaultdict(list),
    )
    open_handlers: list[OpenHandler] = field(default_factory=list)
    # Links, by session id, that a newer connection to the same sidecar
    # replaced; their requests continue until they close.
    replaced: dict[int, SidecarLink] = field(default_factory=dict)
    dial_scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)

    def subscribe(self, kind: type[Message], handler: Handler) -> None:
        """Call `handler(session, message)` for each message of a type."""
        self.handlers[kind].append(handler)

    def on_open(self, handler: OpenHandler) -> None:
        """Call `handler(session)` for each new peer, of either role."""
        self.open_handlers.append(handler)

    def links_of(self, pool: str) -> list[SidecarLink]:
        """Return the usable links of a pool."""
        return [
            link
            for link in self.links.values()
            if link.instance.pool == pool and link.usable
        ]

    def link_of(self, session: PeerSession) -> SidecarLink | None:
        """Return a session's link; None if it is not a sidecar's."""
        link = self.links.get(session.remote.instance)
        if link is not None and link.session is session:
            return link
        return self.replaced.get(id(session))

    def live_entries(self) -> list[str]:
        """Return the sorted names of live entries, this one included."""
        names = {
            one.instance
            for one in self.instances.values()
            if one.role == 'entry' and not one.leaving
        }
        if not self.own.leaving:
            names.add(self.own.instance)
        return sorted(names)

    def sessions(self) -> Iterator[PeerSession]:
        """Yield the sessions to all connected sidecars and entries."""
        for link in self.links.values():
            yield link.session
        yield from self.entries.values()

    def send_to_entry(self, instance: str, message: Message) -> bool:
        """Send to another entry; return False if it is not connected."""
        session = self.entries.get(instance)
        if session is None or session.closed:
            return False
        session.send(message)
        return True

    def peers_to_dial(self) -> dict[str, Instance]:
        """Return the peers that this entry dials: entries and its subset.

        Of two entries the one with the lower name dials, so that there is
        one connection for each pair.
        """
        peers: dict[str, Instance] = {}
        by_pool: dict[str, list[str]] = defaultdict(list)
        for one in self.instances.values():
            if one.role == 'entry' and self.own.instance < one.instance:
                peers[one.instance] = one
            if one.role == 'sidecar':
                by_pool[one.pool].append(one.instance)
        for names in by_pool.values():
            for name in even_subset(
                self.own.instance,
                self.live_entries(),
                sorted(names),
                self.subset_size,
            ):
                peers[name] = self.instances[name]
        return peers


async def dispatch(
    fleet: Fleet,
    session: PeerSession,
    message: Message,
) -> None:
    """Deliver a message to its call, or else to the subscribers."""
    link = fleet.link_of(session)
    if link is not None:
        if link.calls.deliver(message):
            return
        update_link(link, message)
    for handler in fleet.handlers.get(type(message), ()):
        await handler(session, message)


def update_link(link: SidecarLink, message: Message) -> None:
    """Update a link from its sidecar's report or leaving notice."""
    match message:
        case Report():
            link.report = message
            # A notice applies until a new process of the sidecar connects.
            link.leaving = link.leaving or message.leaving
        case LeavingNotice():
            link.leaving = True


async def add_session(fleet: Fleet, session: PeerSession) -> None:
    """Register the session of a sidecar or entry and call the handlers."""
    name = session.remote.instance
    if session.remote.role == 'sidecar':
        row = fleet.instances.get(name) or Instance(
            name,
            'sidecar',
            session.remote.failure_domain,
            '',
            session.remote.pool,
        )
        earlier = fleet.links.get(name)
        if earlier is not None:
            fleet.replaced[id(earlier.session)] = earlier
        fleet.links[name] = SidecarLink(
            row,
            session,
            CallTable(session),
            leaving=row.leaving,
        )
    else:
        fleet.entries[name] = session
    for handler in fleet.open_handlers:
        await handler(session)


def remove_session(fleet: Fleet, session: PeerSession) -> None:
    """Remove a closed session and fail the requests that run on it."""
    name = session.remote.instance
    link = fleet.link_of(session)
    if link is not None:
        fleet.replaced.pop(id(session), None)
        if fleet.links.get(name) is link:
            fleet.links.pop(name)
            restore_replaced(fleet, name)
        link.calls.fail_all(SESSION_LOST)
    elif fleet.entries.get(name) is session:
        fleet.entries.pop(name)


def restore_replaced(fleet: Fleet, name: str) -> None:
    """Use an older open connection to a sidecar whose newest one closed."""
    for key, link in fleet.replaced.items():
        if link.instance.instance == name and not link.session.closed:
            fleet.links[name] = fleet.replaced.pop(key)
            return


def apply_instance_list(
    fleet: Fleet,
    rows: list[Instance],
    group: TaskGroup,
    options: LinkOptions,
) -> None:
    """Replace the instance list; dial new peers and stop dialling others.

    A peer that left the list stays connected while requests run on it.
    """
    fleet.instances = {
        one.instance: one for one in rows if one.instance != fleet.own.instance
    }
    for name, link in fleet.links.items():
        row = fleet.instances.get(name)
        if row is not None and row.leaving:
            link.leaving = True
    peers_to_dial = fleet.peers_to_dial()
    for name in list(fleet.dial_scopes):
        if name not in peers_to_dial and not has_calls(fleet, name):
            fleet.dial_scopes.pop(name).cancel()
    for name, instance in peers_to_dial.items():
        if name not in fleet.dial_scopes:
            scope = anyio.CancelScope()
            fleet.dial_scopes[name] = scope
            group.start_soon(keep_connected, fleet, instance, options, scope)


def has_calls(fleet: Fleet, name: str) -> bool:
    """Tell whether requests run over the connection to a sidecar."""
    link = fleet.links.get(name)
    return link is not None and bool(link.calls.calls)


async def keep_connected(
    fleet: Fleet,
    instance: Instance,
    options: LinkOptions,
    scope: anyio.CancelScope,
) -> None:
    """Connect to a peer, and again after each end, until cancelled."""
    with scope:
        while True:
            row = fleet.instances.get(instance.instance, instance)
            await dial(row.peer_address, options)
            await anyio.sleep(REDIAL_DELAY_S)


def make_connector(
    fleet: Fleet,
    find_options: Callable[[], LinkOptions | None],
) -> Callable[[Instance], Coroutine[Any, Any, None]]:
    """Return a function that stays connected to an instance.

    It serves for instances outside the subset and runs until cancelled.
    """

    async def connect(instance: Instance) -> None:
        options = find_options()
        assert options is not None
        await keep_connected(fleet, instance, options, anyio.CancelScope())

    return connect

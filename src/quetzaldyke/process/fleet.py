"""What an entry knows of the fleet: sidecar links and other entries.

The platform's list says whom to dial; it lags, so direct signs go before
it: a leaving notice, then the state of the connection, then the list. One
task for each peer dials it again until the list drops it.
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
    LeavingNotice,
    Message,
    Report,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.rendezvous import even_subset

REDIAL_PAUSE_S: Final = 0.2


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
    """Connection to the sidecar of one endpoint."""

    instance: Instance
    session: PeerSession
    calls: CallTable
    report: Report | None = None
    leaving: bool = False
    # Facts that routing keeps for the life of the connection.
    running_online: int = 0
    running_batch: int = 0
    ttft_ms: float = 0.0

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent here."""
        if self.session.closed or self.leaving or self.report is None:
            return False
        return self.report.endpoint_up and not self.report.leaving


Handler = Callable[[PeerSession, Message], Awaitable[None]]
OpenHandler = Callable[[PeerSession], Awaitable[None]]


@dataclass(slots=True)
class Fleet:
    """Peers of one entry, and who wants which of their messages."""

    own: Instance
    subset_size: int
    instances: dict[str, Instance] = field(default_factory=dict)
    links: dict[str, SidecarLink] = field(default_factory=dict)
    entries: dict[str, PeerSession] = field(default_factory=dict)
    handlers: dict[type[Message], list[Handler]] = field(
        default_factory=lambda: defaultdict(list),
    )
    open_handlers: list[OpenHandler] = field(default_factory=list)
    # Links whose place a newer connection to the same sidecar took; their
    # requests go on until they close.
    replaced: dict[int, SidecarLink] = field(default_factory=dict)
    dialling: dict[str, anyio.CancelScope] = field(default_factory=dict)

    def subscribe(self, kind: type[Message], handler: Handler) -> None:
        """Call `handler(session, message)` for each message of a kind."""
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
        """Return the link that a session belongs to."""
        link = self.links.get(session.remote.instance)
        if link is not None and link.session is session:
            return link
        return self.replaced.get(id(session))

    def live_entries(self) -> list[str]:
        """Return the entries that are not leaving, this one included."""
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
        """Send to another entry; False when it is not connected."""
        session = self.entries.get(instance)
        if session is None or session.closed:
            return False
        session.send(message)
        return True

    def wanted(self) -> dict[str, Instance]:
        """Return the peers to be connected to.

        Of two entries the one with the lower name dials, so that there is
        one connection for each pair.
        """
        chosen: dict[str, Instance] = {}
        by_pool: dict[str, list[str]] = defaultdict(list)
        for one in self.instances.values():
            if one.role == 'entry' and self.own.instance < one.instance:
                chosen[one.instance] = one
            if one.role == 'sidecar':
                by_pool[one.pool].append(one.instance)
        for names in by_pool.values():
            for name in even_subset(
                self.own.instance,
                self.live_entries(),
                sorted(names),
                self.subset_size,
            ):
                chosen[name] = self.instances[name]
        return chosen


async def dispatch(
    fleet: Fleet,
    session: PeerSession,
    message: Message,
) -> None:
    """Give a message to its request or to whoever subscribed."""
    link = fleet.link_of(session)
    if link is not None:
        if link.calls.deliver(message):
            return
        note_report(link, message)
    for handler in fleet.handlers.get(type(message), ()):
        await handler(session, message)


def note_report(link: SidecarLink, message: Message) -> None:
    """Keep what a sidecar says of itself."""
    match message:
        case Report():
            link.report = message
            # A notice holds until the sidecar's process is replaced.
            link.leaving = link.leaving or message.leaving
        case LeavingNotice():
            link.leaving = True


async def add_session(fleet: Fleet, session: PeerSession) -> None:
    """Register a new session of either role."""
    name = session.remote.instance
    if session.remote.role == 'sidecar':
        listed = fleet.instances.get(name) or Instance(
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
            listed,
            session,
            CallTable(session),
            leaving=listed.leaving,
        )
    else:
        fleet.entries[name] = session
    for handler in fleet.open_handlers:
        await handler(session)


def remove_session(fleet: Fleet, session: PeerSession) -> None:
    """Forget a session and fail its requests."""
    name = session.remote.instance
    link = fleet.link_of(session)
    if link is not None:
        fleet.replaced.pop(id(session), None)
        if fleet.links.get(name) is link:
            fleet.links.pop(name)
            restore_replaced(fleet, name)
        link.calls.fail_all('connection to the sidecar was lost')
    elif fleet.entries.get(name) is session:
        fleet.entries.pop(name)


def restore_replaced(fleet: Fleet, name: str) -> None:
    """Use an older connection to a sidecar again when the newest closed."""
    for key, link in fleet.replaced.items():
        if link.instance.instance == name and not link.session.closed:
            fleet.links[name] = fleet.replaced.pop(key)
            return


def apply_instance_list(
    fleet: Fleet,
    listed: list[Instance],
    group: TaskGroup,
    options: LinkOptions,
) -> None:
    """Adopt a new instance list; dials new peers and drops absent ones."""
    fleet.instances = {
        one.instance: one
        for one in listed
        if one.instance != fleet.own.instance
    }
    for name, link in fleet.links.items():
        row = fleet.instances.get(name)
        if row is not None and row.leaving:
            link.leaving = True
    wanted = fleet.wanted()
    for name in list(fleet.dialling):
        if name not in wanted and not has_calls(fleet, name):
            fleet.dialling.pop(name).cancel()
    for name, instance in wanted.items():
        if name not in fleet.dialling:
            scope = anyio.CancelScope()
            fleet.dialling[name] = scope
            group.start_soon(keep_dialled, fleet, instance, options, scope)


def has_calls(fleet: Fleet, name: str) -> bool:
    """Tell whether requests still run over the connection to a peer."""
    link = fleet.links.get(name)
    return link is not None and bool(link.calls.calls)


async def keep_dialled(
    fleet: Fleet,
    instance: Instance,
    options: LinkOptions,
    scope: anyio.CancelScope,
) -> None:
    """Stay connected to one peer until the list drops it."""
    with scope:
        while True:
            row = fleet.instances.get(instance.instance, instance)
            await dial(row.peer_address, options)
            await anyio.sleep(REDIAL_PAUSE_S)


def make_connector(
    fleet: Fleet,
    find_options: Callable[[], LinkOptions | None],
) -> Callable[[Instance], Coroutine[Any, Any, None]]:
    """Return what stays connected to a process outside the subset."""

    async def reach(instance: Instance) -> None:
        options = find_options()
        assert options is not None
        await keep_dialled(fleet, instance, options, anyio.CancelScope())

    return reach

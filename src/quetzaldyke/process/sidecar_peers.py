"""Connections of a sidecar to entries, and what it sends over them.

Configuration versions and crash suspects received from one entry are forwarded
to the others. Reports are sent to all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import (
    ConfigPush,
    ConfigVersion,
    LeavingNotice,
    Message,
    Report,
    SuspectUpdate,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.suspects import CrashTable, SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.version.holder import ConfigHolder

REPORT_MAX_INTERVAL_S: Final = 1.0
# Size of a report with its frame, and the bandwidth limit for reports: all
# control traffic of a process must stay under 7 KB/s. Reports that change the
# routing fields are exempt.
REPORT_BYTES: Final = 120
REPORT_BYTES_PER_S: Final = 3000


@dataclass(slots=True)
class Peer:
    """A connected entry and the configuration version that it holds."""

    session: PeerSession
    config_version: int


@dataclass(slots=True)
class SidecarPeers:
    """Entries connected to one sidecar."""

    instance: str
    clock: Clock
    config: ConfigHolder
    suspects: SuspectBook
    make_report: Callable[[], Report]
    now_ms: Callable[[], int]
    peers: dict[int, Peer] = field(default_factory=dict)
    leaving: bool = False
    last_report: Report | None = None
    last_report_s: float = 0.0

    def sessions(self) -> Iterator[PeerSession]:
        """Yield the open connections."""
        for peer in self.peers.values():
            yield peer.session

    def broadcast(
        self,
        message: Message,
        exclude: PeerSession | None = None,
    ) -> None:
        """Send a message to all entries except `exclude`."""
        for session in self.sessions():
            if session is not exclude:
                session.send(message)

    def add(self, session: PeerSession) -> None:
        """Register a new entry and send it the current state."""
        peer = Peer(session, session.remote.config_version)
        self.peers[id(session)] = peer
        session.send(self.make_report())
        if self.leaving:
            session.send(LeavingNotice(self.instance))
        crashes, cleared = self.suspects.tables()
        if crashes or cleared:
            session.send(SuspectUpdate(crashes, cleared))
        self.push_config(peer)

    def drop(self, session: PeerSession) -> None:
        """Remove a connection; an unknown one is ignored."""
        self.peers.pop(id(session), None)

    def report(self) -> None:
        """Send a report if the state changed or the last one is old.

        Changes that decide whether an entry sends requests here go out at
        once. Other reports are sent together with the next write of each
        connection.
        """
        report = self.make_report()
        previous = self.last_report
        immediate = previous is None or routing_fields(
            report
        ) != routing_fields(previous)
        if not immediate and not self.report_due(report):
            return
        self.last_report = report
        self.last_report_s = self.clock.now()
        for session in self.sessions():
            if immediate:
                session.send(report)
            else:
                session.send_with_next(report)

    def report_due(self, report: Report) -> bool:
        """Tell whether the intervals and bandwidth limit allow a report."""
        elapsed_s = self.clock.now() - self.last_report_s
        budget_s = len(self.peers) * REPORT_BYTES / REPORT_BYTES_PER_S
        if report == self.last_report:
            return elapsed_s >= max(REPORT_MAX_INTERVAL_S, budget_s)
        return elapsed_s >= budget_s

    def leave(self) -> None:
        """Tell every entry, once, that this instance is leaving."""
        if self.leaving:
            return
        self.leaving = True
        self.broadcast(LeavingNotice(self.instance))

    def update_version(self, session: PeerSession, version: int) -> None:
        """Record an entry's version and send it a newer configuration."""
        peer = self.peers.get(id(session))
        if peer is None:
            return
        peer.config_version = max(peer.config_version, version)
        self.push_config(peer)

    def push_config(self, peer: Peer) -> None:
        """Send the configuration to an entry that holds an older version."""
        if peer.config_version >= self.config.version:
            return
        peer.config_version = self.config.version
        peer.session.send(
            ConfigPush(self.config.version, self.config.document),
        )

    def adopt_config(self, session: PeerSession, push: ConfigPush) -> bool:
        """Adopt and forward a newer version; return False for any other."""
        adopted = self.config.adopt(push.version, push.document)
        if adopted:
            self.broadcast(ConfigVersion(self.config.version))
        self.update_version(session, push.version)
        for peer in self.peers.values():
            self.push_config(peer)
        return adopted

    def merge_suspects(
        self,
        session: PeerSession,
        update: SuspectUpdate,
    ) -> None:
        """Merge an entry's crash records and forward the new ones."""
        crashes, cleared = self.suspects.merge(
            update.crashes,
            update.cleared,
            self.now_ms(),
        )
        self.broadcast_suspects(crashes, cleared, exclude=session)

    def broadcast_suspects(
        self,
        crashes: CrashTable,
        cleared: CrashTable,
        exclude: PeerSession | None = None,
    ) -> None:
        """Send new crash records to all entries except `exclude`."""
        if crashes or cleared:
            self.broadcast(SuspectUpdate(crashes, cleared), exclude)


def routing_fields(report: Report) -> list[object]:
    """Return the fields that decide whether an entry sends requests."""
    return [
        report.endpoint_up,
        report.leaving,
        report.model,
        report.version,
        report.adapter,
        report.fencing_token,
        report.online_queued > 0,
    ]

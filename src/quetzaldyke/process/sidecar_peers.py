"""The entries that a sidecar is connected to, and what it passes on.

Configuration versions and suspects spread over these connections: what one
entry brings is passed on to the others. Reports go to all of them.
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
# A report with its frame, and what reports may cost, because all control
# traffic of a process has to stay under 7 KB/s. Decisive changes are exempt.
REPORT_BYTES: Final = 120
REPORT_BYTES_PER_S: Final = 3000


@dataclass(slots=True)
class Peer:
    """One connected entry."""

    session: PeerSession
    config_version: int


@dataclass(slots=True)
class SidecarPeers:
    """Connected entries of one sidecar."""

    instance: str
    clock: Clock
    config: ConfigHolder
    suspects: SuspectBook
    make_report: Callable[[], Report]
    now_ms: Callable[[], int]
    peers: dict[int, Peer] = field(default_factory=dict)
    leaving: bool = False
    last_report: Report | None = None
    reported_s: float = 0.0

    def sessions(self) -> Iterator[PeerSession]:
        """Yield the open connections."""
        for peer in self.peers.values():
            yield peer.session

    def broadcast(
        self,
        message: Message,
        exclude: PeerSession | None = None,
    ) -> None:
        """Send to every entry but one."""
        for session in self.sessions():
            if session is not exclude:
                session.send(message)

    def add(self, session: PeerSession) -> None:
        """Tell a new entry everything that it may not know."""
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
        """Forget a connection."""
        self.peers.pop(id(session), None)

    def report(self) -> None:
        """Report a change, or an unchanged state once in a while.

        What decides whether an entry sends work goes out at once; the rest
        travels along with the next write of each connection.
        """
        report = self.make_report()
        previous = self.last_report
        immediate = previous is None or routing_fields(
            report
        ) != routing_fields(previous)
        if not immediate and not self.report_due(report):
            return
        self.last_report = report
        self.reported_s = self.clock.now()
        for session in self.sessions():
            if immediate:
                session.send(report)
            else:
                session.send_with_next(report)

    def report_due(self, report: Report) -> bool:
        """Tell whether a report is worth its bytes now."""
        elapsed_s = self.clock.now() - self.reported_s
        budget_s = len(self.peers) * REPORT_BYTES / REPORT_BYTES_PER_S
        if report == self.last_report:
            return elapsed_s >= max(REPORT_MAX_INTERVAL_S, budget_s)
        return elapsed_s >= budget_s

    def leave(self) -> None:
        """Tell every entry that this instance is leaving."""
        if self.leaving:
            return
        self.leaving = True
        self.broadcast(LeavingNotice(self.instance))

    def update_version(self, session: PeerSession, version: int) -> None:
        """Note an entry's version and bring it up to date."""
        peer = self.peers.get(id(session))
        if peer is None:
            return
        peer.config_version = max(peer.config_version, version)
        self.push_config(peer)

    def push_config(self, peer: Peer) -> None:
        """Send the configuration to an entry that is behind."""
        if peer.config_version >= self.config.version:
            return
        peer.config_version = self.config.version
        peer.session.send(
            ConfigPush(self.config.version, self.config.document),
        )

    def adopt_config(self, session: PeerSession, push: ConfigPush) -> bool:
        """Take a higher version and pass it on; False for others."""
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
        """Merge an entry's records and pass on what was new."""
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
        """Send new records to the entries."""
        if crashes or cleared:
            self.broadcast(SuspectUpdate(crashes, cleared), exclude)


def routing_fields(report: Report) -> list[object]:
    """Return the facts that decide whether an entry sends work at all."""
    return [
        report.endpoint_up,
        report.leaving,
        report.model,
        report.version,
        report.adapter,
        report.fencing_token,
        report.online_queued > 0,
    ]

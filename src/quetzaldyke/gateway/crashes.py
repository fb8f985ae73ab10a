"""Tracks requests that crash the endpoints that run them.

Load pattern: a request, or a part of a prompt that many requests share,
crashes each endpoint that begins to answer it, at any entry and as often as it
is sent. The entries report the crashes to each other, and quarantine what the
requests in flight had in common (`parts/crash_quarantine.py`). Requests with
it are refused, so that they can't take down the whole service.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.parts.crash_causes import Crash, Trait
from quetzaldyke.parts.crash_evidence import Quarantine
from quetzaldyke.parts.crash_quarantine import CrashQuarantine

CONTENT_DIGEST_BYTES: Final = 8
# Least specific first: parts of the prompt in order, then the whole content.
CONTENT_SPECIFICITY: Final = 1_000
# A response counts as begun without a crash after this many chunks of events.
PROGRESS_CHUNKS: Final = 8
# How often a report is repeated; a receiver counts each crash once.
RESENDS: Final = 2
# Keeps a datagram below its largest size of 64 KB even if all ids are long.
MAX_REPORTS_A_DATAGRAM: Final = 20
MAX_LOGGED_LIFETIMES: Final = 8


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash of an endpoint as one of the requests in flight saw it."""

    traits: tuple[Trait, ...]
    # Identifies the endpoint and its start.
    lifetime: str
    # Whether the response had made progress.
    late: bool
    # For how long the request had been in flight.
    age_s: float
    service: str = ''
    # For how long the sender has known of the crash.
    ago_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Announces what a sender has seen of crashes.

    `cleared` maps keys of traits to lifetimes of endpoints that crashed for
    another reason. `tried` are keys of quarantined traits of which a request
    was let through.
    """

    sender: str
    crashes: tuple[ReportedCrash, ...] = ()
    cleared: dict[str, list[str]] = field(default_factory=dict)
    tried: tuple[str, ...] = ()


def prompt_traits(
    service: str, prompt_parts: Sequence[str]
) -> tuple[Trait, ...]:
    """Return the traits of a prompt; later parts are more specific.

    >>> prompt_traits('lm', ['a', 'b'])[1]
    Trait(key='lm/part/b', specificity=2)
    """
    return tuple(
        Trait(f'{service}/part/{part_id}', place)
        for place, part_id in enumerate(prompt_parts, start=1)
    )


def content_trait(service: str, request_line: bytes, body: bytes) -> Trait:
    """Return the trait of a whole request, which its retries share."""
    digest = hashlib.blake2b(body, digest_size=CONTENT_DIGEST_BYTES)
    digest.update(request_line)
    return Trait(f'{service}/content/{digest.hexdigest()}', CONTENT_SPECIFICITY)


@dataclass(slots=True)
class SentReport:
    """A report that is sent again, as datagrams may be lost."""

    report: CrashReport
    sent_s: float
    resends: int = RESENDS


@dataclass(slots=True)
class CrashTracker:
    """What one entry knows of crashes, and its reports to the others."""

    own_id: str = ''
    now: Callable[[], float] = float
    broadcast: Callable[[CrashReport], None] = lambda report: None
    log_event: Callable[..., None] = lambda name, **fields: None
    quarantine: CrashQuarantine = field(default_factory=CrashQuarantine)
    sent: list[SentReport] = field(default_factory=list)
    # Traits that were quarantined until a request at this entry cleared them.
    released: set[str] = field(default_factory=set)

    def note_crash(
        self,
        traits: Sequence[Trait],
        endpoint: Endpoint,
        *,
        late: bool,
        sent_s: float,
    ) -> None:
        """Record a connection that broke during a request as a crash."""
        crash = ReportedCrash(
            tuple(traits),
            endpoint.lifetime,
            late,
            self.now() - sent_s,
            endpoint.service,
        )
        self.announce(CrashReport(self.own_id, (crash,)))

    def note_progress(self, traits: Sequence[Trait]) -> None:
        """Clear traits of crashes at the beginning of responses."""
        keys = [trait.key for trait in traits]
        before = self.quarantine.quarantined
        self.note_cleared(before, self.quarantine.clear_early(keys, self.now()))

    def note_served(self, traits: Sequence[Trait]) -> None:
        """Clear traits of crashes, as an endpoint served a request."""
        keys = [trait.key for trait in traits]
        before = self.quarantine.quarantined
        self.note_cleared(before, self.quarantine.clear(keys, self.now()))

    def note_cleared(
        self, before: dict[str, Quarantine], cleared: dict[str, list[str]]
    ) -> None:
        """Log and report what this entry has cleared, if anything."""
        if not cleared:
            return
        self.released |= before.keys() & cleared.keys()
        self.log_event('crashes_cleared', traits=','.join(cleared))
        self.log_changes(before)
        self.announce(CrashReport(self.own_id, cleared=cleared))

    def announce(self, report: CrashReport) -> None:
        """Apply a report and send it to the other entries."""
        self.merge(report)
        self.broadcast(report)
        self.sent.append(SentReport(report, self.now()))

    def resend(self) -> None:
        """Send the latest reports again, several in one datagram."""
        now_s = self.now()
        for start in range(0, len(self.sent), MAX_REPORTS_A_DATAGRAM):
            batch = self.sent[start : start + MAX_REPORTS_A_DATAGRAM]
            self.broadcast(merge_reports(self.own_id, batch, now_s))
        for one in self.sent:
            one.resends -= 1
        self.sent = [one for one in self.sent if one.resends > 0]

    def merge(self, report: CrashReport) -> None:
        """Apply a report of this entry or of another one."""
        before = self.quarantine.quarantined
        now_s = self.now()
        crashes = [
            (
                crash.traits,
                Crash(
                    crash.lifetime,
                    crash.late,
                    now_s - crash.ago_s,
                    crash.age_s,
                    crash.service,
                ),
            )
            for crash in report.crashes
        ]
        self.quarantine.merge(crashes, report.cleared, report.tried, now_s)
        self.log_changes(before)

    def confirm(
        self, trait: Trait, crashes: Sequence[tuple[str, bool]]
    ) -> None:
        """Adopt a verdict that was read from the store."""
        before = self.quarantine.quarantined
        self.quarantine.confirm(trait, crashes, self.now())
        self.log_changes(before)

    def withdraw(self, key: str) -> None:
        """Drop a verdict that was deleted from the store."""
        before = self.quarantine.quarantined
        self.quarantine.clear([key], self.now())
        self.log_changes(before)

    def log_changes(self, before: dict[str, Quarantine]) -> None:
        """Log the traits that are quarantined now or no longer."""
        if before is self.quarantine.quarantined:
            return
        for key, quarantine in self.quarantine.quarantined.items():
            if key not in before:
                self.log_event(
                    'trait_blamed',
                    trait=key,
                    score=quarantine.score,
                    crashed=','.join(
                        quarantine.lifetimes[:MAX_LOGGED_LIFETIMES]
                    ),
                    held_s=round(quarantine.retry_at_s - self.now(), 1),
                )
        for key in before.keys() - self.quarantine.quarantined.keys():
            self.log_event('trait_no_longer_blamed', trait=key)

    def is_quarantined(self, traits: Sequence[Trait]) -> bool:
        """Tell whether requests with these traits crash endpoints."""
        return self.quarantine_of(traits) is not None

    def quarantine_of(self, traits: Sequence[Trait]) -> Quarantine | None:
        """Return the quarantine that holds these traits longest, or None."""
        return self.quarantine.quarantine_of(trait.key for trait in traits)

    def retry_after_s(self, quarantine: Quarantine) -> float:
        """Return after what time a quarantined request may be tried again."""
        return max(1.0, math.ceil(quarantine.retry_at_s - self.now()))

    def begin_trial(self, traits: Sequence[Trait]) -> bool:
        """Let one quarantined request through if its hold is over."""
        quarantine = self.quarantine_of(traits)
        if quarantine is None or self.now() < quarantine.retry_at_s:
            return False
        keys = [trait.key for trait in traits]
        tried = tuple(key for key in keys if key in self.quarantine.quarantined)
        self.announce(CrashReport(self.own_id, tried=tried))
        self.log_event('trait_tried', traits=','.join(tried))
        return True

    def drop_expired(self) -> None:
        """Drop crashes that are past their retention."""
        self.quarantine.drop_expired(self.now())


def merge_reports(
    sender: str, sent: Sequence[SentReport], now_s: float
) -> CrashReport:
    """Return one report with the content of several."""
    crashes = [
        replace(crash, ago_s=now_s - one.sent_s)
        for one in sent
        for crash in one.report.crashes
    ]
    cleared: dict[str, list[str]] = {}
    for one in sent:
        for key, lifetimes in one.report.cleared.items():
            cleared.setdefault(key, []).extend(lifetimes)
    tried = tuple(key for one in sent for key in one.report.tried)
    return CrashReport(sender, tuple(crashes), cleared, tried)

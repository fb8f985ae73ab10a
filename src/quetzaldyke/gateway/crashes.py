"""Tracks requests that crash the endpoints that run them.

Load pattern: a request, or a part of a prompt that many requests share,
crashes each endpoint that begins to answer it, at any entry and as often as it
is sent. The entries report the crashes to each other, and blame what the
requests in flight had in common (`parts/crash_blame.py`). Requests with it are
refused, so that they can't take down the whole service.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.parts.crash_blame import Blame, Crash, CrashBlame, Trait

CONTENT_DIGEST_BYTES: Final = 8
# Least specific first: parts of the prompt in order, then the whole content.
CONTENT_SPECIFICITY: Final = 1_000
# A response counts as begun without a crash after this many chunks of events.
PROGRESS_CHUNKS: Final = 8


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Announces what a sender has seen of crashes.

    `traits` had been in flight for `age_s` when `lifetime` of an endpoint
    crashed; `late` tells whether the response had made progress. `cleared`
    maps keys of traits to lifetimes of endpoints that crashed for another
    reason. `tried` are keys of blamed traits of which a request was let
    through.
    """

    sender: str
    traits: tuple[Trait, ...] = ()
    lifetime: str = ''
    late: bool = False
    age_s: float = 0.0
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


def lifetime_of(endpoint: Endpoint) -> str:
    """Return what identifies one lifetime of an endpoint.

    An endpoint may start again under the id that it had.
    """
    return f'{endpoint.endpoint_id}@{endpoint.started_ms}'


@dataclass(slots=True)
class CrashTracker:
    """What one entry knows of crashes, and its reports to the others."""

    own_id: str = ''
    now: Callable[[], float] = float
    broadcast: Callable[[CrashReport], None] = lambda report: None
    log_event: Callable[..., None] = lambda name, **fields: None
    blame: CrashBlame = field(default_factory=CrashBlame)

    def note_crash(
        self,
        traits: Sequence[Trait],
        endpoint: Endpoint,
        *,
        late: bool,
        sent_s: float,
    ) -> None:
        """Record a connection that broke during a request as a crash."""
        report = CrashReport(
            self.own_id,
            tuple(traits),
            lifetime_of(endpoint),
            late,
            self.now() - sent_s,
        )
        self.merge(report)
        self.broadcast(report)

    def note_progress(self, traits: Sequence[Trait]) -> None:
        """Clear traits of crashes at the beginning of responses."""
        keys = [trait.key for trait in traits]
        self.report_cleared(self.blame.clear_early(keys, self.now()))

    def note_served(self, traits: Sequence[Trait]) -> None:
        """Clear traits of crashes, as an endpoint served a request."""
        keys = [trait.key for trait in traits]
        self.report_cleared(self.blame.clear(keys, self.now()))

    def report_cleared(self, cleared: dict[str, list[str]]) -> None:
        """Log and report what was cleared, if anything."""
        if cleared:
            self.log_event('crashes_cleared', traits=','.join(cleared))
            self.broadcast(CrashReport(self.own_id, cleared=cleared))

    def merge(self, report: CrashReport) -> None:
        """Apply a report of this entry or of another one."""
        before = self.blame.blamed
        now_s = self.now()
        if report.lifetime:
            self.blame.record(
                report.traits,
                Crash(report.lifetime, report.late, now_s, report.age_s),
            )
        self.blame.merge_cleared(report.cleared, now_s)
        self.blame.note_trial(report.tried, now_s)
        self.log_changes(before)

    def log_changes(self, before: dict[str, Blame]) -> None:
        """Log the traits that are blamed now or no longer."""
        for key, blame in self.blame.blamed.items():
            if key not in before:
                self.log_event(
                    'trait_blamed',
                    trait=key,
                    score=blame.score,
                    crashed=','.join(blame.lifetimes),
                    held_s=round(blame.retry_at_s - self.now(), 1),
                )
        for key in before.keys() - self.blame.blamed.keys():
            self.log_event('trait_no_longer_blamed', trait=key)

    def is_blamed(self, traits: Sequence[Trait]) -> bool:
        """Tell whether requests with these traits crash endpoints."""
        return self.blame_of(traits) is not None

    def blame_of(self, traits: Sequence[Trait]) -> Blame | None:
        """Return the blame that holds a request with these traits longest."""
        return self.blame.blame_of(trait.key for trait in traits)

    def retry_after_s(self, blame: Blame) -> float:
        """Return after what time a blamed request may be tried again."""
        return max(1.0, math.ceil(blame.retry_at_s - self.now()))

    def begin_trial(self, traits: Sequence[Trait]) -> bool:
        """Let one request with blamed traits through if its hold is over."""
        blame = self.blame_of(traits)
        if blame is None or self.now() < blame.retry_at_s:
            return False
        keys = [trait.key for trait in traits]
        tried = tuple(key for key in keys if key in self.blame.blamed)
        report = CrashReport(self.own_id, tried=tried)
        self.merge(report)
        self.broadcast(report)
        self.log_event('trait_tried', traits=','.join(tried))
        return True

    def forget_old(self) -> None:
        """Drop crashes that are past their retention."""
        self.blame.forget_old(self.now())

"""Reads the configuration before a request is decided by an old one.

Failure pattern: whatever keeps a version from an entry, its watch, its
sources, updates or calls, each is noticed within a time of its own, and the
sum of these is longer than the time in which the version has to be in force.
The age of what decides requests is bounded here, whatever its cause.

Load pattern: an entry calls the store only for a configuration that is too
old, once for all requests. While the store does not answer, nobody can know
of a newer version, and requests are decided by the known one without a wait.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.job_reads import SharedCalls
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.watch import OWN_CALL, age_ms
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import TransactionalStore
from quetzaldyke.platform import names

# Share of the time in which a version has to be in force everywhere after
# which it is read; a working watch confirms it sooner.
READ_AGE_SHARE: Final = 0.85
# Longest time for which a request waits for a read.
MAX_WAIT_S: Final = 0.3
# Time after a failed read in which requests don't wait for another one.
RETRY_S: Final = 0.5


@dataclass(slots=True)
class ConfigurationReads:
    """Bounds the age of the configuration of one entry."""

    feed: ConfigurationFeed
    store: TransactionalStore
    # Whether the store answered recently.
    store_up: Callable[[], bool]
    calls: SharedCalls = field(default_factory=SharedCalls)
    retry_at_s: float = 0.0

    def is_due(self) -> bool:
        """Return whether the configuration is too old and can be read."""
        return (
            self.feed.configuration is not None
            and self.feed.age_s() >= READ_AGE_SHARE * self.feed.apply_s
            and self.store_up()
            and self.feed.now() >= self.retry_at_s
        )

    async def refresh(self) -> None:
        """Read the configuration if it is too old, and wait shortly for it."""
        if not self.is_due():
            return
        with anyio.move_on_after(MAX_WAIT_S) as scope:
            await self.calls.run(names.CONFIG_KEY, self.read)
        if scope.cancelled_caught:
            self.note_failure('slow')

    async def read(self) -> Result[None, KvError]:
        """Read and apply the configuration."""
        called_s = self.feed.now()
        confirmed_ms = age_ms(self.feed.confirmation.as_of_s, called_s)
        answer = await self.store.get(names.CONFIG_KEY)
        if isinstance(answer, Err):
            self.note_failure(answer.err_value.kind)
            return answer
        if answer.ok_value is not None:
            self.feed.apply(answer.ok_value.value, OWN_CALL)
        self.feed.confirmation.note(called_s, OWN_CALL)
        log_event(
            'config_read', version=self.feed.version, confirmed_ms=confirmed_ms
        )
        return Ok(None)

    def note_failure(self, reason: str) -> None:
        """Let requests go on without a read for a moment.

        All that wait for one read note its failure; the first one is logged.
        """
        now_s = self.feed.now()
        if now_s < self.retry_at_s:
            return
        self.retry_at_s = now_s + RETRY_S
        log_event(
            'config_not_read',
            reason=reason,
            version=self.feed.version,
            **self.feed.confirmation.describe(now_s),
        )

"""Applies the operator's configuration, and changes to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Configuration, Organisation
from quetzaldyke.gateway.watch import (
    HISTORY_DROP_S,
    WATCH_WAIT_S,
    Confirmation,
    age_ms,
)
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform import names
from quetzaldyke.platform.records import decode_configuration

# Shares of the time in which a version has to be in force everywhere: how old
# it gets under a working watch, and how old it may be for a request to be
# denied. The rest allows for answers and updates that were delayed on their
# way.
WATCHED_AGE_SHARE: Final = 0.75
MAX_AGE_SHARE: Final = 0.875
MIN_WATCH_WAIT_S: Final = 0.25


@dataclass(slots=True)
class ConfigurationFeed:
    """Holds the active configuration and when it was last confirmed."""

    now: Callable[[], float]
    on_configuration: Callable[[Configuration], None]
    # From the acknowledgement of a version until it is in force everywhere.
    apply_s: float = 2.0
    configuration: Configuration | None = None
    # As of when the configuration is known.
    confirmation: Confirmation = field(default_factory=Confirmation)
    # Returns who brought what is applied: this entry's own call, or an entry.
    brought_by: Callable[[], str] = str
    # Set and replaced with each new version.
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first configuration."""
        return self.configuration.version if self.configuration else 0

    def age_s(self) -> float:
        """Return for how long nothing is known of newer versions."""
        return self.confirmation.age_s(self.now())

    def is_current(self) -> bool:
        """Return whether a request may be denied by this configuration."""
        return self.age_s() < MAX_AGE_SHARE * self.apply_s

    def watch_wait_s(self) -> float:
        """Return how long a watch on the configuration may wait.

        An answer without changes is up to the wait or `HISTORY_DROP_S` old,
        whichever is longer, and the next one comes after another wait.
        """
        age_s = WATCHED_AGE_SHARE * self.apply_s
        wait_s = max(MIN_WATCH_WAIT_S, min(age_s / 2, age_s - HISTORY_DROP_S))
        return min(WATCH_WAIT_S, wait_s)

    def weight_of(self, organisation: str) -> float:
        """Return the weight of an organisation, 1 if it is not configured."""
        directory = self.configuration and self.configuration.directory
        known = directory.owners.get(organisation) if directory else None
        return known.weight if known else 1.0

    def is_engine(self, service: str) -> bool:
        """Return whether a known service's endpoints are model engines."""
        if self.configuration is None:
            return False
        known = self.configuration.services.get(service)
        return known is not None and known.is_engine

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation of the active configuration."""
        if self.configuration is None or self.configuration.directory is None:
            return None
        return self.configuration.directory.owners.get(name)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the configuration of a complete list of keys, if it has one."""
        for record in snapshot.records:
            if record.key == names.CONFIG_KEY:
                self.apply(record.value)

    def on_changes(self, changes: list[WatchedChange], revision: int) -> None:
        """Apply changes of the configuration key; ignore its deletion."""
        for change in changes:
            if change.key == names.CONFIG_KEY and change.value is not None:
                self.apply(change.value)

    def apply(self, raw: bytes, brought_by: str = '') -> None:
        """Activate a configuration if it is newer than the active one.

        An unreadable configuration is logged and ignored. It is the watch that
        brought it if nobody is named.
        """
        decoded = decode_configuration(raw)
        if isinstance(decoded, Err):
            log_event('config_unreadable', reason=decoded.err_value)
            return
        configuration = decoded.ok_value
        if (
            self.configuration
            and configuration.version <= self.configuration.version
        ):
            return
        self.configuration = configuration
        self.on_configuration(configuration)
        self.changed.set()
        self.changed = anyio.Event()
        log_event(
            'config_applied',
            version=configuration.version,
            routes=len(configuration.routes),
            bytes=len(raw),
            brought_by=brought_by or self.brought_by(),
            confirmed_ms=age_ms(self.confirmation.as_of_s, self.now()),
        )

"""Takes the operator's configuration over as it changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err

from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Configuration
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform import names
from quetzaldyke.platform.records import decode_configuration

# A configuration that was not confirmed for this long may be an old one.
CONFIG_MAX_AGE_S: Final = 4.0


@dataclass(slots=True)
class ConfigurationFeed:
    """The configuration in force, and when it was last confirmed."""

    now: Callable[[], float]
    on_configuration: Callable[[Configuration], None]
    configuration: Configuration | None = None
    confirmed_s: float = 0.0

    def confirm(self) -> None:
        """The store has told all changes up to now."""
        self.confirmed_s = self.now()

    def is_current(self) -> bool:
        """Tell whether the configuration was confirmed lately."""
        return self.now() - self.confirmed_s < CONFIG_MAX_AGE_S

    def is_engine(self, service: str) -> bool:
        """Tell whether the endpoints of a service are engines."""
        if self.configuration is None:
            return False
        known = self.configuration.services.get(service)
        return known is not None and known.is_engine

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take over the operator's keys."""
        for record in snapshot.records:
            if record.key == names.CONFIG_KEY:
                self.apply(record.value)

    def on_changes(self, changes: list[WatchedChange], revision: int) -> None:
        """Take over changes of the operator's keys."""
        for change in changes:
            if change.key == names.CONFIG_KEY and change.value is not None:
                self.apply(change.value)

    def apply(self, raw: bytes) -> None:
        """Serve by a configuration unless a later one is in force."""
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
        log_event(
            'config_applied',
            version=configuration.version,
            routes=len(configuration.routes),
        )

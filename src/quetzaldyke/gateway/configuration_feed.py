"""Applies the operator's configuration, and changes to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err

from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Configuration, Organisation
from quetzaldyke.parts.transactions import Snapshot, WatchedChange
from quetzaldyke.platform import names
from quetzaldyke.platform.records import decode_configuration

# A configuration that was not confirmed for this long may be out of date.
CONFIG_MAX_AGE_S: Final = 4.0


@dataclass(slots=True)
class ConfigurationFeed:
    """Holds the active configuration and when it was last confirmed."""

    now: Callable[[], float]
    on_configuration: Callable[[Configuration], None]
    configuration: Configuration | None = None
    confirmed_s: float = 0.0

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first configuration."""
        return self.configuration.version if self.configuration else 0

    def confirm(self) -> None:
        """Record that the store has sent all changes up to now."""
        self.confirmed_s = self.now()

    def is_current(self) -> bool:
        """Return whether the configuration was confirmed recently enough."""
        return self.now() - self.confirmed_s < CONFIG_MAX_AGE_S

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

    def apply(self, raw: bytes) -> None:
        """Activate a configuration if it is newer than the active one.

        An unreadable configuration is logged and ignored.
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
        log_event(
            'config_applied',
            version=configuration.version,
            routes=len(configuration.routes),
        )

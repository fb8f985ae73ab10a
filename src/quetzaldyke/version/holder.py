"""The configuration that is in force in one process."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from pydantic import ValidationError as ModelError

from quetzaldyke.parts.versioned import Versioned
from quetzaldyke.version.configuration import (
    EMPTY,
    Configuration,
    unpack_document,
)

ChangeHandler = Callable[[int, Configuration], None]


@dataclass(slots=True)
class ConfigHolder:
    """Present configuration; only higher versions replace it."""

    versioned: Versioned[Configuration] = field(
        default_factory=lambda: Versioned(EMPTY),
    )
    # Packed form of the present version, to be passed on to peers.
    document: bytes = b''
    # Highest version that could not be read, and why. A process of an older
    # release meets it when operators use a field that it does not know.
    refused_version: int = 0
    refused_reason: str = ''

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self.versioned.current

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.versioned.version

    def adopt(self, version: int, document: bytes) -> bool:
        """Put a packed document in force; False if not higher or invalid."""
        if version <= self.version:
            return False
        try:
            configuration = unpack_document(document)
        except (ModelError, zlib.error) as exc:
            self.refused_version = version
            self.refused_reason = type(exc).__name__
            return False
        self.document = document
        return self.versioned.adopt(version, configuration)

    async def wait_for(self, version: int) -> Configuration:
        """Return the configuration once at least `version` is in force."""
        return await self.versioned.wait_for(version)

    def on_change(self, handler: ChangeHandler) -> None:
        """Call `handler(version, configuration)` after each change."""
        self.versioned.on_change(handler)

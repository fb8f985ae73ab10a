"""Holds the configuration that is in force in one process."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from pydantic import ValidationError as ModelError

from quetzaldyke.parts.versioned import Versioned
from quetzaldyke.version.configuration import (
    EMPTY,
    Configuration,
    pack_document,
    unpack_document,
)
from quetzaldyke.version.patching import configuration_digest, replay

KEPT_PATCHES: Final = 64

ChangeHandler = Callable[[int, Configuration], None]


@dataclass(slots=True)
class ConfigHolder:
    """Current configuration; only a higher version replaces it."""

    versioned: Versioned[Configuration] = field(
        default_factory=lambda: Versioned(EMPTY),
    )
    # Highest version that could not be read, and why. This happens in a
    # process of an older release if operators use a field unknown to it.
    refused_version: int = 0
    refused_reason: str = ''
    # Patches that led to the current version, oldest first.
    patches: deque[bytes] = field(
        default_factory=lambda: deque(maxlen=KEPT_PATCHES),
    )
    # Packed form and digest of the current version, computed on demand.
    document_cache: bytes | None = None
    digest_cache: str = ''

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self.versioned.current

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.versioned.version

    @property
    def document(self) -> bytes:
        """Return the packed form of the current version."""
        if self.document_cache is None:
            self.document_cache = pack_document(self.current)
        return self.document_cache

    @property
    def digest(self) -> str:
        """Return the digest of the current version."""
        if not self.digest_cache:
            self.digest_cache = configuration_digest(self.current)
        return self.digest_cache

    def adopt(self, version: int, document: bytes) -> bool:
        """Adopt a packed document; False if not higher or not readable."""
        if version <= self.version:
            return False
        try:
            configuration = unpack_document(document)
        except (ModelError, zlib.error) as exc:
            self.refused_version = max(version, self.refused_version)
            self.refused_reason = type(exc).__name__
            return False
        self.patches.clear()
        self.document_cache = document
        self.digest_cache = ''
        return self.versioned.adopt(version, configuration)

    def adopt_patches(
        self,
        version: int,
        packed_patches: Sequence[bytes],
        digest: str = '',
    ) -> bool:
        """Apply patches to the current version and adopt the result.

        False if they can't be applied, don't lead from the current version
        to `version`, or give a document with another digest.
        """
        if version != self.version + len(packed_patches):
            return False
        if not packed_patches:
            return False
        configuration = replay(self.current, packed_patches)
        if configuration is None:
            return False
        actual_digest = configuration_digest(configuration) if digest else ''
        if actual_digest != digest:
            return False
        self.patches.extend(packed_patches)
        self.document_cache = None
        self.digest_cache = actual_digest
        return self.versioned.adopt(version, configuration)

    def patches_since(self, version: int) -> list[bytes] | None:
        """Return the patches after a version; None if not all are kept."""
        count = self.version - version
        if not 0 < count <= len(self.patches):
            return None
        return list(self.patches)[-count:]

    async def wait_for(self, version: int) -> Configuration:
        """Return the configuration once at least `version` is in force."""
        return await self.versioned.wait_for(version)

    def on_change(self, handler: ChangeHandler) -> None:
        """Call `handler(version, configuration)` after each change."""
        self.versioned.on_change(handler)

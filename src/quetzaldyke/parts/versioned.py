"""Holds a versioned value that is only replaced by higher versions.

When versions are distributed over many connections, late and repeated
announcements of older versions are common. They are ignored here, so that no
caller has to compare versions. Waiters block until a version is reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

T = TypeVar('T')


@dataclass(slots=True)
class Versioned(Generic[T]):
    """The current value and its version, with change handlers and waiters.

    >>> limits = Versioned('v1', version=1)
    >>> seen = []
    >>> limits.on_change(lambda version, value: seen.append(value))
    >>> limits.adopt(3, 'v3'), limits.adopt(2, 'v2'), limits.adopt(3, 'x')
    (True, False, False)
    >>> limits.current, limits.version, seen
    ('v3', 3, ['v3'])
    """

    current: T
    version: int = 0
    handlers: list[Callable[[int, T], None]] = field(default_factory=list)
    # One event per awaited version, so that a change wakes only the waiters
    # whose version is reached.
    version_events: dict[int, anyio.Event] = field(default_factory=dict)

    def on_change(self, handler: Callable[[int, T], None]) -> None:
        """Register `handler(version, value)` to be called after each change."""
        self.handlers.append(handler)

    def adopt(self, version: int, value: T) -> bool:
        """Replace the value if `version` is higher; else return False.

        Every handler runs even if another fails. Their exceptions are raised
        afterwards as an `ExceptionGroup`.
        """
        if version <= self.version:
            return False
        self.version = version
        self.current = value
        self.wake_waiters()
        self.run_handlers()
        return True

    async def wait_for(self, version: int) -> T:
        """Return the value once its version is at least `version`.

        >>> import anyio
        >>> anyio.run(Versioned('v4', version=4).wait_for, 2)
        'v4'
        """
        while self.version < version:
            event = self.version_events.setdefault(version, anyio.Event())
            await event.wait()
        return self.current

    def wake_waiters(self) -> None:
        """Wake the waiters whose version has been reached."""
        reached = [
            version
            for version in self.version_events
            if version <= self.version
        ]
        for version in reached:
            self.version_events.pop(version).set()

    def run_handlers(self) -> None:
        """Call every handler with the current version and value."""
        failures: list[Exception] = []
        for handler in tuple(self.handlers):
            try:
                handler(self.version, self.current)
            except Exception as exc:
                failures.append(exc)
        if failures:
            raise ExceptionGroup('change handlers failed', failures)

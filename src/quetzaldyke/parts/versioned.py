"""A value that only moves to higher versions.

Late and repeated announcements of older versions are common when versions
spread over many connections; they are ignored here, so that no caller has
to compare versions. Waiters block on a version and wake once it is reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

T = TypeVar('T')


@dataclass(slots=True)
class Versioned(Generic[T]):
    """The present value, its version, and who waits for later ones.

    >>> limits = Versioned('v1', version=1)
    >>> seen = []
    >>> limits.on_change(lambda version, content: seen.append(content))
    >>> limits.adopt(3, 'v3'), limits.adopt(2, 'v2'), limits.adopt(3, 'x')
    (True, False, False)
    >>> limits.current, limits.version, seen
    ('v3', 3, ['v3'])
    """

    current: T
    version: int = 0
    handlers: list[Callable[[int, T], None]] = field(default_factory=list)
    # One event for each version that somebody waits for, so that a change
    # wakes only the waiters that it satisfies.
    awaited: dict[int, anyio.Event] = field(default_factory=dict)

    def on_change(self, handler: Callable[[int, T], None]) -> None:
        """Call `handler(version, value)` after each change."""
        self.handlers.append(handler)

    def adopt(self, version: int, newer: T) -> bool:
        """Take a value of a higher version; False for any other.

        Every handler runs even if another fails; failures are raised
        together afterwards.
        """
        if version <= self.version:
            return False
        self.version = version
        self.current = newer
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
            event = self.awaited.setdefault(version, anyio.Event())
            await event.wait()
        return self.current

    def wake_waiters(self) -> None:
        """Wake those who wait for a version that is now reached."""
        reached = [one for one in self.awaited if one <= self.version]
        for version in reached:
            self.awaited.pop(version).set()

    def run_handlers(self) -> None:
        """Tell every handler of the present value."""
        failures: list[Exception] = []
        for handler in tuple(self.handlers):
            try:
                handler(self.version, self.current)
            except Exception as exc:
                failures.append(exc)
        if failures:
            raise ExceptionGroup('change handlers failed', failures)

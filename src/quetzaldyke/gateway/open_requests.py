"""Keeps the open requests of an entry, to end them before it leaves."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


@dataclass(slots=True)
class OpenRequests:
    """The requests that are being served."""

    count: int = 0
    scopes: set[anyio.CancelScope] = field(default_factory=set)

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request while the context is open."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    @contextmanager
    def endable(self) -> Iterator[anyio.CancelScope]:
        """Return a scope that is cancelled when all requests are ended.

        Its owner then sends the final response.
        """
        with anyio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)

    def end_all(self) -> int:
        """Cancel the work on all open requests; return their number."""
        scopes = list(self.scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)

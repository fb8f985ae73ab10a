"""Requests that broke every endpoint that ran them.

Load pattern: a single request crashes each endpoint that begins to run it,
and its caller sends it again. After it has broken three endpoints it is
refused here, so that it can't take the whole service down.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

SUSPECT_ENDPOINTS: Final = 3
KEPT_S: Final = 300.0
# Oldest fingerprints are dropped beyond this.
MAX_FINGERPRINTS: Final = 5_000


@dataclass(slots=True)
class CrashBook:
    """Endpoints that broke while they ran a request, by fingerprint.

    >>> book = CrashBook()
    >>> for endpoint_id in ('a', 'b', 'b', 'c'):
    ...     book.note('f', endpoint_id, now_s=1.0)
    >>> book.is_suspect('f', now_s=2.0), book.is_suspect('f', now_s=400.0)
    (True, False)
    """

    # Time of the latest break by endpoint.
    broken: dict[str, dict[str, float]] = field(default_factory=dict)

    def note(self, fingerprint: str, endpoint_id: str, now_s: float) -> None:
        """An endpoint broke off while it ran a request."""
        self.broken.setdefault(fingerprint, {})[endpoint_id] = now_s
        while len(self.broken) > MAX_FINGERPRINTS:
            del self.broken[next(iter(self.broken))]

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether a request broke too many endpoints lately."""
        seen = self.broken.get(fingerprint)
        if seen is None:
            return False
        recent = [at_s for at_s in seen.values() if now_s - at_s < KEPT_S]
        return len(recent) >= SUSPECT_ENDPOINTS

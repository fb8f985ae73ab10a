"""Records as of when a table is known to hold all changes of the store.

An answer of the store may be delayed on its way, or by a pause of the process
that reads it. Only the time at which the call was sent is certain: all that
was written before it is in the answer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

MS_IN_S: Final = 1000
# Source of what this process has read from the store itself.
OWN_CALL: Final = 'own_call'


def age_ms(since_s: float | None, now_s: float) -> str:
    """Return the time since an event in milliseconds, empty if there was none.

    >>> age_ms(2.0, 2.5), age_ms(-math.inf, 2.5), age_ms(None, 2.5)
    ('500', '', '')
    """
    if since_s is None or math.isinf(since_s):
        return ''
    return str(round((now_s - since_s) * MS_IN_S))


@dataclass(slots=True)
class Confirmation:
    """The latest time whose changes a table is known to hold, and by whom.

    >>> confirmation = Confirmation()
    >>> confirmation.age_s(5.0)
    inf
    >>> confirmation.note(3.0, 'e-1')
    >>> confirmation.note(2.0, OWN_CALL)
    >>> confirmation.age_s(5.0), confirmation.source
    (2.0, 'e-1')
    """

    as_of_s: float = -math.inf
    # Id of the entry whose update it was, or `OWN_CALL`; empty before the first.
    source: str = ''

    def note(self, as_of_s: float, source: str) -> None:
        """Record that a table holds all changes before a time."""
        if as_of_s > self.as_of_s:
            self.as_of_s = as_of_s
            self.source = source

    def age_s(self, now_s: float) -> float:
        """Return for how long nothing is known; infinite before the first."""
        return now_s - self.as_of_s

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the log fields on the age of a table."""
        return {
            'confirmed_ms': age_ms(self.as_of_s, now_s),
            'confirmed_by': self.source,
        }

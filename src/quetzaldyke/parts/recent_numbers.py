"""Recognizes messages that a network delivers twice.

Load pattern: datagrams whose effect must not be repeated, such as permits. Each
sender numbers its messages, and the receiver keeps the latest numbers of each
sender. A message that is older than all of these is taken as repeated: it is
too late to matter.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

KEPT_NUMBERS: Final = 1_024


@dataclass(slots=True)
class RecentNumbers:
    """The latest numbers of each sender.

    >>> recent = RecentNumbers()
    >>> recent.add('a', 7), recent.add('a', 6), recent.add('a', 7)
    (True, True, False)
    """

    # In the order of their arrival.
    by_sender: dict[str, dict[int, None]] = field(default_factory=dict)

    def add(self, sender: str, number: int) -> bool:
        """Store a number; return False if it was there or is too old."""
        numbers = self.by_sender.setdefault(sender, {})
        full = len(numbers) >= KEPT_NUMBERS
        if number in numbers or (full and number < min(numbers)):
            return False
        if full:
            del numbers[next(iter(numbers))]
        numbers[number] = None
        return True

    def keep_senders(self, senders: Container[str]) -> None:
        """Drop the numbers of all other senders."""
        for sender in list(self.by_sender):
            if sender not in senders:
                del self.by_sender[sender]

"""Decides when a peer has ceased to repeat a statement in its answers.

Load pattern: a peer states something in its answers, and nothing but answers
without the statement shows that it no longer holds. A peer that makes the
statement in each answer has ceased to after a few answers without it. Another
makes it in some answers only; the same few answers in a row come by chance
there, now and then, and prove nothing.

The detector therefore learns how many answers in a row usually lack the
statement, and counts only those beyond that. What it has learned fades while
answers make the statement regularly.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Answers in a row without the statement that end it, beyond the usual gap.
END_ANSWERS: Final = 6
# They are this much more for each answer of the usual gap: the longest gap so
# far is often exceeded by some.
GAP_FACTOR: Final = 3
# A longer usual gap is taken as this one, in answers, so that the end is found.
MAX_USUAL_GAP: Final = 10
# Share of the usual gap that remains after each answer with the statement.
GAP_DECAY: Final = 0.95


@dataclass(slots=True)
class EndDetector:
    """What the answers of one peer show of one statement.

    >>> detector = EndDetector()
    >>> [detector.note_absent() for _ in range(END_ANSWERS)][-2:]
    [False, True]
    >>> detector.note_made()
    >>> detector.note_absent(), detector.excess
    (False, 0)
    """

    # Answers in a row that lack the statement.
    absent: int = 0
    # Answers in a row that lacked it before others that had it again.
    usual_gap: float = 0.0

    @property
    def excess(self) -> int:
        """Return the answers in a row that go beyond the usual gap."""
        return max(0, self.absent - round(self.usual_gap))

    def note_made(self) -> None:
        """Count an answer that makes the statement."""
        self.usual_gap = min(
            max(self.absent, self.usual_gap * GAP_DECAY), MAX_USUAL_GAP
        )
        self.absent = 0

    def note_absent(self) -> bool:
        """Count an answer without the statement; return whether it has ended.

        The answers after that are not counted. One that makes the statement
        after all shows that the end was none.
        """
        self.absent += 1
        return self.absent >= END_ANSWERS + GAP_FACTOR * round(self.usual_gap)

"""What an endpoint says in its answers about leaving, and how that ends.

An endpoint that drains says so in the headers of its answers. The word is about
the endpoint, so it counts on any answer, an error or refusal too, and holds for
the endpoint's present lifetime. It ends when the endpoint was down and is up
again, or when several health checks in a row lack it: a restart can be too fast
to be seen, and one faulty answer must not cost an endpoint its work for ever.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Literal

from quetzaldyke.process.logs import LogEvent

LEAVING_HEADER: Final = b'x-endpoint-leaving'
# Health answers in a row without the word that end it.
END_CHECKS: Final = 3

RawHeaders = Sequence[tuple[bytes, bytes]]
OnHead = Callable[[RawHeaders], None]
Word = Literal['leaving', 'absent', 'malformed']


def read_word(headers: RawHeaders) -> Word:
    """Return what the headers of an answer say about leaving.

    >>> read_word([(b'X-Endpoint-Leaving', b'1')])
    'leaving'
    >>> read_word([(b'X-Endpoint-Leaving', b'0')]), read_word([])
    ('absent', 'absent')
    >>> read_word([(b'X-Endpoint-Leaving', b'')])
    'malformed'
    """
    values = {
        value.strip()
        for name, value in headers
        if name.lower() == LEAVING_HEADER
    }
    if values <= {b'0'}:
        return 'absent'
    return 'leaving' if values == {b'1'} else 'malformed'


@dataclass(slots=True)
class EndpointLeaving:
    """Whether the present lifetime of one endpoint is leaving."""

    log_event: LogEvent
    on_change: Callable[[], None]
    leaving: bool = False
    lifetime: int = 0
    # Health answers in a row that lack the word.
    absent_checks: int = 0
    # Answers of this lifetime whose word was malformed and ignored.
    malformed: int = 0

    def watch_answer(self) -> OnHead:
        """Return what reads the head of the answer to a request sent now.

        A word that arrives after the lifetime ended is ignored.
        """
        lifetime = self.lifetime

        def read_head(headers: RawHeaders) -> None:
            word = read_word(headers)
            if lifetime == self.lifetime and word != 'absent':
                self.note_word(word)

        return read_head

    def note_word(self, word: Word) -> None:
        """Apply the word of an answer of this lifetime."""
        if word == 'malformed':
            self.malformed += 1
            if self.malformed == 1:
                self.log_event('leaving_word_malformed')
            return
        self.absent_checks = 0
        if not self.leaving:
            self.leaving = True
            self.log_event('endpoint_leaving')
            self.on_change()

    def note_sound_check(self) -> None:
        """Count a health answer that doesn't say that the endpoint leaves."""
        if not self.leaving:
            return
        self.absent_checks += 1
        if self.absent_checks >= END_CHECKS:
            self.begin_lifetime()

    def begin_lifetime(self) -> None:
        """Start a lifetime without any word."""
        ended = self.leaving
        self.lifetime += 1
        self.leaving = False
        self.absent_checks = 0
        if ended or self.malformed:
            self.log_event('endpoint_leaving_ended', malformed=self.malformed)
        self.malformed = 0
        if ended:
            self.on_change()

"""Merges log files and the fleet's event buffers by timestamp."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final
from urllib.parse import urlencode

from quetzaldyke.commands.http_client import print_response, operators_client
from quetzaldyke.parts.hlc import Stamp
from quetzaldyke.parts.timeline import Event, merge
from quetzaldyke.process.event_query import event_from_row, matches
from quetzaldyke.process.explain import TIME_FIELD
from quetzaldyke.process.log_lines import render_value

MAX_EVENTS: Final = 2000
ESCAPES: Final = {'n': '\n', 'r': '\r'}
MS_IN_S: Final = 1000
EVENT_ATTRIBUTES: Final = frozenset(('event', 'stamp', 'process'))


def split_pairs(line: str) -> Iterator[tuple[str, str]]:
    """Yield the key=value pairs of a log line.

    >>> list(split_pairs('event=x reason="a \\\\"b\\\\" c" n=1'))
    [('event', 'x'), ('reason', 'a "b" c'), ('n', '1')]
    """
    position = 0
    while position < len(line):
        key, equals, rest = line[position:].partition('=')
        if not equals:
            return
        start = position + len(key) + 1
        if rest.startswith('"'):
            text, position = read_quoted(line, start + 1)
        else:
            text = rest.partition(' ')[0]
            position = start + len(text)
        yield key.strip(), text


def read_quoted(line: str, position: int) -> tuple[str, int]:
    """Return an unescaped string and the position after its closing quote."""
    chars: list[str] = []
    while position < len(line) and line[position] != '"':
        if line[position] == '\\':
            position += 1
            escaped = line[position : position + 1]
            chars.append(ESCAPES.get(escaped, escaped))
        else:
            chars.append(line[position])
        position += 1
    return ''.join(chars), position + 1


def parse_stamp(text: str) -> Stamp | None:
    """Parse a hybrid logical clock stamp; return None for other text.

    >>> parse_stamp('00000000000005.00002@e1')
    Stamp(wall_ms=5, counter=2, process='e1')
    """
    numbers, _, process = text.partition('@')
    wall_ms, _, counter = numbers.partition('.')
    if not (wall_ms.isdecimal() and counter.isdecimal() and process):
        return None
    return Stamp(int(wall_ms), int(counter), process)


def stamp_from_time(fields: dict[str, str], line_number: int) -> Stamp | None:
    """Return a stamp made from the Unix time of a line that has no stamp.

    The line number serves as the counter, so that lines logged in the same
    millisecond stay distinct and in order. Returns None without a time or
    process.

    >>> stamp_from_time({'t': '0.005', 'process': 'e1'}, 2)
    Stamp(wall_ms=5, counter=2, process='e1')
    """
    text = fields.get(TIME_FIELD, '')
    seconds, _, fraction = text.partition('.')
    process = fields.get('process', '')
    if not (seconds.isdecimal() and fraction.isdecimal() and process):
        return None
    return Stamp(round(float(text) * MS_IN_S), line_number, process)


def parse_line(line: str, line_number: int = 0) -> Event | None:
    """Parse a log line; return None if it is not an event of this program."""
    fields = dict(split_pairs(line.rstrip('\n')))
    stamp = parse_stamp(fields.get('stamp', '')) or stamp_from_time(
        fields, line_number
    )
    if stamp is None or 'event' not in fields:
        return None
    event_fields = {
        key: text for key, text in fields.items() if key not in EVENT_ATTRIBUTES
    }
    return Event(stamp, fields['event'], event_fields)


def read_log(path: str) -> list[Event]:
    """Return the events of a log file in timestamp order."""
    with Path(path).open(errors='replace') as lines:
        events = [
            event
            for line_number, line in enumerate(lines)
            if (event := parse_line(line, line_number))
        ]
    return sorted(events, key=lambda event: event.stamp)


def read_live(address: str, key: str, contains: str) -> list[Event]:
    """Return the events that an entry collects from its peers, in order."""
    query = urlencode({'contains': contains, 'limit': MAX_EVENTS})
    response = operators_client(address, key).call('GET', f'/events?{query}')
    if not response.ok:
        print_response(response)
    events = [event_from_row(row) for row in response.document()['events']]
    return sorted(
        (event for event in events if event is not None),
        key=lambda event: event.stamp,
    )


def merge_matching(
    buffers: Iterable[list[Event]], contains: str
) -> list[Event]:
    """Return the matching events in timestamp order, without duplicates.

    A file and a live buffer often hold the same event; its stamp is unique.
    """
    by_stamp = {event.stamp: event for event in merge(buffers)}
    return [event for event in by_stamp.values() if matches(event, contains)]


def collect_events(
    files: Iterable[str],
    contains: str,
    address: str,
    key: str,
) -> list[Event]:
    """Return the matching events of log files and of the live fleet.

    The fleet is queried if an address or no file is given.
    """
    buffers = [read_log(str(path)) for path in files]
    if address or not buffers:
        buffers.append(read_live(address, key, contains))
    return merge_matching(buffers, contains)


def render_event(event: Event) -> str:
    """Format an event as one line of key=value pairs."""
    pairs = ' '.join(
        f'{key}={render_value(text)}' for key, text in event.fields.items()
    )
    return f'{event.stamp} {event.name} {pairs}'.rstrip()


def timeline(
    *files: str,
    contains: str = '',
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Print events of log files and the live fleet in timestamp order.

    The fleet is queried if an address or no file is given.
    """
    found = collect_events(
        files, str(contains), operators_address, operator_key
    )
    sys.stdout.writelines(f'{render_event(event)}\n' for event in found)

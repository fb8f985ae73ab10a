"""Resolves deadlines that are given as a local time and an IANA zone.

A local time that a clock change skips resolves to the end of the gap. A
local time that occurs twice resolves to the first occurrence.
"""

from __future__ import annotations

from datetime import datetime, timedelta, timezone, tzinfo
from typing import Final
from zoneinfo import ZoneInfo

from result import Err, Ok, Result

from quetzaldyke.durable.records import Deadline

MS_IN_S: Final = 1000
ONE_SECOND: Final = timedelta(seconds=1)


def load_zone(name: str) -> Result[ZoneInfo, str]:
    """Return a zone of the IANA time zone database, or why it fails."""
    try:
        return Ok(ZoneInfo(name))
    except (KeyError, ValueError, OSError):
        return Err(f'unknown time zone {name!r}')


def resolve_deadline(local: str, zone_name: str) -> Result[Deadline, str]:
    """Return the deadline at a local time in a zone, or why it is invalid.

    >>> resolve_deadline('2026-03-29T03:30', 'Europe/Athens').map(
    ...     lambda deadline: deadline.instant_ms
    ... )
    Ok(1774746000000)
    """
    try:
        local_time = datetime.fromisoformat(local)
    except ValueError:
        return Err(f'deadline {local!r} is not an ISO local time')
    if local_time.tzinfo is not None:
        return Err('deadline must be a local time without a UTC offset')
    zone = load_zone(zone_name)
    if isinstance(zone, Err):
        return zone
    try:
        instant = to_utc(local_time.replace(fold=0), zone.ok_value)
    except OverflowError:
        return Err(f'deadline {local!r} is out of range')
    instant_ms = int(instant.timestamp() * MS_IN_S)
    return Ok(Deadline(local, zone_name, instant_ms))


def to_utc(local_time: datetime, zone: tzinfo) -> datetime:
    """Return the UTC instant of a local time in a zone."""
    before = local_time.replace(tzinfo=zone, fold=0)
    after = local_time.replace(tzinfo=zone, fold=1)
    # Within a gap, fold 0 uses the offset before the change and fold 1 the
    # offset after it, so fold 1 gives the earlier instant.
    early, late = (
        after.astimezone(timezone.utc),
        before.astimezone(timezone.utc),
    )
    if early >= late:
        return late
    return end_of_gap(early, late, zone)


def end_of_gap(early: datetime, late: datetime, zone: tzinfo) -> datetime:
    """Return the instant of the offset change, by bisection.

    `early` must be before the change and `late` after it.
    """
    changed = late.astimezone(zone).utcoffset()
    while late - early > ONE_SECOND:
        middle = early + ((late - early) // 2)
        if middle.astimezone(zone).utcoffset() == changed:
            late = middle
        else:
            early = middle
    return late.replace(microsecond=0)

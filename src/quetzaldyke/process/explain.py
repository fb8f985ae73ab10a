"""Tells one request's or item's history in sentences.

The sentences are read out to callers by people who don't know the system,
so each says what happened and, where that matters, whether the work ran.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timezone
from typing import Final

from quetzaldyke.gateway import history
from quetzaldyke.gateway.history import Fields, Sentence
from quetzaldyke.parts.timeline import Event

MS_IN_S: Final = 1000
# Lines of a platform installation have a Unix time in place of a stamp.
TIME_FIELD: Final = 't'

RAN: Final = {
    'not_run': 'it was certainly not run',
    'ran': 'it had run',
    'unknown': 'it is not known whether it ran',
}


def told(fields: Fields, name: str, default: str = 'an unknown one') -> str:
    """Return a field for a sentence."""
    return fields.get(name) or default


def ran_of(fields: Fields) -> str:
    """Return what a failure says of the work."""
    return RAN.get(fields.get('ran', ''), RAN['unknown'])


def routed(fields: Fields, process: str) -> str:
    """Tell of a try on an endpoint."""
    number = told(fields, 'attempt', '1')
    text = (
        f'{process} sent it to endpoint {told(fields, "endpoint")}, '
        f'try {number}'
    )
    resumed = fields.get('resumed_at', '0')
    if resumed not in {'', '0'}:
        return f'{text}, to go on after {resumed} tokens'
    return text


def failed(fields: Fields, process: str) -> str:
    """Tell of a failed try."""
    return (
        f'Try {told(fields, "attempt", "1")} on endpoint '
        f'{told(fields, "endpoint", process)} failed '
        f'({told(fields, "reason", "no reason given")}); {ran_of(fields)}'
    )


def failed_at_sidecar(fields: Fields, process: str) -> str:
    """Tell of a failure at the endpoint itself."""
    return (
        f'Endpoint {process} stopped working on it after '
        f'{told(fields, "tokens", "0")} tokens '
        f'({told(fields, "reason", "no reason given")}); {ran_of(fields)}'
    )


def refused(fields: Fields, process: str) -> str:
    """Tell of a refusal."""
    return (
        f'{process} refused it ({told(fields, "code", "no reason given")}); '
        f'{ran_of(fields)}'
    )


def started(fields: Fields, process: str) -> str:
    """Tell that an endpoint began."""
    kind = 'a batch item' if fields.get('work') == 'batch' else 'a live request'
    return f'Endpoint {process} began to work on it as {kind}'


def finished(fields: Fields, process: str) -> str:
    """Tell that an endpoint finished."""
    return (
        f'Endpoint {process} finished it with {told(fields, "tokens", "no")} '
        f'tokens and status {told(fields, "status", "unknown")}'
    )


def crashed(fields: Fields, process: str) -> str:
    """Tell of a crash while the request ran."""
    return f'Endpoint {process} crashed while it was working on it'


def ended(fields: Fields, process: str) -> str:
    """Tell that the caller was answered, and by which try."""
    return (
        f'{process} gave the caller the whole answer of endpoint '
        f'{told(fields, "endpoint")}, try {told(fields, "attempt", "1")}, '
        f'with {told(fields, "tokens", "no")} tokens'
    )


def item_started(fields: Fields, process: str) -> str:
    """Tell that an item got a slot."""
    return (
        f'{process} gave the item of job {told(fields, "job_id")} to endpoint '
        f'{told(fields, "endpoint")}'
    )


def item_ended(fields: Fields, process: str) -> str:
    """Tell whether an item has its result."""
    if fields.get('recordable') == 'True':
        return f'{process} took its result to record it'
    return f'{process} got no result and put the item back in line'


def claimed(fields: Fields, process: str) -> str:
    """Tell who took over a segment."""
    return (
        f'{process} took over part {told(fields, "segment")} of job '
        f'{told(fields, "job_id")}'
    )


def cancelled(fields: Fields, process: str) -> str:
    """Tell that a job was stopped at a process."""
    return (
        f'{process} stopped job {told(fields, "job_id")}; '
        f'{told(fields, "running", "0")} of its items were running there'
    )


def patched(fields: Fields, process: str) -> str:
    """Tell what became of a configuration patch."""
    outcome = told(fields, 'outcome', 'unknown')
    if outcome == 'accepted':
        return (
            f'{process} accepted the patch as version {told(fields, "version")}'
        )
    return f'{process} did not accept the patch ({outcome})'


def moved(fields: Fields, process: str) -> str:
    """Tell of a replica that changed its pool."""
    return (
        f'{process} moved endpoint {told(fields, "endpoint")} from pool '
        f'{told(fields, "from_pool")} to pool {told(fields, "to_pool")}'
    )


SENTENCES: Final[dict[str, Sentence]] = {
    'request_routed': routed,
    'attempt_failed': failed,
    'request_failed': failed_at_sidecar,
    'request_refused': refused,
    'request_started': started,
    'request_finished': finished,
    'endpoint_crashed': crashed,
    'request_ended': ended,
    'item_started': item_started,
    'item_ended': item_ended,
    'segment_claimed': claimed,
    'job_cancelled': cancelled,
    'config_patch': patched,
    'replica_moved': moved,
}


def other(event: Event) -> str:
    """Tell of an event that has no sentence of its own."""
    pairs = ', '.join(
        f'{key} {text}'
        for key, text in event.fields.items()
        if key != TIME_FIELD
    )
    name = event.name.replace('_', ' ')
    suffix = f' ({pairs})' if pairs else ''
    return f'{event.stamp.process} noted: {name}{suffix}'


def clock_time(event: Event) -> str:
    """Return the time of an event, in UTC."""
    at = datetime.fromtimestamp(event.stamp.wall_ms / MS_IN_S, timezone.utc)
    return at.strftime('%H:%M:%S')


def is_of_gateway(event: Event) -> bool:
    """Tell whether a process of a platform installation logged an event."""
    return TIME_FIELD in event.fields


def sentence_of(event: Event) -> str:
    """Return the sentence of one event."""
    known = history.SENTENCES if is_of_gateway(event) else SENTENCES
    tell = known.get(event.name)
    if tell is None:
        return other(event)
    return tell(event.fields, event.stamp.process)


def explain(subject: str, events: Sequence[Event]) -> str:
    """Return the history of a request, item, job or patch.

    Events must be in stamp order. Without events it says so, since that
    does not mean that nothing happened.
    """
    if not events:
        return (
            f'Nothing is known of {subject}. Processes keep only their latest '
            'events; the log files may have more.\n'
        )
    day = datetime.fromtimestamp(
        events[0].stamp.wall_ms / MS_IN_S,
        timezone.utc,
    ).strftime('%Y-%m-%d')
    lines = [f'History of {subject} on {day}; times are UTC.']
    lines.extend(
        f'At {clock_time(event)}: {sentence_of(event)}.' for event in events
    )
    lines.append(outcome_of(events))
    return ''.join(f'{line}\n' for line in lines)


def outcome_of(events: Sequence[Event]) -> str:
    """Return the sentence that sums up how it stands."""
    of_gateway = history.outcome_of(
        [one for one in events if is_of_gateway(one)]
    )
    if of_gateway:
        return of_gateway
    names = [event.name for event in events]
    if 'request_ended' in names:
        return 'The caller has the whole answer.'
    if 'item_ended' in names and names[-1] == 'item_ended':
        return 'See the job for whether the result is recorded.'
    if 'request_refused' in names:
        return 'The caller was told that it was refused.'
    return 'No end of it is known yet.'

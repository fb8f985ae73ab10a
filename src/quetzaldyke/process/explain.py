"""Describes the history of a request, item, job or patch in sentences.

People who don't know the system read the sentences out to callers, so each
says what happened and, where that matters, whether the work ran.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timezone
from typing import Final

from quetzaldyke.gateway import history
from quetzaldyke.gateway.history import Fields, Sentence
from quetzaldyke.parts.timeline import Event

MS_IN_S: Final = 1000
# Field of events logged by a platform installation: a Unix time, which they
# have instead of a stamp.
TIME_FIELD: Final = 't'

RUN_CLAUSES: Final = {
    'not_run': 'it was certainly not run',
    'ran': 'it had run',
    'unknown': 'it is not known whether it ran',
}


def field(fields: Fields, name: str, default: str = 'an unknown one') -> str:
    """Return a field's text, or the default if it is absent or empty."""
    return fields.get(name) or default


def run_clause(fields: Fields) -> str:
    """Return the clause that says whether the work ran."""
    return RUN_CLAUSES.get(fields.get('ran', ''), RUN_CLAUSES['unknown'])


def routed(fields: Fields, process: str) -> str:
    """Describe an attempt on an endpoint."""
    number = field(fields, 'attempt', '1')
    text = (
        f'{process} sent it to endpoint {field(fields, "endpoint")}, '
        f'try {number}'
    )
    resumed = fields.get('resumed_at', '0')
    if resumed not in {'', '0'}:
        return f'{text}, to go on after {resumed} tokens'
    return text


def attempt_failed(fields: Fields, process: str) -> str:
    """Describe a failed attempt; missing fields get default texts.

    Names the logging process if the event has no endpoint.
    """
    return (
        f'Try {field(fields, "attempt", "1")} on endpoint '
        f'{field(fields, "endpoint", process)} failed '
        f'({field(fields, "reason", "no reason given")}); '
        f'{run_clause(fields)}'
    )


def failed_at_sidecar(fields: Fields, process: str) -> str:
    """Describe a failure reported by the endpoint's sidecar."""
    return (
        f'Endpoint {process} stopped working on it after '
        f'{field(fields, "tokens", "0")} tokens '
        f'({field(fields, "reason", "no reason given")}); '
        f'{run_clause(fields)}'
    )


def refused(fields: Fields, process: str) -> str:
    """Describe a refusal and its code."""
    return (
        f'{process} refused it ({field(fields, "code", "no reason given")}); '
        f'{run_clause(fields)}'
    )


def started(fields: Fields, process: str) -> str:
    """Describe that an endpoint started the work."""
    kind = 'a batch item' if fields.get('work') == 'batch' else 'a live request'
    return f'Endpoint {process} began to work on it as {kind}'


def finished(fields: Fields, process: str) -> str:
    """Describe that an endpoint finished the work."""
    return (
        f'Endpoint {process} finished it with {field(fields, "tokens", "no")} '
        f'tokens and status {field(fields, "status", "unknown")}'
    )


def crashed(fields: Fields, process: str) -> str:
    """Describe a crash of the endpoint that ran the request."""
    return f'Endpoint {process} crashed while it was working on it'


def ended(fields: Fields, process: str) -> str:
    """Describe which attempt gave the caller the complete answer."""
    return (
        f'{process} gave the caller the whole answer of endpoint '
        f'{field(fields, "endpoint")}, try {field(fields, "attempt", "1")}, '
        f'with {field(fields, "tokens", "no")} tokens'
    )


def item_started(fields: Fields, process: str) -> str:
    """Describe that a batch item was sent to an endpoint."""
    return (
        f'{process} gave the item of job {field(fields, "job_id")} to endpoint '
        f'{field(fields, "endpoint")}'
    )


def item_ended(fields: Fields, process: str) -> str:
    """Describe whether an attempt of an item has a result."""
    if fields.get('recordable') == 'True':
        return f'{process} took its result to record it'
    return f'{process} got no result and put the item back into the queue'


def claimed(fields: Fields, process: str) -> str:
    """Describe which process claimed a segment of a job."""
    return (
        f'{process} took over part {field(fields, "segment")} of job '
        f'{field(fields, "job_id")}'
    )


def cancelled(fields: Fields, process: str) -> str:
    """Describe that a process stopped a cancelled job."""
    return (
        f'{process} stopped job {field(fields, "job_id")}; '
        f'{field(fields, "running", "0")} of its items were running there'
    )


def patched(fields: Fields, process: str) -> str:
    """Describe the outcome of a configuration patch."""
    outcome = field(fields, 'outcome', 'unknown')
    if outcome == 'accepted':
        return (
            f'{process} accepted the patch as version '
            f'{field(fields, "version")}'
        )
    return f'{process} did not accept the patch ({outcome})'


def moved(fields: Fields, process: str) -> str:
    """Describe that a replica was moved to another pool."""
    return (
        f'{process} moved endpoint {field(fields, "endpoint")} from pool '
        f'{field(fields, "from_pool")} to pool {field(fields, "to_pool")}'
    )


SENTENCES: Final[dict[str, Sentence]] = {
    'request_routed': routed,
    'attempt_failed': attempt_failed,
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


def generic_sentence(event: Event) -> str:
    """Describe an event without a sentence of its own by its fields."""
    pairs = ', '.join(
        f'{key} {text}'
        for key, text in event.fields.items()
        if key != TIME_FIELD
    )
    name = event.name.replace('_', ' ')
    suffix = f' ({pairs})' if pairs else ''
    return f'{event.stamp.process} logged: {name}{suffix}'


def clock_time(event: Event) -> str:
    """Return the time of day of an event, in UTC."""
    at = datetime.fromtimestamp(event.stamp.wall_ms / MS_IN_S, timezone.utc)
    return at.strftime('%H:%M:%S')


def is_gateway_event(event: Event) -> bool:
    """Tell whether a process of a platform installation logged an event."""
    return TIME_FIELD in event.fields


def sentence_of(event: Event) -> str:
    """Return the sentence of one event."""
    known = history.SENTENCES if is_gateway_event(event) else SENTENCES
    describe = known.get(event.name)
    if describe is None:
        return generic_sentence(event)
    return describe(event.fields, event.stamp.process)


def explain(subject: str, events: Sequence[Event]) -> str:
    """Return the history of a request, item, job or patch.

    Events must be in stamp order. If there are none, the text says that this
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
    """Return the sentence on the final or last known state."""
    gateway_outcome = history.outcome_of(
        [one for one in events if is_gateway_event(one)]
    )
    if gateway_outcome:
        return gateway_outcome
    names = [event.name for event in events]
    if 'request_ended' in names:
        return 'The caller has the whole answer.'
    if 'item_ended' in names and names[-1] == 'item_ended':
        return 'See the job for whether the result is recorded.'
    if 'request_refused' in names:
        return 'The caller was told that it was refused.'
    return 'No end of it is known yet.'

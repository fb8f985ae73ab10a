"""Sentences about the events that the processes of the platform log.

They serve `quetzaldyke explain`: each says what happened to a request, item
or job, what decided it, and where that matters whether the work ran.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from quetzaldyke.parts.timeline import Event

Fields = dict[str, str]
Sentence = Callable[[Fields, str], str]

REFUSALS: Final = {
    'no_slot_in_time': 'its objective would have passed before a slot is free',
    'waited_too_long': 'no slot became free while it waited',
    'no_endpoint': 'no endpoint of its service is known',
    'crashes_endpoints': 'it broke three endpoints lately',
    'no_configuration': 'the entry had no configuration yet',
    'configuration_too_old': 'the configuration may be an old one',
}


def served(fields: Fields, process: str) -> str:
    """Tell that the caller has the whole answer."""
    return (
        f'{process} passed the whole answer of endpoint '
        f'{fields.get("endpoint")} on, {fields.get("elapsed_ms")} ms after '
        'the request came'
    )


def failed(fields: Fields, process: str) -> str:
    """Tell how a request ended that was not served."""
    status = fields.get('status', '')
    ends = {
        'broken': 'cut the answer short',
        'caller_left': 'stopped the work because the caller had left',
    }
    end = ends.get(status, f'answered with status {status}')
    sends = fields.get('sends', '0')
    ran = (
        'no endpoint got the request'
        if sends == '0'
        else f'endpoints that got it: {sends}, that may have run it: '
        f'{fields.get("attempts", "0")}'
    )
    reason = fields.get('reason', '')
    because = f' ({reason})' if reason else ''
    elapsed_ms = fields.get('elapsed_ms', '0')
    return f'{process} {end} after {elapsed_ms} ms{because}; {ran}'


def not_placed(fields: Fields, process: str) -> str:
    """Tell why a request got no slot."""
    reason = fields.get('reason', '')
    return (
        f'{process} found no place for it: {REFUSALS.get(reason, reason)} '
        f'({fields.get("slots", "0")} slots, {fields.get("waiting", "0")} '
        f'waiting here, {fields.get("waiting_elsewhere", "0")} at other '
        f'entries, expected wait {fields.get("expected_wait_ms", "0")} ms); '
        f'the caller may return after {fields.get("retry_after_s", "0")} s'
    )


def refused(fields: Fields, process: str) -> str:
    """Tell of a request that could not be judged."""
    reason = fields.get('reason', '')
    return f'{process} refused it: {REFUSALS.get(reason, reason)}'


def attempt_failed(fields: Fields, process: str) -> str:
    """Tell of a failed try at an endpoint."""
    ejected = fields.get('ejected_s', '0.0')
    after = (
        f'; the endpoint gets no work from here for {ejected} s'
        if ejected not in {'0', '0.0'}
        else ''
    )
    last_event = fields.get('last_event', 'None')
    passed = (
        'no whole event was passed on'
        if last_event == 'None'
        else f'event {last_event} was the last one passed on whole'
    )
    return (
        f'{process} lost its try at endpoint {fields.get("endpoint")} after '
        f'{fields.get("waited_ms", "0")} ms: {fields.get("failure")}; '
        f'{passed}{after}'
    )


def item_failed(fields: Fields, process: str) -> str:
    """Tell of an item that an endpoint could not do."""
    ran = 'ran' if fields.get('ran') == 'True' else 'did not run'
    return (
        f'Endpoint {fields.get("endpoint")} answered {process} with status '
        f'{fields.get("status")}; the item {ran}, failed runs so far: '
        f'{fields.get("failures", "0")}'
    )


def item_interrupted(fields: Fields, process: str) -> str:
    """Tell of a run that ended early."""
    return (
        f'The run at endpoint {fields.get("endpoint")} broke off for '
        f'{process}: {fields.get("failure")}; {fields.get("events", "0")} '
        'events are kept and the item goes on elsewhere'
    )


def item_preempted(fields: Fields, process: str) -> str:
    """Tell of a run that made room for an online request."""
    return (
        f'{process} took the item off endpoint {fields.get("endpoint")} to '
        f'make room for an online request; {fields.get("events", "0")} '
        'events are kept'
    )


def item_done(fields: Fields, process: str) -> str:
    """Tell that an item has its result."""
    if fields.get('completed') == 'True':
        return f"{process} has the item's whole output"
    return (
        f'{process} gave the item up after {fields.get("failures", "0")} '
        'failed runs'
    )


def job_refused(fields: Fields, process: str) -> str:
    """Tell why a job was not accepted."""
    reasons = {
        'store_down': 'the store does not answer',
        'unavailable': 'the store did not take it',
        'over_quota': 'too many tokens wait already',
        'unknown': 'it is not known whether the store took it',
    }
    reason = fields.get('reason', '')
    return f'{process} did not accept the job: {reasons.get(reason, reason)}'


def results_not_listed(fields: Fields, process: str) -> str:
    """Tell of results that could not be written yet."""
    return (
        f'{process} could not list {fields.get("results", "0")} results '
        f'({fields.get("reason")}); it tries again'
    )


SENTENCES: Final[dict[str, Sentence]] = {
    'request_served': served,
    'request_failed': failed,
    'request_not_placed': not_placed,
    'request_refused': refused,
    'attempt_failed': attempt_failed,
    'item_failed': item_failed,
    'item_interrupted': item_interrupted,
    'item_preempted': item_preempted,
    'item_done': item_done,
    'job_refused': job_refused,
    'results_not_listed': results_not_listed,
}
ENDS: Final = {
    'request_served': 'The caller has the whole answer.',
    'item_done': 'See the job for whether the result is listed.',
}


def outcome_of(events: Sequence[Event]) -> str:
    """Return the sentence that sums up how it stands, or nothing."""
    for event in reversed(events):
        if event.name in ENDS:
            return ENDS[event.name]
        if event.name == 'request_failed':
            return failure_outcome(event.fields)
        if event.name == 'job_refused':
            return 'The caller was told that the job was not accepted.'
    return ''


def failure_outcome(fields: Fields) -> str:
    """Return what the caller of a failed request knows."""
    if fields.get('status') == '503':
        return 'The caller was told that it has not run and when to return.'
    if fields.get('status') == 'caller_left':
        return 'The caller left before the answer was whole.'
    return 'The caller saw a failure; the request may have run.'

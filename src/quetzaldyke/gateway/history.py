"""Describes logged events of a platform installation in sentences.

`quetzaldyke explain` prints them. Each sentence says what happened to a
request, item or job and why, and whether the work ran if that matters.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from quetzaldyke.parts.timeline import Event

Fields = dict[str, str]
Sentence = Callable[[Fields, str], str]

REFUSAL_REASONS: Final = {
    'displaced': 'requests of organisations that use less went before it',
    'no_slot_in_time': 'no slot is expected in time for its latency objective',
    'waited_too_long': 'no slot became free while it waited',
    'no_endpoint': 'no endpoint of its service is known',
    'crashes_endpoints': 'requests like it crashed several endpoints',
    'no_configuration': 'the entry had no configuration yet',
    'configuration_too_old': 'the configuration may be out of date',
    'organisation_rate': 'its organisation is beyond its rate',
    'keys_unconfirmed': 'the store has not confirmed for too long that keys hold',
    'too_many_unknown_keys': 'too many requests with unknown keys waited',
}


def describe_served(fields: Fields, process: str) -> str:
    """Describe a request whose response was relayed completely."""
    return (
        f'{process} relayed the whole answer of endpoint '
        f'{fields.get("endpoint")}, {fields.get("elapsed_ms")} ms after '
        'the request arrived'
    )


def describe_failed(fields: Fields, process: str) -> str:
    """Describe how a request ended that was not served."""
    status = fields.get('status', '')
    results = {
        'broken': 'cut the answer short',
        'caller_left': 'stopped the work because the caller had left',
    }
    result = results.get(status, f'answered with status {status}')
    sends = fields.get('sends', '0')
    ran = (
        'no endpoint got the request'
        if sends == '0'
        else f'endpoints that got it: {sends}, that may have run it: '
        f'{fields.get("attempts", "0")}'
    )
    reason = fields.get('reason', '')
    explanation = f' ({reason})' if reason else ''
    elapsed_ms = fields.get('elapsed_ms', '0')
    return f'{process} {result} after {elapsed_ms} ms{explanation}; {ran}'


def describe_not_placed(fields: Fields, process: str) -> str:
    """Describe why no slot was reserved for a request."""
    reason = fields.get('reason', '')
    return (
        f'{process} found no slot for it: '
        f'{REFUSAL_REASONS.get(reason, reason)} '
        f'({fields.get("slots", "0")} slots, {fields.get("waiting", "0")} '
        f'waiting here, {fields.get("waiting_elsewhere", "0")} at other '
        f'entries, expected wait {fields.get("expected_wait_ms", "0")} ms); '
        f'the caller may return after {fields.get("retry_after_s", "0")} s'
    )


def describe_suspected(fields: Fields, process: str) -> str:
    """Describe why a request that may crash endpoints was refused."""
    return (
        f'{process} refused it: endpoints crashed under requests with '
        f'{fields.get("trait")} (score {fields.get("score")}); the caller may '
        f'return after {fields.get("retry_after_s", "0")} s'
    )


def describe_refused(fields: Fields, process: str) -> str:
    """Describe a request refused for lack of a current configuration."""
    reason = fields.get('reason', '')
    return f'{process} refused it: {REFUSAL_REASONS.get(reason, reason)}'


def describe_unauthorized(fields: Fields, process: str) -> str:
    """Describe a request that was rejected for its API key."""
    reasons = {
        'no_key': 'it brought no API key, or no single one',
        'unknown_key': 'no organisation holds its API key',
    }
    reason = fields.get('reason', '')
    return (
        f'{process} rejected it with 401: {reasons.get(reason, reason)} by '
        f'version {fields.get("config")} of the configuration'
    )


def describe_attempt_failed(fields: Fields, process: str) -> str:
    """Describe a failed attempt at an endpoint."""
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
        f'{process} had a failed attempt at endpoint '
        f'{fields.get("endpoint")} after '
        f'{fields.get("waited_ms", "0")} ms: {fields.get("failure")}; '
        f'{passed}{after}'
    )


def describe_item_failed(fields: Fields, process: str) -> str:
    """Describe an item to which an endpoint responded with an error."""
    ran = 'ran' if fields.get('ran') == 'True' else 'did not run'
    return (
        f'Endpoint {fields.get("endpoint")} answered {process} with status '
        f'{fields.get("status")}; the item {ran}, failed runs so far: '
        f'{fields.get("failures", "0")}'
    )


def describe_item_interrupted(fields: Fields, process: str) -> str:
    """Describe a run whose response ended early."""
    return (
        f'The run at endpoint {fields.get("endpoint")} was interrupted for '
        f'{process}: {fields.get("failure")}; {fields.get("events", "0")} '
        'events are kept and the item resumes at another endpoint'
    )


def describe_item_preempted(fields: Fields, process: str) -> str:
    """Describe a run that was preempted for an online request."""
    return (
        f'{process} preempted the item on endpoint {fields.get("endpoint")} to '
        f'make room for an online request; {fields.get("events", "0")} '
        'events are kept'
    )


def describe_item_done(fields: Fields, process: str) -> str:
    """Describe the result of an item."""
    if fields.get('completed') == 'True':
        return f"{process} has the item's whole output"
    return (
        f'{process} abandoned the item after {fields.get("failures", "0")} '
        'failed runs'
    )


def describe_job_refused(fields: Fields, process: str) -> str:
    """Describe why a job was not accepted."""
    reasons = {
        'store_down': 'the store does not answer',
        'unavailable': 'the store did not accept the write',
        'over_quota': 'too many tokens are queued already',
        'too_large': 'the store can never keep a job of this size',
        'id_taken': 'a job of another organisation has its id',
        'unknown': 'it is not known whether the store applied the write',
    }
    reason = fields.get('reason', '')
    return f'{process} did not accept the job: {reasons.get(reason, reason)}'


def describe_results_not_listed(fields: Fields, process: str) -> str:
    """Describe results that could not be written to the store yet."""
    return (
        f'{process} could not list {fields.get("results", "0")} results '
        f'({fields.get("reason")}); it will retry'
    )


SENTENCES: Final[dict[str, Sentence]] = {
    'request_served': describe_served,
    'request_failed': describe_failed,
    'request_not_placed': describe_not_placed,
    'request_refused': describe_refused,
    'request_suspected': describe_suspected,
    'request_unauthorized': describe_unauthorized,
    'attempt_failed': describe_attempt_failed,
    'item_failed': describe_item_failed,
    'item_interrupted': describe_item_interrupted,
    'item_preempted': describe_item_preempted,
    'item_done': describe_item_done,
    'job_refused': describe_job_refused,
    'results_not_listed': describe_results_not_listed,
}
OUTCOMES: Final = {
    'request_served': 'The caller has the whole answer.',
    'item_done': 'See the job for whether the result is listed.',
}


def outcome_of(events: Sequence[Event]) -> str:
    """Return a sentence about the current outcome; empty if unknown."""
    for event in reversed(events):
        if event.name in OUTCOMES:
            return OUTCOMES[event.name]
        if event.name == 'request_failed':
            return failure_outcome(event.fields)
        if event.name == 'job_refused':
            return 'The caller was told that the job was not accepted.'
    return ''


def failure_outcome(fields: Fields) -> str:
    """Return a sentence about what the caller of a failed request saw."""
    if fields.get('status') == '503':
        return 'The caller was told that it has not run and when to return.'
    if fields.get('status') == 'caller_left':
        return 'The caller left before the answer was whole.'
    return 'The caller saw a failure; the request may have run.'

"""Runs one batch item at one endpoint and returns the result to record."""

from __future__ import annotations

import json
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.calls import CallEvent
from quetzaldyke.connection.messages import (
    CRASHES_ENDPOINTS,
    ENDPOINT_CRASHED,
    SESSION_LOST,
    Chunk,
    End,
    Failed,
    Submit,
)
from quetzaldyke.durable.records import ItemResult
from quetzaldyke.process.batch_state import OwnedSegment, Partial
from quetzaldyke.process.fleet import SidecarLink
from quetzaldyke.request.prompt_parts import prompt_parts

# Time limit of one attempt of an item at one endpoint.
ITEM_TIMEOUT_MS: Final = 600_000
MAX_RESULT_BYTES: Final = 800_000
BAD_REQUEST: Final = 400
SERVER_FAULT: Final = 500
REQUEST_ID_BYTES: Final = 4
CHAT_PATH: Final = '/v1/chat/completions'
# The item was stopped for the sake of other work.
INTERRUPTED_REASONS: Final = frozenset(
    ('preempted', 'job_cancelled', 'leaving')
)
# The endpoint or its instance ended while it ran the item, which is still owed:
# endpoints also end for other reasons. Sidecars limit how often it may run.
CRASH_REASONS: Final = frozenset(
    (ENDPOINT_CRASHED, CRASHES_ENDPOINTS, SESSION_LOST)
)
# A held item is offered again after this time.
HELD_ITEM_DELAY_S: Final = 1.0

RunOn = Callable[[SidecarLink, Submit], AsyncIterator[CallEvent]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One run of an item at an endpoint that granted it."""

    segment: OwnedSegment
    index: int
    link: SidecarLink
    grant_id: int
    fingerprint: str

    @property
    def try_number(self) -> int:
        """Return one more than the item's failed tries so far."""
        return self.segment.tries.get(self.index, 0) + 1

    def submit(self, request_id: str) -> Submit:
        """Return the message that starts the item.

        Text of an interrupted attempt goes along, to be continued.
        """
        item = self.segment.items[self.index]
        partial = self.segment.partials.get(self.index, Partial('', 0))
        job = self.segment.job
        return Submit(
            request_id=request_id,
            work='batch',
            idempotent=True,
            organisation=job.organisation,
            pool=job.pool,
            method='POST',
            path=item.url,
            headers={'content-type': 'application/json'},
            body=item.body,
            stream=True,
            remaining_ms=ITEM_TIMEOUT_MS,
            fingerprint=self.fingerprint,
            parts=list(prompt_parts(job.pool, item.body)),
            resume_text=partial.text,
            resume_tokens=partial.tokens,
            grant_id=self.grant_id,
            job_id=job.job_id,
            attempt=self.try_number,
        )


def request_id_of(attempt: Attempt) -> str:
    """Return a new request id for an attempt, with a random suffix."""
    segment = attempt.segment
    token = secrets.token_hex(REQUEST_ID_BYTES)
    return f'{segment.job.job_id}-{segment.number}-{attempt.index}-{token}'


@dataclass(slots=True)
class AttemptOutput:
    """Output of one attempt; its text continues that of `resumed`."""

    resumed: Partial
    text_parts: list[str] = field(default_factory=list)
    raw_parts: list[bytes] = field(default_factory=list)
    tokens: int = 0
    last: End | Failed | None = None

    @property
    def text(self) -> str:
        """Return the text that this attempt generated."""
        return ''.join(self.text_parts)

    def add(self, event: CallEvent) -> None:
        """Add the content of a chunk, or keep the attempt's last event."""
        match event:
            case Chunk():
                self.text_parts.append(event.text)
                self.raw_parts.append(event.raw)
                self.tokens += event.tokens
            case End() | Failed():
                self.last = event

    @property
    def interrupted(self) -> bool:
        """Return whether the attempt was stopped for no fault of the item."""
        last = self.last
        return isinstance(last, Failed) and last.reason in INTERRUPTED_REASONS

    @property
    def held(self) -> bool:
        """Return whether a sidecar refused the item for earlier crashes."""
        last = self.last
        return (
            isinstance(last, Failed)
            and last.ran == 'not_run'
            and last.reason in CRASH_REASONS
        )

    def partial(self) -> Partial:
        """Return the whole text so far, so that another attempt continues it.

        A failure carries the attempt's text, because chunks may have been lost
        on the way. Of the two texts the longer one is the more recent.
        """
        text, tokens = self.text, self.tokens
        failed = self.last
        if isinstance(failed, Failed) and len(failed.partial_text) > len(text):
            text, tokens = failed.partial_text, failed.partial_tokens
        return Partial(
            f'{self.resumed.text}{text}',
            self.resumed.tokens + tokens,
        )


async def collect_output(
    run: RunOn,
    attempt: Attempt,
    submit: Submit,
) -> AttemptOutput:
    """Run an attempt to its last event; return its output."""
    resumed = Partial(submit.resume_text, submit.resume_tokens)
    output = AttemptOutput(resumed)
    events = run(attempt.link, submit)
    async with aclosing(events) as open_events:  # type: ignore[type-var]
        async for event in open_events:
            output.add(event)
    return output


def result_of(
    attempt: Attempt,
    output: AttemptOutput,
    max_tries: int,
    now_ms: int,
) -> ItemResult | None:
    """Return the result to record, or None when the item must run again.

    A status below 400 is a success, one from 400 to 499 an invalid item. Any
    other end counts as a try, unless the item didn't run, was interrupted or
    lost its endpoint.
    """
    match output.last:
        case End(status=status) if status < BAD_REQUEST:
            return completed_result(attempt, output, output.last, now_ms)
        case End(status=status) if status < SERVER_FAULT:
            return rejected_result(attempt, output.last, now_ms)
        case Failed(ran='not_run'):
            return None
        case Failed(reason=reason) if (
            reason in INTERRUPTED_REASONS or reason in CRASH_REASONS
        ):
            return None
    return count_try(
        attempt,
        failure_reason(output.last),
        max_tries,
        now_ms,
    )


def count_try(
    attempt: Attempt,
    reason: str,
    max_tries: int,
    now_ms: int,
) -> ItemResult | None:
    """Count a failed try; return a result only for the last allowed one."""
    if attempt.try_number >= max_tries:
        return failed_result(attempt, 'too_many_tries', reason, now_ms)
    attempt.segment.tries[attempt.index] = attempt.try_number
    return None


def failure_reason(last: End | Failed | None) -> str:
    """Return why an attempt failed, as text for the item's record."""
    if isinstance(last, Failed):
        return last.reason
    if isinstance(last, End):
        return f'the endpoint answered with status {last.status}'
    return 'the answer ended without its end mark'


def failed_result(
    attempt: Attempt,
    code: str,
    reason: str,
    now_ms: int,
) -> ItemResult:
    """Return the record of an item that failed for good."""
    return ItemResult(
        attempt.index,
        0,
        b'',
        code,
        reason,
        attempt.try_number,
        attempt.link.instance.instance,
        now_ms,
    )


def rejected_result(attempt: Attempt, end: End, now_ms: int) -> ItemResult:
    """Return the record of an item that the engine rejected as invalid."""
    return ItemResult(
        attempt.index,
        end.status,
        json_body(end.body),
        'invalid_item',
        f'the endpoint answered with status {end.status}',
        attempt.try_number,
        attempt.link.instance.instance,
        now_ms,
    )


def json_body(raw: bytes) -> bytes:
    """Return a body as JSON on one line; other text becomes a JSON string."""
    try:
        parsed = json.loads(raw)
    except ValueError:
        parsed = raw.decode(errors='replace')
    return json.dumps(parsed, separators=(',', ':')).encode()


def completed_result(
    attempt: Attempt,
    output: AttemptOutput,
    end: End,
    now_ms: int,
) -> ItemResult:
    """Return the record of a complete response.

    A response over the size limit is recorded as a failure instead.
    """
    body = response_body(attempt, output, end)
    if len(body) > MAX_RESULT_BYTES:
        return failed_result(
            attempt,
            'result_too_large',
            f'the result has {len(body)} bytes',
            now_ms,
        )
    return ItemResult(
        attempt.index,
        end.status,
        body,
        tries=attempt.try_number,
        endpoint=attempt.link.instance.instance,
        finished_ms=now_ms,
    )


def response_body(attempt: Attempt, output: AttemptOutput, end: End) -> bytes:
    """Return the response body, in the API's format for the item's path.

    A body that the endpoint sent itself is kept as it is.
    """
    raw = b''.join((*output.raw_parts, end.body))
    if raw:
        return json_body(raw)
    item = attempt.segment.items[attempt.index]
    text = f'{output.resumed.text}{output.text}'
    choice: dict[str, object] = {'index': 0}
    if item.url == CHAT_PATH:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    choice['finish_reason'] = end.finish_reason
    total = end.prompt_tokens + end.completion_tokens
    document = {
        'object': 'chat.completion'
        if item.url == CHAT_PATH
        else 'text_completion',
        'model': attempt.segment.job.pool,
        'choices': [choice],
        'usage': {
            'prompt_tokens': end.prompt_tokens,
            'completion_tokens': end.completion_tokens,
            'total_tokens': total,
        },
    }
    return json.dumps(document, separators=(',', ':')).encode()

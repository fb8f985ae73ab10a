"""Runs one batch item at one endpoint and judges its outcome."""

from __future__ import annotations

import json
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.calls import CallEvent
from quetzaldyke.connection.messages import Chunk, End, Failed, Submit
from quetzaldyke.durable.records import ItemResult
from quetzaldyke.process.batch_state import OwnedSegment, Partial
from quetzaldyke.process.fleet import SidecarLink

# Longest run of one item at one endpoint.
ITEM_TIMEOUT_MS: Final = 600_000
MAX_RESULT_BYTES: Final = 800_000
BAD_REQUEST: Final = 400
SERVER_FAULT: Final = 500
REQUEST_ID_BYTES: Final = 4
CHAT_PATH: Final = '/v1/chat/completions'
CRASHES_ENDPOINTS: Final = 'crashes_endpoints'
# Ends that say nothing about the item; they don't count as a try.
NOT_A_TRY: Final = frozenset(('preempted', 'job_cancelled', 'leaving'))

RunOn = Callable[[SidecarLink, Submit], AsyncIterator[CallEvent]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One start of an item."""

    segment: OwnedSegment
    index: int
    link: SidecarLink
    grant_id: int
    fingerprint: str

    @property
    def tries(self) -> int:
        """Return the number of this try."""
        return self.segment.tries.get(self.index, 0) + 1

    def submit(self, request_id: str) -> Submit:
        """Return the message that starts the item."""
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
            resume_text=partial.text,
            resume_tokens=partial.tokens,
            grant_id=self.grant_id,
            job_id=job.job_id,
            attempt=self.tries,
        )


def request_id_of(attempt: Attempt) -> str:
    """Return the id of an attempt; every attempt has another one."""
    segment = attempt.segment
    token = secrets.token_hex(REQUEST_ID_BYTES)
    return f'{segment.job.job_id}-{segment.number}-{attempt.index}-{token}'


@dataclass(slots=True)
class Received:
    """What one attempt has produced; text goes on after `resumed`."""

    resumed: Partial
    texts: list[str] = field(default_factory=list)
    raws: list[bytes] = field(default_factory=list)
    tokens: int = 0
    last: End | Failed | None = None

    @property
    def text(self) -> str:
        """Return the text of this attempt."""
        return ''.join(self.texts)

    def add(self, event: CallEvent) -> None:
        """Take one event."""
        match event:
            case Chunk():
                self.texts.append(event.text)
                self.raws.append(event.raw)
                self.tokens += event.tokens
            case End() | Failed():
                self.last = event

    @property
    def interrupted(self) -> bool:
        """Tell whether the attempt was stopped through no fault of its own."""
        last = self.last
        return isinstance(last, Failed) and last.reason in NOT_A_TRY

    def partial(self) -> Partial:
        """Return the whole text so far, to be continued elsewhere.

        The failure carries the text of the attempt, of which chunks on the
        way may be missing here; the longer one is the later one.
        """
        text, tokens = self.text, self.tokens
        failed = self.last
        if isinstance(failed, Failed) and len(failed.partial_text) > len(text):
            text, tokens = failed.partial_text, failed.partial_tokens
        return Partial(
            f'{self.resumed.text}{text}',
            self.resumed.tokens + tokens,
        )


async def receive(
    run: RunOn,
    attempt: Attempt,
    submit: Submit,
) -> Received:
    """Run an attempt to its last event."""
    resumed = Partial(submit.resume_text, submit.resume_tokens)
    received = Received(resumed)
    events = run(attempt.link, submit)
    async with aclosing(events) as open_events:  # type: ignore[type-var]
        async for event in open_events:
            received.add(event)
    return received


def judge(
    attempt: Attempt,
    received: Received,
    max_tries: int,
    now_ms: int,
) -> ItemResult | None:
    """Return the result to record, or None when the item must run again."""
    match received.last:
        case End(status=status) if status < BAD_REQUEST:
            return success(attempt, received, received.last, now_ms)
        case End(status=status) if status < SERVER_FAULT:
            return refused(attempt, received.last, now_ms)
        case Failed(reason='crashes_endpoints'):
            return failure(
                attempt,
                CRASHES_ENDPOINTS,
                'the request crashes the endpoints that run it',
                now_ms,
            )
        case Failed(ran='not_run'):
            return None
        case Failed(reason=reason) if reason in NOT_A_TRY:
            return None
    return count_try(
        attempt,
        failure_reason(received.last),
        max_tries,
        now_ms,
    )


def count_try(
    attempt: Attempt,
    reason: str,
    max_tries: int,
    now_ms: int,
) -> ItemResult | None:
    """Count a failed try; return the result of the last allowed one."""
    if attempt.tries >= max_tries:
        return failure(attempt, 'too_many_tries', reason, now_ms)
    attempt.segment.tries[attempt.index] = attempt.tries
    return None


def failure_reason(last: End | Failed | None) -> str:
    """Return the reason of an attempt that counts as a try."""
    if isinstance(last, Failed):
        return last.reason
    if isinstance(last, End):
        return f'the endpoint answered with status {last.status}'
    return 'the answer ended without its end mark'


def failure(
    attempt: Attempt,
    code: str,
    reason: str,
    now_ms: int,
) -> ItemResult:
    """Return the record of an item that can't be done."""
    return ItemResult(
        attempt.index,
        0,
        b'',
        code,
        reason,
        attempt.tries,
        attempt.link.instance.instance,
        now_ms,
    )


def refused(attempt: Attempt, end: End, now_ms: int) -> ItemResult:
    """Return the record of an item that the engine finds invalid."""
    return ItemResult(
        attempt.index,
        end.status,
        json_body(end.body),
        'invalid_item',
        f'the endpoint answered with status {end.status}',
        attempt.tries,
        attempt.link.instance.instance,
        now_ms,
    )


def json_body(raw: bytes) -> bytes:
    """Return a body that is one JSON value in one line."""
    try:
        parsed = json.loads(raw)
    except ValueError:
        parsed = raw.decode(errors='replace')
    return json.dumps(parsed, separators=(',', ':')).encode()


def success(
    attempt: Attempt,
    received: Received,
    end: End,
    now_ms: int,
) -> ItemResult:
    """Return the record of a whole answer."""
    body = answer_body(attempt, received, end)
    if len(body) > MAX_RESULT_BYTES:
        return failure(
            attempt,
            'result_too_large',
            f'the result has {len(body)} bytes',
            now_ms,
        )
    return ItemResult(
        attempt.index,
        end.status,
        body,
        tries=attempt.tries,
        endpoint=attempt.link.instance.instance,
        finished_ms=now_ms,
    )


def answer_body(attempt: Attempt, received: Received, end: End) -> bytes:
    """Return the answer in the usual shape of its path."""
    raw = b''.join((*received.raws, end.body))
    if raw:
        return json_body(raw)
    item = attempt.segment.items[attempt.index]
    text = f'{received.resumed.text}{received.text}'
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

"""State of a sidecar's request, from its arrival to its last message."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Literal

import anyio

from quetzaldyke.connection.answers import AnswerStream
from quetzaldyke.connection.http_endpoint import Ran
from quetzaldyke.connection.messages import Failed, Submit
from quetzaldyke.connection.peer import PeerSession

MS_IN_S: Final = 1000

State = Literal['queued', 'running', 'stopping', 'done']


@dataclass(slots=True)
class TrackedRequest:
    """A request, its state and the output of this attempt."""

    submit: Submit
    answer: AnswerStream
    arrived_s: float
    deadline_s: float
    state: State = 'queued'
    cancel_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stop_reason: str = ''
    stop_s: float = 0.0
    started_s: float = 0.0
    last_token_s: float = 0.0
    text: list[str] = field(default_factory=list)
    tokens: int = 0
    # Whether the endpoint ran no other request at any time of this run.
    ran_alone: bool = False
    ended: anyio.Event = field(default_factory=anyio.Event)

    @classmethod
    def from_submit(
        cls,
        submit: Submit,
        session: PeerSession,
        now_s: float,
    ) -> TrackedRequest:
        """Return the state of a request that arrived at `now_s`."""
        return cls(
            submit,
            AnswerStream(session, submit.request_id),
            now_s,
            now_s + submit.remaining_ms / MS_IN_S,
        )

    @property
    def is_batch(self) -> bool:
        """Tell whether this is a batch item, which yields to online work."""
        return self.submit.work == 'batch'

    @property
    def session(self) -> PeerSession:
        """Return the connection on which the request arrived."""
        return self.answer.session

    @property
    def resume_cost(self) -> int:
        """Return the number of tokens that a resumed run has to read again."""
        return self.submit.resume_tokens + self.tokens

    def make_failed(
        self, ran: Ran, reason: str, retry_after_ms: int = 0
    ) -> Failed:
        """Return a failure message with all the text of this attempt."""
        return Failed(
            self.submit.request_id,
            ran,
            reason,
            retry_after_ms,
            ''.join(self.text),
            self.tokens,
        )

    def mark_done(self) -> None:
        """Mark the request as ended and wake the tasks that wait for it."""
        self.state = 'done'
        self.ended.set()

    def stop(self, reason: str, now_s: float) -> None:
        """Cancel a running request; a request in another state is left as is.

        The slot becomes free when the request's task has ended it.
        """
        if self.state != 'running':
            return
        self.state = 'stopping'
        self.stop_reason = reason
        self.stop_s = now_s
        self.cancel_scope.cancel()

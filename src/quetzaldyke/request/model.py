"""Defines an online request and parses the bodies of generation requests."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result

from quetzaldyke.request.outcome import (
    HTTP_BAD_REQUEST,
    HTTP_UNPROCESSABLE,
    Refusal,
)

REQUEST_ID_BYTES: Final = 10
MAX_OUTPUT_TOKENS: Final = 1_000_000
MAX_MESSAGES: Final = 10_000

CHAT_PATH: Final = '/v1/chat/completions'


class PermissiveModel(BaseModel):
    """Immutable model that keeps unknown fields for the engine."""

    model_config = ConfigDict(extra='allow', frozen=True)


class ChatMessage(PermissiveModel):
    """One message of a conversation."""

    role: str
    content: str | list[dict[str, object]] | None = None


class StreamOptions(PermissiveModel):
    """Streaming options of a generation request."""

    include_usage: bool = False


class GenerationBody(PermissiveModel):
    """Fields common to both generation endpoints."""

    model: Annotated[str, Field(min_length=1)]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(default=None, ge=1, le=MAX_OUTPUT_TOKENS)
    n: int = Field(default=1, ge=1, le=1)


class ChatBody(GenerationBody):
    """Body of `/v1/chat/completions`."""

    messages: list[ChatMessage] = Field(min_length=1, max_length=MAX_MESSAGES)


class CompletionBody(GenerationBody):
    """Body of `/v1/completions`."""

    prompt: str


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """A validated online request."""

    request_id: str
    organisation: str
    pool: str
    kind: str  # 'engine' or 'service'
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    idempotent: bool
    deadline_s: float
    fingerprint: str
    idempotency_key: str = ''
    model: str = ''
    prefixes: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()
    include_usage: bool = False


def new_request_id() -> str:
    """Return a random request id."""
    return f'req-{secrets.token_hex(REQUEST_ID_BYTES)}'


def parse_generation(
    path: str,
    body: bytes,
) -> Result[GenerationBody, Refusal]:
    """Validate a generation body, or return a refusal.

    The refusal's message lists the invalid fields.
    """
    model = ChatBody if path == CHAT_PATH else CompletionBody
    try:
        return Ok(model.model_validate_json(body))
    except ModelError as exc:
        errors = exc.errors(include_input=False, include_url=False)
    not_json = any(error['type'] == 'json_invalid' for error in errors)
    text = '; '.join(
        f'{".".join(str(part) for part in error["loc"])}: {error["msg"]}'
        for error in errors
    )
    status = HTTP_BAD_REQUEST if not_json else HTTP_UNPROCESSABLE
    code = 'invalid_json' if not_json else 'invalid_body'
    return Err(Refusal(status, code, text, 'not_run'))

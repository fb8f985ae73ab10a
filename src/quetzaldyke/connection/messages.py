"""Messages exchanged by the processes of the fleet.

Each message is a dataclass with a unique number, its kind. The wire form is
defined in `connection/codec.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar, Final, Literal

PROTOCOL_VERSION: Final = 2

Ran = Literal['not_run', 'ran', 'unknown']

# Reasons of a `Failed`: the endpoint crashed while it ran the request; the
# request is held, because endpoints crashed under it; the connection to the
# sidecar was lost.
ENDPOINT_CRASHED: Final = 'endpoint_crashed'
CRASHES_ENDPOINTS: Final = 'crashes_endpoints'
SESSION_LOST: Final = 'connection to the sidecar was lost'


@dataclass(slots=True)
class Message:
    """Base class of all messages."""

    kind: ClassVar[int] = 0


@dataclass(slots=True)
class Hello(Message):
    """First message of both sides, after authentication."""

    kind: ClassVar[int] = 1
    protocol: int
    role: str
    instance: str
    failure_domain: str
    incarnation: str
    pool: str = ''
    config_version: int = 0
    stamp: list[int | str] = field(default_factory=list)


@dataclass(slots=True)
class Heartbeat(Message):
    """Sent if no other message was, so that a dead peer is detected."""

    kind: ClassVar[int] = 2
    stamp: list[int | str]
    config_version: int
    interval_ms: int = 1000  # maximum time to the next message


@dataclass(slots=True)
class Submit(Message):
    """An entry asks a sidecar to run a request."""

    kind: ClassVar[int] = 10
    request_id: str
    work: str  # 'online' or 'batch'
    idempotent: bool
    organisation: str
    pool: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    remaining_ms: int
    fingerprint: str
    resume_text: str = ''
    resume_tokens: int = 0
    grant_id: int = 0
    job_id: str = ''
    attempt: int = 1
    # Parts of the prompt that other requests may share, see `prompt_parts`.
    parts: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Cancel(Message):
    """An entry cancels a request."""

    kind: ClassVar[int] = 11
    request_id: str


@dataclass(slots=True)
class Window(Message):
    """The reader of a request grants the sender this many more chunks."""

    kind: ClassVar[int] = 12
    request_id: str
    chunks: int


@dataclass(slots=True)
class BatchDemand(Message):
    """An entry has batch items waiting; count 0 withdraws the demand."""

    kind: ClassVar[int] = 13
    pool: str
    organisation: str
    job_id: str
    count: int
    slack_s: float


@dataclass(slots=True)
class CancelJob(Message):
    """A job was cancelled: stop its items and refuse further ones."""

    kind: ClassVar[int] = 14
    job_id: str


@dataclass(slots=True)
class OrderPrepare(Message):
    """The sender of an order asks the sidecar for a nonce."""

    kind: ClassVar[int] = 15
    order_id: str


@dataclass(slots=True)
class Order(Message):
    """An order for the endpoint: load or unload a model, or set a role."""

    kind: ClassVar[int] = 16
    order_id: str
    nonce: str
    fencing_token: int
    action: str  # 'load', 'unload' or 'role'
    model: str
    version: str
    adapter: str
    role: str


@dataclass(slots=True)
class LeavingNotice(Message):
    """The named instance, the receiver's or the sender's, is leaving."""

    kind: ClassVar[int] = 17
    instance: str


@dataclass(slots=True)
class EventsRequest(Message):
    """Asks for the latest events of the peer's timeline."""

    kind: ClassVar[int] = 18
    query_id: int
    contains: str  # text that a field must contain; empty for all
    limit: int


@dataclass(slots=True)
class Started(Message):
    """The sidecar has sent the request to the endpoint."""

    kind: ClassVar[int] = 30
    request_id: str


@dataclass(slots=True)
class Chunk(Message):
    """Part of an answer: text of a model, or `raw` bytes of a service."""

    kind: ClassVar[int] = 31
    request_id: str
    seq: int
    text: str
    tokens: int
    raw: bytes = b''


@dataclass(slots=True)
class End(Message):
    """End of a complete answer; `seq` is the number of chunks sent."""

    kind: ClassVar[int] = 32
    request_id: str
    seq: int
    status: int
    headers: dict[str, str]
    body: bytes
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


@dataclass(slots=True)
class Failed(Message):
    """A request ended without an answer."""

    kind: ClassVar[int] = 33
    request_id: str
    ran: str  # Ran
    reason: str
    retry_after_ms: int = 0
    partial_text: str = ''
    partial_tokens: int = 0


@dataclass(slots=True)
class Report(Message):
    """State and load of a sidecar and its endpoint."""

    kind: ClassVar[int] = 34
    pool: str
    endpoint_up: bool
    leaving: bool
    limit: int
    online_running: int
    online_queued: int
    batch_running: int
    batch_room: int
    ttft_ms: float
    tbt_ms: float
    model: str
    version: str
    adapter: str
    fencing_token: int
    prefixes: list[str]
    failure_domain: str


@dataclass(slots=True)
class BatchGrant(Message):
    """A sidecar permits an entry to start `count` batch items now."""

    kind: ClassVar[int] = 35
    grant_id: int
    pool: str
    job_id: str
    count: int


@dataclass(slots=True)
class JobStopped(Message):
    """No item of the job is running at the sender and none will start."""

    kind: ClassVar[int] = 36
    job_id: str


@dataclass(slots=True)
class OrderNonce(Message):
    """Reply to OrderPrepare."""

    kind: ClassVar[int] = 37
    order_id: str
    nonce: str


@dataclass(slots=True)
class OrderResult(Message):
    """Outcome of an order."""

    kind: ClassVar[int] = 38
    order_id: str
    accepted: bool
    reason: str


@dataclass(slots=True)
class EventsReply(Message):
    """Reply to EventsRequest: events of the sender's timeline as rows."""

    kind: ClassVar[int] = 39
    query_id: int
    process: str
    rows: list[list[object]]


@dataclass(slots=True)
class SuspectUpdate(Message):
    """Crashes by fingerprint or part of a prompt, and the cleared ones."""

    kind: ClassVar[int] = 50
    crashes: dict[str, list[str]]  # to crash ids
    cleared: dict[str, list[str]]


@dataclass(slots=True)
class ConfigPush(Message):
    """A full configuration version for a process with an older one."""

    kind: ClassVar[int] = 51
    version: int
    document: bytes  # zlib-compressed JSON


@dataclass(slots=True)
class ConfigVersion(Message):
    """The sender has this configuration version."""

    kind: ClassVar[int] = 52
    version: int


@dataclass(slots=True)
class SegmentOffer(Message):
    """The receiver ranks first for this segment and should claim it."""

    kind: ClassVar[int] = 53
    organisation: str
    job_id: str
    segment: int
    slack_s: float = 0.0  # time to the deadline minus estimated run time


@dataclass(slots=True)
class UsageReport(Message):
    """Usage of each organisation at one entry since the last report."""

    kind: ClassVar[int] = 54
    used: dict[str, int]  # organisation to requests


@dataclass(slots=True)
class UsageAdvice(Message):
    """Share of each organisation's limit that the receiver may use."""

    kind: ClassVar[int] = 55
    shares: dict[str, float]

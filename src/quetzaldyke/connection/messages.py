"""Messages between the system's own processes.

Each message is a dataclass with a number. The number must be unused by any
other message; `connection/codec.py` gives the wire form.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar, Final, Literal

PROTOCOL_VERSION: Final = 1

Ran = Literal['not_run', 'ran', 'unknown']


@dataclass(slots=True)
class Message:
    """Base of all messages."""

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
    """Sent when nothing else was, so that silence means a dead peer."""

    kind: ClassVar[int] = 2
    stamp: list[int | str]
    config_version: int
    interval_ms: int = 1000  # longest silence before the next message


@dataclass(slots=True)
class Submit(Message):
    """Entry asks a sidecar to run a request."""

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


@dataclass(slots=True)
class Cancel(Message):
    """Entry no longer wants a request."""

    kind: ClassVar[int] = 11
    request_id: str


@dataclass(slots=True)
class Window(Message):
    """Receiver allows this many more chunks of a request."""

    kind: ClassVar[int] = 12
    request_id: str
    chunks: int


@dataclass(slots=True)
class BatchDemand(Message):
    """Entry has batch items waiting; count 0 withdraws the demand."""

    kind: ClassVar[int] = 13
    pool: str
    organisation: str
    job_id: str
    count: int
    slack_s: float


@dataclass(slots=True)
class CancelJob(Message):
    """A job was cancelled: stop its items and refuse later ones."""

    kind: ClassVar[int] = 14
    job_id: str


@dataclass(slots=True)
class OrderPrepare(Message):
    """The order giver asks for a nonce."""

    kind: ClassVar[int] = 15
    order_id: str


@dataclass(slots=True)
class Order(Message):
    """An order to the endpoint: model, version, adapter or role."""

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
    """The receiver's instance, or the sender itself, is leaving."""

    kind: ClassVar[int] = 17
    instance: str


@dataclass(slots=True)
class EventsRequest(Message):
    """Asks for the latest events of the peer's time line."""

    kind: ClassVar[int] = 18
    query_id: int
    contains: str  # only events with this text in a field; empty for all
    limit: int


@dataclass(slots=True)
class Started(Message):
    """Sidecar handed the request to the endpoint."""

    kind: ClassVar[int] = 30
    request_id: str


@dataclass(slots=True)
class Chunk(Message):
    """Part of an answer; `raw` holds bytes of plain services."""

    kind: ClassVar[int] = 31
    request_id: str
    seq: int
    text: str
    tokens: int
    raw: bytes = b''


@dataclass(slots=True)
class End(Message):
    """Explicit end of an answer; `seq` is the number of chunks sent."""

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
    """State of a sidecar and its endpoint."""

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
    """Sidecar lets an entry start batch items at once."""

    kind: ClassVar[int] = 35
    grant_id: int
    pool: str
    job_id: str
    count: int


@dataclass(slots=True)
class JobStopped(Message):
    """No item of the job runs here and none will start."""

    kind: ClassVar[int] = 36
    job_id: str


@dataclass(slots=True)
class OrderNonce(Message):
    """Answer to OrderPrepare."""

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
    """Events of a process's time line as rows."""

    kind: ClassVar[int] = 39
    query_id: int
    process: str
    rows: list[list[object]]


@dataclass(slots=True)
class SuspectUpdate(Message):
    """Crashes by fingerprint, and the crashes that were cleared."""

    kind: ClassVar[int] = 50
    crashes: dict[str, list[str]]  # fingerprint to crash ids
    cleared: dict[str, list[str]]


@dataclass(slots=True)
class ConfigPush(Message):
    """A configuration version for a process that is behind."""

    kind: ClassVar[int] = 51
    version: int
    document: bytes  # zlib-compressed JSON


@dataclass(slots=True)
class ConfigVersion(Message):
    """The sender holds this configuration version."""

    kind: ClassVar[int] = 52
    version: int


@dataclass(slots=True)
class SegmentOffer(Message):
    """The receiver ranks first for this segment and should claim it."""

    kind: ClassVar[int] = 53
    organisation: str
    job_id: str
    segment: int
    slack_s: float = 0.0  # time left minus estimated time of the job


@dataclass(slots=True)
class UsageReport(Message):
    """Use of organisations at one entry since the last report."""

    kind: ClassVar[int] = 54
    used: dict[str, int]  # organisation to requests


@dataclass(slots=True)
class UsageAdvice(Message):
    """Share of each organisation's limit that the receiver may use."""

    kind: ClassVar[int] = 55
    shares: dict[str, float]

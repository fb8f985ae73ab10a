"""Handles connections and messages of entries at a sidecar."""

from __future__ import annotations

from typing import Final

from quetzaldyke.connection.links import OnClose, OnMessage, OnOpen
from quetzaldyke.connection.messages import (
    BatchDemand,
    Cancel,
    CancelJob,
    ConfigPush,
    ConfigVersion,
    EventsRequest,
    Heartbeat,
    JobStopped,
    LeavingNotice,
    Message,
    Order,
    OrderPrepare,
    Submit,
    SuspectUpdate,
    Window,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.admission import Refusal
from quetzaldyke.process.event_query import answer_query
from quetzaldyke.process.sidecar_drain import leave
from quetzaldyke.process.sidecar_state import SidecarProcess
from quetzaldyke.process.tracked_request import TrackedRequest

# After a pause this long, the entries have closed their connections, because
# they received nothing.
PAUSE_LIMIT_S: Final = 3.0


def make_open_handler(process: SidecarProcess) -> OnOpen:
    """Return the callback for a new connection."""

    async def opened(session: PeerSession) -> None:
        process.peers.add(session)
        process.log_event('peer_connected', peer=session.remote.instance)

    return opened


def make_close_handler(process: SidecarProcess) -> OnClose:
    """Return the callback for a lost connection.

    It abandons the requests that arrived on the connection.
    """

    def closed(session: PeerSession) -> None:
        process.peers.drop(session)
        process.admission.grants.drop_session(session)
        for request in list(process.runner.requests.values()):
            if request.session is session:
                abandon(process, request, 'connection was lost')
        process.admission.schedule()
        process.log_event('peer_lost', peer=session.remote.instance)

    return closed


def make_message_handler(process: SidecarProcess) -> OnMessage:
    """Return the callback for a received message.

    Messages of a closed session are ignored.
    """

    async def handle(session: PeerSession, message: Message) -> None:
        detect_pause(process)
        if not session.closed:
            await dispatch_message(process, session, message)

    return handle


async def dispatch_message(
    process: SidecarProcess,
    session: PeerSession,
    message: Message,
) -> None:
    """Handle one message."""
    match message:
        case Window():
            process.runner.grant_window(message.request_id, message.chunks)
        case Submit():
            handle_submit(process, session, message)
        case Cancel():
            handle_cancel(process, session, message.request_id)
        case BatchDemand():
            process.admission.grants.set_demand(session, message)
            process.admission.schedule()
        case CancelJob():
            handle_cancel_job(process, session, message.job_id)
        case Order() if process.orders.admit(session, message):
            process.group.start_soon(
                process.orders.execute,
                session,
                message,
            )
        case OrderPrepare():
            process.orders.prepare(session, message)
        case _:
            handle_fleet_message(process, session, message)


def handle_fleet_message(
    process: SidecarProcess,
    session: PeerSession,
    message: Message,
) -> None:
    """Handle a message that is not about a request, job or order."""
    peers = process.peers
    match message:
        case Heartbeat() | ConfigVersion():
            version = (
                message.config_version
                if isinstance(message, Heartbeat)
                else message.version
            )
            peers.update_version(session, version)
        case ConfigPush():
            if peers.adopt_config(session, message):
                process.log_event('config_adopted', version=message.version)
        case SuspectUpdate():
            peers.merge_suspects(session, message)
            process.admission.schedule()
        case LeavingNotice() if message.instance == process.settings.instance:
            leave(process)
        case EventsRequest():
            answer_query(session, process.timeline, message)


def handle_submit(
    process: SidecarProcess,
    session: PeerSession,
    message: Submit,
) -> None:
    """Admit or refuse a new request.

    A repeated message on the same connection is ignored while its answer is
    open.
    """
    now_s = process.timers.clock.now()
    request = TrackedRequest.from_submit(message, session, now_s)
    existing = process.runner.requests.get(message.request_id)
    if existing is not None:
        if existing.session is not session or existing.answer.closed:
            process.runner.refuse(request, Refusal('request id is in use'))
        return
    if not is_valid_request(message):
        process.runner.refuse(request, Refusal('malformed request'))
        return
    process.runner.requests[message.request_id] = request
    process.admission.submit(request)


def is_valid_request(message: Submit) -> bool:
    """Tell whether a request can be written as HTTP to the endpoint."""
    texts = [message.path, *message.headers, *message.headers.values()]
    return (
        message.path.startswith('/')
        and ' ' not in message.path
        and message.method.isalpha()
        and message.method.isascii()
        and all(one.isascii() and one.isprintable() for one in texts)
    )


def handle_cancel(
    process: SidecarProcess,
    session: PeerSession,
    request_id: str,
) -> None:
    """Cancel a request that arrived on the same connection."""
    request = process.runner.requests.get(request_id)
    if request is None or request.session is not session:
        return
    abandon(process, request, 'cancelled')
    process.admission.schedule()


def abandon(
    process: SidecarProcess, request: TrackedRequest, reason: str
) -> None:
    """Stop a request whose answer no entry reads."""
    request.answer.close()
    process.admission.cancel(request, reason)
    if request.state == 'done':
        process.runner.remove(request)


def handle_cancel_job(
    process: SidecarProcess,
    session: PeerSession,
    job_id: str,
) -> None:
    """Cancel a job's items; reply once none of them runs."""
    items = process.admission.cancel_job(job_id)
    process.log_event('job_cancelled', job_id=job_id, running=len(items))

    async def answer() -> None:
        for request in items:
            await request.ended.wait()
        session.send(JobStopped(job_id))

    process.group.start_soon(answer)


def detect_pause(process: SidecarProcess) -> None:
    """Handle a pause of this process before messages buffered in it."""
    if process.timers.delay_s > PAUSE_LIMIT_S:
        process.timers.report_delay()


def handle_pause(process: SidecarProcess, gap_s: float) -> None:
    """Abandon all requests if a pause outlasted the entries' timeout.

    The entries have closed their connections and may have started the requests
    elsewhere. They connect again, which registers this process anew.
    """
    if gap_s <= PAUSE_LIMIT_S:
        return
    process.log_event('process_paused', gap_s=round(gap_s, 1))
    process.orders.gate.clear()
    process.admission.grants.clear()
    for request in list(process.runner.requests.values()):
        abandon(process, request, 'process was paused')
    for session in list(process.peers.sessions()):
        session.closed = True
        process.group.start_soon(session.stream.aclose)

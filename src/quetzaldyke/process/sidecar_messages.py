"""What a sidecar does with each message of an entry."""

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
from quetzaldyke.process.work import Work

# After this gap the entries have closed their connections for silence.
PAUSE_LIMIT_S: Final = 3.0


def make_open_handler(process: SidecarProcess) -> OnOpen:
    """Return what runs for each new connection."""

    async def opened(session: PeerSession) -> None:
        process.peers.add(session)
        process.log_event('peer_connected', peer=session.remote.instance)

    return opened


def make_close_handler(process: SidecarProcess) -> OnClose:
    """Return what runs after a connection was lost."""

    def closed(session: PeerSession) -> None:
        process.peers.drop(session)
        process.admission.grants.drop_session(session)
        for work in list(process.streams.works.values()):
            if work.session is session:
                drop(process, work, 'connection was lost')
        process.admission.pump()
        process.log_event('peer_lost', peer=session.remote.instance)

    return closed


def make_handler(process: SidecarProcess) -> OnMessage:
    """Return the handler of messages."""

    async def handle(session: PeerSession, message: Message) -> None:
        check_pause(process)
        if not session.closed:
            await act(process, session, message)

    return handle


async def act(
    process: SidecarProcess,
    session: PeerSession,
    message: Message,
) -> None:
    """Act on one message."""
    match message:
        case Window():
            process.streams.grant_window(message.request_id, message.chunks)
        case Submit():
            submit(process, session, message)
        case Cancel():
            cancel(process, session, message.request_id)
        case BatchDemand():
            process.admission.grants.demand(session, message)
            process.admission.pump()
        case CancelJob():
            cancel_job(process, session, message.job_id)
        case Order() if process.orders.admit(session, message):
            process.group.start_soon(
                process.orders.carry_out,
                session,
                message,
            )
        case OrderPrepare():
            process.orders.prepare(session, message)
        case _:
            act_on_state(process, session, message)


def act_on_state(
    process: SidecarProcess,
    session: PeerSession,
    message: Message,
) -> None:
    """Act on a message about the state of the fleet."""
    peers = process.peers
    match message:
        case Heartbeat() | ConfigVersion():
            version = (
                message.config_version
                if isinstance(message, Heartbeat)
                else message.version
            )
            peers.note_version(session, version)
        case ConfigPush():
            if peers.adopt_config(session, message):
                process.log_event('config_adopted', version=message.version)
        case SuspectUpdate():
            peers.merge_suspects(session, message)
            process.admission.pump()
        case LeavingNotice() if message.instance == process.settings.instance:
            leave(process)
        case EventsRequest():
            answer_query(session, process.timeline, message)


def submit(
    process: SidecarProcess,
    session: PeerSession,
    message: Submit,
) -> None:
    """Take a request in."""
    now_s = process.timers.clock.now()
    work = Work.from_submit(message, session, now_s)
    known = process.streams.works.get(message.request_id)
    if known is not None:
        if known.session is not session or known.answer.closed:
            process.streams.refuse(work, Refusal('request id is in use'))
        return
    if not well_formed(message):
        process.streams.refuse(work, Refusal('malformed request'))
        return
    process.streams.works[message.request_id] = work
    process.admission.submit(work)


def well_formed(message: Submit) -> bool:
    """Tell whether a request can be written as HTTP to the endpoint."""
    texts = [message.path, *message.headers, *message.headers.values()]
    return (
        message.path.startswith('/')
        and ' ' not in message.path
        and message.method.isalpha()
        and message.method.isascii()
        and all(one.isascii() and one.isprintable() for one in texts)
    )


def cancel(
    process: SidecarProcess,
    session: PeerSession,
    request_id: str,
) -> None:
    """Stop a request that its entry no longer wants."""
    work = process.streams.works.get(request_id)
    if work is None or work.session is not session:
        return
    drop(process, work, 'cancelled')
    process.admission.pump()


def drop(process: SidecarProcess, work: Work, reason: str) -> None:
    """Stop a request whose answer nobody reads."""
    work.answer.close()
    process.admission.cancel(work, reason)
    if work.state == 'done':
        process.streams.forget(work)


def cancel_job(
    process: SidecarProcess,
    session: PeerSession,
    job_id: str,
) -> None:
    """Stop a job's items; answers once none of them runs."""
    items = process.admission.cancel_job(job_id)
    process.log_event('job_cancelled', job_id=job_id, running=len(items))

    async def answer() -> None:
        for work in items:
            await work.ended.wait()
        session.send(JobStopped(job_id))

    process.group.start_soon(answer)


def check_pause(process: SidecarProcess) -> None:
    """Notice a pause of the process before acting on what was buffered."""
    if process.timers.delay_s > PAUSE_LIMIT_S:
        process.timers.report_delay()


def note_gap(process: SidecarProcess, gap_s: float) -> None:
    """Drop all work after a pause in which the entries gave this up.

    The entries have closed their connections and may have started the work
    elsewhere. They dial again, which registers this process anew.
    """
    if gap_s <= PAUSE_LIMIT_S:
        return
    process.log_event('process_paused', gap_s=round(gap_s, 1))
    process.orders.gate.clear()
    process.admission.grants.clear()
    for work in list(process.streams.works.values()):
        drop(process, work, 'process was paused')
    for session in list(process.peers.sessions()):
        session.closed = True
        process.group.start_soon(session.stream.aclose)

"""Measures the cost of single mechanisms, for docs/CAPACITY.md."""

from __future__ import annotations

import gc
import hashlib
import time
import tracemalloc
from typing import Final

import anyio

from quetzaldyke.connection.calls import CallTable
from quetzaldyke.connection.codec import to_row
from quetzaldyke.connection.frames import FrameReader, encode_frame
from quetzaldyke.connection.links import LinkOptions, dial, listen
from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    Chunk,
    Hello,
    Message,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.rendezvous import even_subset, first_for
from quetzaldyke.version.configuration import (
    Configuration,
    Organisation,
    pack_document,
    unpack_document,
)

SECRET: Final = 'capacity-fleet-secret'
US_IN_S: Final = 1_000_000
FRAMES: Final = 20_000
IDLE_S: Final = 2.0


async def frame_cost_us(frames_per_write: int) -> float:
    """Return CPU time in us to send and receive a token frame.

    It depends on how many frames are sent per write.
    """
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1',
        local_port=0,
    )
    port = listener.listeners[0].extra(
        anyio.abc.SocketAttribute.local_port,
    )
    frame = encode_frame(to_row(Chunk('request-0001', 1, ' token', 1)))
    started_s = 0.0

    async with listener, anyio.create_task_group() as group:
        received = anyio.Event()

        async def accept(stream: anyio.abc.ByteStream) -> None:
            reader = FrameReader(stream)
            async with stream:
                for _ in range(FRAMES):
                    await reader.read()
                received.set()

        group.start_soon(listener.serve, accept)
        async with await anyio.connect_tcp('127.0.0.1', port) as stream:
            started_s = time.process_time()
            for _ in range(FRAMES // frames_per_write):
                await stream.send(frame * frames_per_write)
            rest = FRAMES % frames_per_write
            if rest:
                await stream.send(frame * rest)
            await received.wait()
            used_s = time.process_time() - started_s
        group.cancel_scope.cancel()
    return used_s / FRAMES * US_IN_S


def hello(name: str) -> Hello:
    """Return the Hello message of a probe's process."""
    return Hello(PROTOCOL_VERSION, 'entry', name, 'a', name)


async def open_session(session: PeerSession) -> None:
    """Create the call table that every link of an entry has."""
    CallTable(session)


async def ignore_message(session: PeerSession, message: Message) -> None:
    """Ignore a message."""


def ignore_close(session: PeerSession) -> None:
    """Ignore the end of a session."""


def link_options(name: str) -> LinkOptions:
    """Return options of links that handle no messages."""
    return LinkOptions(
        SECRET,
        HybridClock(name),
        lambda: hello(name),
        lambda: 1,
        open_session,
        ignore_message,
        ignore_close,
    )


async def idle_sessions(count: int) -> tuple[float, float]:
    """Return KB of memory and CPU share of one end of `count` idle sessions.

    Both ends are in this process, so the measured values are halved.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    async with anyio.create_task_group() as group:
        listening = link_options('listener')
        address = await group.start(listen, '127.0.0.1:0', listening)
        dialling = link_options('dialler')
        for _ in range(count):
            group.start_soon(dial, address, dialling)
        while dialling.open_sessions < count:
            await anyio.sleep(0.05)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_s = time.process_time()
        await anyio.sleep(IDLE_S)
        share = (time.process_time() - started_s) / IDLE_S
        group.cancel_scope.cancel()
    return (after - before) / 2 / 1024, share / 2


async def session_memory_kb(count: int) -> float:
    """Return KB of memory of one end of `count` idle sessions."""
    memory_kb, _ = await idle_sessions(count)
    return memory_kb


async def session_cpu_percent(count: int) -> float:
    """Return per cent of a core for one end of `count` idle sessions."""
    _, share = await idle_sessions(count)
    return share * 100


def make_configuration(organisations: int) -> Configuration:
    """Return a configuration of numbered organisations, without pools."""
    return Configuration(
        organisations={
            f'organisation-{number}': Organisation(
                key_sha256=hashlib.sha256(str(number).encode()).hexdigest(),
                requests_per_s=10 + number % 90,
            )
            for number in range(organisations)
        },
    )


async def document_kb(organisations: int) -> float:
    """Return KB of the stored configuration document."""
    return len(pack_document(make_configuration(organisations))) / 1024


async def adopt_ms(organisations: int) -> float:
    """Return CPU time in ms to unpack and validate a document."""
    document = pack_document(make_configuration(organisations))
    started_s = time.process_time()
    unpack_document(document)
    return (time.process_time() - started_s) * 1000


async def subset_ms(entries: int) -> float:
    """Return CPU time in ms to choose an entry's subset of 300 endpoints."""
    names = [f'entry-{number}' for number in range(entries)]
    endpoints = [f'endpoint-{number}' for number in range(300)]
    started_s = time.process_time()
    even_subset('entry-0', names, endpoints, 5)
    return (time.process_time() - started_s) * 1000


async def owner_us(entries: int) -> float:
    """Return CPU time in us to find the owner of a key, over 50 keys."""
    names = [f'entry-{number}' for number in range(entries)]
    started_s = time.process_time()
    for number in range(50):
        first_for(names, f'job/{number}')
    return (time.process_time() - started_s) / 50 * US_IN_S

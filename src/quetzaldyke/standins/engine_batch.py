"""Simulates the continuous batching of an engine.

Streams are admitted between steps in order of arrival, without priorities.
Each step generates one token for every running stream.
"""

from __future__ import annotations

import math
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from quetzaldyke.standins.engine_cache import PrefixCache
from quetzaldyke.standins.engine_options import EngineFaults, EngineOptions
from quetzaldyke.standins.engine_text import (
    BLOCK_WORDS,
    CRASH_WORD,
    prefix_hashes,
)

# Number of recent requests, also ended ones, whose KV cache can be exported.
MAX_EXPORTS: Final = 256
MS_IN_S: Final = 1000


@dataclass(slots=True)
class EngineStream:
    """A request and the channel that carries its token indexes."""

    request_id: str
    prompt: str
    prefixes: list[str]
    next_token: int
    max_tokens: int
    sink: MemoryObjectSendStream[int]
    source: MemoryObjectReceiveStream[int]
    cached_words: int = 0
    # 'length' when complete; empty while running and for an aborted stream.
    finish_reason: str = ''

    @property
    def prompt_words(self) -> int:
        """Return the number of words in the prompt."""
        return len(self.prompt.split())


@dataclass(slots=True)
class EngineCounts:
    """Counters since the engine was created; kept across its crashes."""

    requests: int = 0
    # Refused as long as the fault is on.
    refused: int = 0
    finished: int = 0
    cancelled: int = 0
    crashes: int = 0
    steps: int = 0
    tokens: int = 0
    # Tokens by request id, summed over all attempts on this engine.
    tokens_of: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Batch:
    """The running and waiting streams of an engine."""

    options: EngineOptions
    faults: EngineFaults
    counts: EngineCounts
    cache: PrefixCache
    running: dict[str, EngineStream] = field(default_factory=dict)
    waiting: deque[EngineStream] = field(default_factory=deque)
    work_available: anyio.Event = field(default_factory=anyio.Event)
    exports: OrderedDict[str, list[str]] = field(default_factory=OrderedDict)
    crashed_until_s: float = 0.0

    @property
    def is_down(self) -> bool:
        """Return whether the engine is down, by a fault or after a crash."""
        return self.faults.down or time.monotonic() < self.crashed_until_s

    def ids(self) -> list[str]:
        """Return the request ids of running and waiting streams."""
        return [*self.running, *(one.request_id for one in self.waiting)]

    def submit(
        self,
        request_id: str,
        prompt: str,
        first_token: int,
        max_tokens: int,
    ) -> EngineStream:
        """Queue a stream that starts at `first_token` and return it."""
        sink, source = anyio.create_memory_object_stream[int](math.inf)
        stream = EngineStream(
            request_id,
            prompt,
            prefix_hashes(prompt),
            first_token,
            max_tokens,
            sink,
            source,
        )
        self.counts.requests += 1
        self.waiting.append(stream)
        self.work_available.set()
        return stream

    def admit(self) -> float:
        """Start waiting streams and return their prefill time in ms."""
        prefill_words = 0
        while self.waiting and len(self.running) < self.options.max_streams:
            stream = self.waiting.popleft()
            hits = self.cache.cached_prefix_count(stream.prefixes)
            stream.cached_words = hits * BLOCK_WORDS
            prefill_words += stream.prompt_words - stream.cached_words
            prefill_words += stream.next_token
            self.cache.store(stream.prefixes)
            self.record_export(stream)
            self.running[stream.request_id] = stream
        return prefill_words * self.options.prefill_ms_per_token

    def record_export(self, stream: EngineStream) -> None:
        """Keep the prefixes of a stream for a later cache export."""
        self.exports[stream.request_id] = stream.prefixes
        while len(self.exports) > MAX_EXPORTS:
            self.exports.popitem(last=False)

    async def step(self) -> None:
        """Admit waiting streams and run one step over all running ones."""
        prefill_ms = self.admit()
        options = self.options
        step_ms = options.step_ms + options.per_stream_ms * len(self.running)
        step_s = (step_ms + prefill_ms) * self.faults.slow_factor / MS_IN_S
        await anyio.sleep(step_s)
        self.counts.steps += 1
        for stream in list(self.running.values()):
            if CRASH_WORD in stream.prompt:
                self.crash()
                return
            self.generate_token(stream)

    def generate_token(self, stream: EngineStream) -> None:
        """Generate the next token of a stream and end it after the last."""
        if stream.next_token < stream.max_tokens:
            stream.sink.send_nowait(stream.next_token)
            stream.next_token += 1
            self.counts.tokens += 1
            tokens_of = self.counts.tokens_of
            done = tokens_of.get(stream.request_id, 0)
            tokens_of[stream.request_id] = done + 1
        if stream.next_token >= stream.max_tokens:
            stream.finish_reason = 'length'
            self.counts.finished += 1
            self.end(stream)

    def end(self, stream: EngineStream) -> None:
        """Remove a stream and close its channel."""
        if self.running.get(stream.request_id) is stream:
            self.running.pop(stream.request_id)
        if stream in self.waiting:
            self.waiting.remove(stream)
        stream.sink.close()

    def find(self, request_id: str) -> EngineStream | None:
        """Return the running or waiting stream of a request, if any."""
        for stream in self.waiting:
            if stream.request_id == request_id:
                return stream
        return self.running.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Abort a stream; return False if the request id is unknown."""
        stream = self.find(request_id)
        if stream is None:
            return False
        self.counts.cancelled += 1
        self.end(stream)
        return True

    def reset(self) -> None:
        """Abort all streams and clear the cache and the exports."""
        for request_id in self.ids():
            stream = self.find(request_id)
            if stream is not None:
                self.end(stream)
        self.cache.clear()
        self.exports.clear()

    def crash(self) -> None:
        """Simulate a crash: reset, and stay down for the restart time."""
        self.counts.crashes += 1
        self.crashed_until_s = time.monotonic() + self.options.restart_s
        self.reset()

    async def run(self) -> None:
        """Run steps until cancelled; pause while stalled or without streams."""
        while True:
            if self.faults.stalled or not (self.running or self.waiting):
                self.work_available = anyio.Event()
                with anyio.move_on_after(0.05):
                    await self.work_available.wait()
                continue
            await self.step()

    def load(self) -> dict[str, Any]:
        """Return the current load report."""
        return {
            'running': len(self.running),
            'waiting': len(self.waiting),
            'max_streams': self.options.max_streams,
            'cached_blocks': len(self.cache.blocks),
            'cache_blocks': self.cache.capacity,
        }

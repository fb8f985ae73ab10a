"""Defines the options and fault switches of the simulated engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of the simulated engine, fixed when it starts."""

    address: str = '127.0.0.1:0'
    model: str = 'model'
    version: str = '1'
    max_streams: int = 8
    step_ms: float = 10.0
    per_stream_ms: float = 0.5
    prefill_ms_per_token: float = 0.1
    cache_blocks: int = 512
    cache_event_lag_s: float = 0.2
    cache_event_gap_every: int = 7
    load_report_lag_s: float = 0.2
    # Refuses orders with a fencing token below the highest seen.
    check_tokens: bool = True
    load_model_s: float = 0.2
    restart_s: float = 1.0
    # Keeps streams running after their client has disconnected.
    keep_orphans: bool = False
    seed: int = 1


@dataclass(slots=True)
class EngineFaults:
    """Fault switches, all off initially."""

    # Refuses connections and discards all state, like a stopped process.
    down: bool = False
    # Multiplies the duration of every step.
    slow_factor: float = 1.0
    # Accepts requests but generates no tokens.
    stalled: bool = False
    # Refuses requests and asks for a pause of so many seconds; 0 for neither.
    refuse_for_s: int = 0
    # Says in each answer that it is leaving, and that it drains when it is
    # asked for its health. It still serves requests.
    leaving: bool = False

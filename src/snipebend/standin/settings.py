"""Settings of the stand-in engine."""

from __future__ import annotations

from typing import NamedTuple

MS_PER_S = 1000


class EngineConfig(NamedTuple):
    """Settings of the engine; each field is a command-line flag.

    Durations are in milliseconds (``_ms``). A cache block holds 64 characters.
    ``gap_rate`` is the share of cache events that are never published. A
    prompt that contains ``crash_marker`` (if not empty) crashes the engine.
    """

    model: str = 'standin'
    step_ms: float = 5
    batch_size: int = 8
    cache_blocks: int = 1024
    prefill_ms_per_block: float = 1
    report_lag_ms: float = 200
    gap_rate: float = 0.05
    seed: int = 1
    check_fence: bool = False
    crash_marker: str = ''
    layers: int = 4
    experts: int = 16
    experts_per_token: int = 2
    drift_steps: int = 2000

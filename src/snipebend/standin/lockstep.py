"""A model of the engines of a group that run in lock-step, without a clock.

All ranks run each pass together, and it takes as long as the fullest one
needs. A stream reads its prompt and then gets one event per pass.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar


class RankSizes(NamedTuple):
    """What one rank runs and queues, and what its work takes in seconds."""

    slots: int
    queue: int
    #: A step, each stream in it, and a chunk of a prompt.
    step_s: float
    stream_s: float
    chunk_s: float
    steps_per_pass: int
    chunks_per_prompt: int


@dataclass(eq=False, slots=True)
class RankStream:
    """A stream at a rank."""

    is_reading: bool = True
    is_finished: bool = False


AnyStream = TypeVar('AnyStream', bound=RankStream)


class LockstepRank(Generic[AnyStream]):
    """One rank with its running and queued streams."""

    def __init__(self, sizes: RankSizes) -> None:
        """Create a rank without streams."""
        self._sizes = sizes
        self.active: list[AnyStream] = []
        self.waiting: deque[AnyStream] = deque()

    def try_enqueue(self, stream: AnyStream) -> bool:
        """Queue a stream if there is room; return whether there was."""
        sizes = self._sizes
        held = len(self.active) + len(self.waiting)
        if held >= sizes.slots + sizes.queue:
            return False
        self.waiting.append(stream)
        return True

    def start_pass(self) -> float:
        """Fill the slots; return the seconds that this rank needs."""
        sizes = self._sizes
        self.active = [one for one in self.active if not one.is_finished]
        while self.waiting and len(self.active) < sizes.slots:
            stream = self.waiting.popleft()
            if not stream.is_finished:
                self.active.append(stream)
        if not self.active:
            return 0
        step_s = sizes.step_s + sizes.stream_s * len(self.active)
        is_reading = any(stream.is_reading for stream in self.active)
        prompts_s = sizes.chunks_per_prompt * sizes.chunk_s * is_reading
        return sizes.steps_per_pass * step_s + prompts_s

    def finish_pass(self) -> list[AnyStream]:
        """Read the prompts; return the streams that have their next event."""
        writing: list[AnyStream] = []
        for stream in self.active:
            if stream.is_finished:
                continue
            if stream.is_reading:
                stream.is_reading = False
            else:
                writing.append(stream)
        return writing

"""How many calls of a group may run at once.

Answers a load under which passes get longer than the pauses that streams
allow. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.hosts.model import EngineProfile

#: Share of a group's slots that it may always use. With fewer calls, a pass is
#: little shorter: most of it is time that a step takes without any request.
MIN_SHARE = 0.5


class GroupLoad(NamedTuple):
    """The state of one group that decides how many calls it may run."""

    #: Ranks that may be given work, and the slots of all of them.
    ranks: int
    slots: int
    #: Calls in progress of all entries.
    calls: int
    #: Seconds per pass, as streams show it; None: unknown.
    pass_time_s: float | None
    #: Longest pause allowed in a stream, in seconds; 0: any.
    allowed_pause_s: float


def bound_calls(load: GroupLoad, engine: EngineProfile | None) -> int:
    """Return how many calls of a group may run at once.

    The pass time at other numbers of calls is scaled from the observed one by
    the declared times of steps. Where not even the least bound brings passes
    within the allowed pause, no bound does: all slots are used, since fewer
    calls would not be on time either.
    """
    if not load.ranks or not load.pass_time_s or not load.allowed_pause_s:
        return load.slots
    if engine is None or not engine.request_step_s:
        return load.slots
    # Ranks run at most their slots, whatever waits at them.
    running = min(load.calls, load.slots) / load.ranks
    model_pass_s = _model_pass_s(engine, running)
    if not model_pass_s:
        return load.slots
    stretch = load.pass_time_s / model_pass_s
    step_s = load.allowed_pause_s / stretch / engine.pass_steps
    per_rank = (step_s - engine.step_s) / engine.request_step_s
    bound = int(per_rank * load.ranks)
    if bound < MIN_SHARE * load.slots:
        return load.slots
    return min(bound, load.slots)


def _model_pass_s(engine: EngineProfile, calls_per_rank: float) -> float:
    step_s = engine.step_s + engine.request_step_s * calls_per_rank
    return engine.pass_steps * step_s

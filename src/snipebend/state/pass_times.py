"""Pass times of groups, as reported by entries to control daemons."""

from __future__ import annotations

from msgspec import Struct


class PassTimesReport(Struct, frozen=True, array_like=True):
    """The sums of an entry since its previous report, by group.

    The reports of an entry are numbered.
    """

    entry: str
    started_at: float
    number: int
    #: Per group: the number of stream events, and the total time in seconds
    #: that passed before each of them.
    pass_times: dict[str, tuple[int, float]]

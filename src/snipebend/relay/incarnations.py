"""Tells to which incarnation of an upstream an entry's report belongs.

Performs no I/O. Reports are repeated: one of an incarnation that is not known
yet is applied once it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.relay.rate_limit_table import LimitReport
    from snipebend.relay.upstreams import UpstreamTable


def add_start_times(
    upstreams: UpstreamTable, reports: Mapping[str, LimitReport]
) -> dict[str, LimitReport]:
    """Return reports by identity with the start times of the upstreams."""
    dated: dict[str, LimitReport] = {}
    for identity, report in reports.items():
        upstream = upstreams.find(identity)
        born = upstream.record.born if upstream else 0
        dated[identity] = replace(report, born=born)
    return dated


def select_concerned(
    upstreams: UpstreamTable, reports: Mapping[str, LimitReport]
) -> dict[str, LimitReport]:
    """Return the reports of the incarnations that are known here."""
    concerned: dict[str, LimitReport] = {}
    for identity, report in reports.items():
        upstream = upstreams.find(identity)
        if upstream is None or upstream.is_same_life(report.born):
            concerned[identity] = report
    return concerned

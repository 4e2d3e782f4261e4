"""Stand-ins of what gossip tells from, and tells."""

from __future__ import annotations

import asyncio


class Books:
    """What one entry has under way, and what it hears of the others."""

    def __init__(self, calls):
        self.calls = calls
        self.limits = {}
        self.refusals = {}
        self.heard = asyncio.Queue()
        self.heard_limits = asyncio.Queue()
        self.heard_refusals = asyncio.Queue()
        self.share = None

    def own_calls(self):
        return dict(self.calls)

    def own_limits(self):
        return dict(self.limits)

    def own_refusals(self):
        return dict(self.refusals)

    def apply_refusals(self, entry, refusals):
        self.heard_refusals.put_nowait((entry, refusals))

    def apply_calls(self, entry, calls):
        self.heard.put_nowait((entry, calls))

    def apply_limits(self, entry, started_at, limits):
        self.heard_limits.put_nowait((entry, limits))

    def record_reachable_share(self, share):
        self.share = share

"""A stand-in for the state that entries exchange by gossip."""

from __future__ import annotations

import asyncio


class FakeGossipState:
    """One entry's calls, and queues of what it received from others."""

    def __init__(self, calls):
        self.calls = calls
        self.limits = {}
        self.waiting = {}
        self.waiting_received = {}
        self.refusals = {}
        self.crashes = {}
        self.sent_crashes = {}
        self.calls_received = asyncio.Queue()
        self.limits_received = asyncio.Queue()
        self.refusals_received = asyncio.Queue()
        self.crashes_received = asyncio.Queue()
        self.share = None

    def own_calls(self):
        return dict(self.calls)

    def own_waiting(self):
        return dict(self.waiting)

    def apply_waiting(self, entry, waiting):
        self.waiting_received[entry] = waiting

    def make_limit_reports(self):
        return dict(self.limits)

    def make_refusal_reports(self):
        return dict(self.refusals)

    @property
    def has_crash_news(self):
        return self.crashes != self.sent_crashes

    def make_crash_reports(self):
        self.sent_crashes = dict(self.crashes)
        return self.sent_crashes

    def apply_crashes(self, entry, crashes):
        self.crashes_received.put_nowait((entry, crashes))

    def apply_refusals(self, entry, refusals):
        self.refusals_received.put_nowait((entry, refusals))

    def apply_calls(self, entry, calls):
        self.calls_received.put_nowait((entry, calls))

    def apply_limits(self, entry, started_at, limits):
        self.limits_received.put_nowait((entry, limits))

    def record_reachable_share(self, share):
        self.share = share

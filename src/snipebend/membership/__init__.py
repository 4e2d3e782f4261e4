"""Upstream membership: announcements, leases, failure suspicion and leaving.

Performs no I/O.
"""

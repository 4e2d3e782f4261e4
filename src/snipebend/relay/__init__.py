"""Decisions of an entry that proxies requests to upstreams without agents."""

"""Decisions on requests that go straight to upstreams without an agent."""

"""Sockets and tasks of an entry that calls its upstreams directly."""

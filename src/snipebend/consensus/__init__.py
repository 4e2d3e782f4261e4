"""Raft consensus: log replication, elections, membership and storage."""

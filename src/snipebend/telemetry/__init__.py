"""Metrics, logs and state dumps."""

"""Metrics and logs."""

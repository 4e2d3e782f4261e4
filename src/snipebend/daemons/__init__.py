"""Thin mains of the long-running processes."""

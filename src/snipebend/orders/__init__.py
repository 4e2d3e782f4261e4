"""Fenced orders to engines."""

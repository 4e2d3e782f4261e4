"""Benches: bounded ones for regressions, and measurements run by hand."""

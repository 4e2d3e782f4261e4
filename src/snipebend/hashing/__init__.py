"""Hashes by which processes agree without talking."""

"""Tests, with the helpers that several test packages share."""

"""Tests of the bench's computations."""

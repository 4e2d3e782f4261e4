"""Tests of the stand-in engine and service."""

"""Hashing by which processes make the same choice without communication."""

"""Fenced orders to engines: messages, fence checks and flow control."""

"""The replicated state machine: fleet, claims, fences, expert maps."""

"""Routes by host and path: the table, its checks and its look-ups (pure)."""

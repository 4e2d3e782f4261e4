"""Routes by host and path: the table, its validation and its look-ups."""

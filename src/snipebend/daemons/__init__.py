"""Entry points of the daemons: each builds its process from settings."""

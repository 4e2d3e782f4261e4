"""A process's own TOML settings, checked all at once."""

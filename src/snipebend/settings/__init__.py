"""The TOML settings of each process and their validation."""

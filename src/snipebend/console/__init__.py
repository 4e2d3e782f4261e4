"""The operators' command line, one command a module."""

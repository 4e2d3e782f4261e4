"""The exit codes of a case's script."""

HELD = 0
BROKEN = 1
#: The case could not run.
NOT_RUN = 2

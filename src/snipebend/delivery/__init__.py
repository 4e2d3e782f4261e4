"""The lifecycle of one request: claim, attempt, seal, resume, outcome."""

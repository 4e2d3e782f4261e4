"""One request's life: claim, attempt, seal, resume, cancel, outcome."""

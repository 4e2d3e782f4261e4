"""The replicated state machine: fleet, claims, fences, documents, roster."""

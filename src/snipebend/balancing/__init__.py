"""Load balancing of engine groups by the control leader."""

"""Expert load estimation, placement, cost and switch protocol; no I/O."""

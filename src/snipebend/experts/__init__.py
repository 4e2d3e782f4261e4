"""Expert load estimation, placement, cost and switch protocol (pure)."""

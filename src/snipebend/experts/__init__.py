"""Expert load estimate, placement, cost, switch protocol (pure)."""

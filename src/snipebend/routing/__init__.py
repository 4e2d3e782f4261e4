"""Candidates, scores, admission, fairness, limits, retries (pure)."""

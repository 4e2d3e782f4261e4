"""Workloads, baselines and runs for the expert map benches."""

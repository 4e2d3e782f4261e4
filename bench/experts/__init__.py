"""Workloads, map choosers and runs of the expert map benches."""

"""Stand-in engine and plain service for the demo, the tests and the benches."""

"""A small stand-in engine for the demo, the tests and the benches."""

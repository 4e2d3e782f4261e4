"""The error hierarchy; each error carries the step and the peer."""

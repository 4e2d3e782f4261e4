"""The control leader cares for groups of engines: reads, plans, switches."""

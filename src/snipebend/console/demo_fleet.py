"""The fleet file that ``snipebend demo`` applies."""

from __future__ import annotations

API_KEY = 'demo-key'
MODEL = 'drafter'

FLEET = """
name = "demo"

[weights]
skew = 0.5
cost = 0.5

[[priorities]]
name = "normal"
weight = 1
queue_limit = 100

[[upstreams]]
name = "drafting"
kind = "engine"
model = "drafter"
fencing = "checked"
max_concurrency = 8
slow_start_s = 1.0
ejection_failures = 5
ejection_s = 5.0

[[groups]]
name = "drafting"
model = "drafter"
upstreams = ["drafting"]
ranks = 4
experts = 16
layers = 2
experts_per_rank = 5
expert_bytes = 1000000
store_bytes_per_s = 100000000
hold_steps = 8

[[workspaces]]
name = "demo"
api_key = "demo-key"
priority = "normal"
rate_per_s = 100.0
burst = 100
max_concurrency = 100
weight = 1
"""

"""Prevents names of the platform from spreading beyond its adapter.

If other modules used its headers, paths or fields, a change of the platform
would affect them all. The adapter must also stay small. The platform fills the
templates, so a renamed setting would only be noticed when a process doesn't
start.
"""

from __future__ import annotations

import re
import tomllib
import unittest
from pathlib import Path
from types import MappingProxyType

from snipebend.settings.model import ControlSettings
from snipebend.settings.relay import (
    AdmissionSection,
    ColdSection,
    RelaySettings,
)

ROOT = Path(__file__).parent.parent.parent
ADAPTER_FOLDER = ROOT / 'platform' / 'snipebend_platform'

#: Headers, paths and field names that belong to the platform only.
PLATFORM_NAMES = re.compile(
    r'Snipebend-(?:[A-Z][a-z]+-?)+'
    + r'|/-/(?:replicas|config|order|picked|report|evacuate)'
    + r'|\b(?:traffic_split|target_latency_ms|gap_aim_ms|api_keys'
    + r'|allow_anonymous|resume_streams|kv_tokens|expert_mb|heartbeat_addr'
    + r'|cold_remaining_ms|retry_budget_ratio|stability_window_ms)\b'
)
MAX_ADAPTER_LINES = 900

#: Values that the platform fills into the fields of our templates.
TEMPLATE_VALUES = MappingProxyType(
    {
        'listen.front': '10.1.0.40:8227',
        'listen.ready': '10.1.0.40:8220',
        'listen.control': '10.1.0.42:8229',
        'internal_ports.0': '7340',
        'internal_ports.1': '7355',
        'node': 'front-a-1',
        'zone': 'zone-a',
        'region': 'region-a',
        'ip': '10.1.0.40',
        'data_dir': '/data/control',
        'bootstrap': 'true',
        'bounds.retry_budget_ratio': '0.25',
        'bounds.budget_slack': '124',
        'limits.memory_mb': '152',
        'bounds.cold_over': '1.5',
        'bounds.cold_slack': '5',
        'bounds.evacuate_ms': '5000',
    }
)
#: Those that only some deployments have.
PLACES_VALUES = frozenset(
    ('bounds.cold_over', 'bounds.cold_slack', 'bounds.evacuate_ms')
)
SEEDS = '"10.1.0.42:8229","10.2.0.31:8229"'
ZONES = '"zone-a","zone-b"'


class TestBoundary(unittest.TestCase):
    """Only the adapter uses the platform's names."""

    def test_no_other_module_uses_platform_names(self):
        found = [
            f'{path.relative_to(ROOT)}: {match[0]}'
            for path in (ROOT / 'src').rglob('*.py')
            for match in PLATFORM_NAMES.finditer(path.read_text('utf-8'))
        ]
        self.assertEqual(found, [])

    def test_the_folder_is_small(self):
        lines = sum(
            len(path.read_text('utf-8').splitlines())
            for path in ADAPTER_FOLDER.rglob('*.py')
        )
        self.assertLessEqual(lines, MAX_ADAPTER_LINES)


class TestTemplates(unittest.TestCase):
    """A filled template is a valid settings file."""

    def fill(self, name, filled=TEMPLATE_VALUES):
        text = (ROOT / 'deploy' / f'{name}.template').read_text('utf-8')
        text = re.sub(r'{{#seeds}}.*?{{/seeds}}', SEEDS, text)
        text = re.sub(r'{{#zones}}.*?{{/zones}}', ZONES, text)
        text = re.sub(
            r'{{#([\w.]+)}}(.*?){{/\1}}',
            lambda match: (
                match[2].replace('{{.}}', filled[match[1]])
                if match[1] in filled
                else ''
            ),
            text,
            flags=re.DOTALL,
        )
        return re.sub(r'{{([\w.]+)}}', lambda match: filled[match[1]], text)

    def test_what_a_platform_does_not_name_is_off(self):
        filled = {
            name: text
            for name, text in TEMPLATE_VALUES.items()
            if name not in PLACES_VALUES
        }
        table = tomllib.loads(self.fill('entry', filled))
        cfg = RelaySettings.from_table(table)
        self.assertIsNone(cfg.relay.cold)
        self.assertIsNone(cfg.relay.admission)

    def test_entry(self):
        cfg = RelaySettings.from_table(tomllib.loads(self.fill('entry')))
        self.assertEqual(cfg.callers, '10.1.0.40:8227')
        self.assertEqual(cfg.relay.retry_ratio, 0.25)
        self.assertEqual(cfg.relay.retry_slack, 124)
        self.assertEqual(cfg.relay.memory_mb, 152)
        self.assertEqual(
            cfg.relay.cold, ColdSection(rate_factor=1.5, extra_requests=5)
        )
        self.assertEqual(cfg.relay.admission, AdmissionSection())
        self.assertEqual(
            cfg.control.grpc_addresses, ('10.1.0.42:7340', '10.2.0.31:7340')
        )

    def test_control(self):
        text = self.fill('control')
        cfg = ControlSettings.from_table(tomllib.loads(text))
        self.assertEqual(cfg.outer, '10.1.0.42:8229')
        self.assertTrue(cfg.seeds.bootstrap)
        self.assertEqual(cfg.data_centers, ['zone-a', 'zone-b'])
        self.assertEqual(cfg.member_name, '10.1.0.40')
        self.assertEqual(cfg.data_centers, ['zone-a', 'zone-b'])

"""The deploy templates, filled with addresses on loopback."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from tests.upgrades.addresses import free_ports, fresh_hosts

if TYPE_CHECKING:
    from pathlib import Path

CONTROLS = 3
ENTRIES = 2

#: Fields of which the platform sets no port, but bounds.
_BOUNDS = MappingProxyType(
    {'bounds.retry_budget_ratio': '0.25', 'bounds.budget_slack': '124'}
)


class PlatformPlace(NamedTuple):
    """Hosts of the platform's programs; the ports are the same on each."""

    controls: list[str]
    entries: list[str]
    grpc: int
    outer: int
    callers: int
    ready: int

    @classmethod
    def fresh(cls) -> PlatformPlace:
        """Choose hosts, and ports that are free on the first of them."""
        hosts = fresh_hosts(CONTROLS + ENTRIES)
        ports = free_ports(4, hosts[0])
        return cls(hosts[:CONTROLS], hosts[CONTROLS:], *ports)

    def fields(self, host: str, folder: Path) -> dict[str, str]:
        """Return what the platform fills into the templates of a host."""
        return {
            'listen.front': f'{host}:{self.callers}',
            'listen.ready': f'{host}:{self.ready}',
            'listen.control': f'{host}:{self.outer}',
            'internal_ports.0': str(self.grpc),
            'node': f'node-{host}',
            'zone': 'zone-a',
            'region': 'region-a',
            'ip': host,
            'data_dir': str(folder / host),
            'bootstrap': 'true',
            **_BOUNDS,
        }


def fill(template: Path, place: PlatformPlace, host: str, folder: Path) -> str:
    """Return a template's settings for a host."""
    fields = place.fields(host, folder)
    seeds = ','.join(f'"{one}:{place.outer}"' for one in place.controls)
    text = template.read_text('utf-8')
    text = re.sub('{{#seeds}}.*?{{/seeds}}', seeds, text)
    text = re.sub(
        r'{{#([\w.]+)}}(.*?){{\.}}{{/\1}}',
        lambda match: match[2] + fields[match[1]],
        text,
    )
    return re.sub(r'{{([\w.]+)}}', lambda match: fields[match[1]], text)

"""The folder that ``write`` fills and ``check`` reads: names in it."""

from __future__ import annotations

import fcntl
import json
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.upgrades.control_group import Place
from tests.upgrades.templates import PlatformPlace

if TYPE_CHECKING:
    from collections.abc import Iterator

PART = 'old'


class DataFolder(NamedTuple):
    """Where the old build's data, settings and answers are."""

    path: Path

    @property
    def control(self) -> Path:
        """Return the folder of the control group."""
        return self.path / 'control'

    @property
    def platform(self) -> Path:
        """Return the folder of the platform's control group."""
        return self.path / 'platform'

    @property
    def examples(self) -> list[Path]:
        """Return the fleet files that were applied, in their order."""
        return sorted((self.path / 'examples').glob('*.toml'))

    def keep(self, name: str, document: Any) -> None:
        """Write answers or settings as JSON."""
        text = json.dumps(document, indent=1, sort_keys=True)
        (self.path / f'{name}.json').write_text(f'{text}\n', 'utf-8')

    def read(self, name: str) -> Any:
        """Return answers or settings."""
        return json.loads((self.path / f'{name}.json').read_text('utf-8'))

    def place(self) -> Place:
        """Return where the control group listened."""
        settings = self.read('control-settings')
        return Place(settings['host'], settings['ports'])

    def platform_place(self) -> PlatformPlace:
        """Return where the platform's programs listened."""
        return PlatformPlace(**self.read('platform-settings'))

    @contextmanager
    def alone(self) -> Iterator[None]:
        """Let one check at a time use the addresses that are in the data."""
        with (self.path / 'lock').open('w') as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield

"""Runs the quick benches and checks their bounds: ``python -m bench``."""

from __future__ import annotations

import importlib
import pkgutil
import sys
import tomllib
from pathlib import Path

import bench

FOLDER = Path(__file__).parent


def main() -> int:
    """Run ``measure`` of each ``quick_`` module and check ``bounds.toml``.

    ``measure()`` returns figures by name; a bound is a table with ``min``,
    ``max`` or both. The exit code is 1 if a figure is out of its bounds.
    """
    bounds = tomllib.loads((FOLDER / 'bounds.toml').read_text('utf-8'))
    verdicts = [
        _check(f'{name}.{figure}', value, bounds)
        for name in sorted(_module_names())
        for figure, value in _measure(name).items()
    ]
    return 0 if all(verdicts) else 1


def _module_names() -> list[str]:
    modules = pkgutil.iter_modules(bench.__path__)
    return [one.name for one in modules if one.name.startswith('quick_')]


def _measure(name: str) -> dict[str, float]:
    return importlib.import_module(f'bench.{name}').measure()


def _check(key: str, value: float, bounds: dict[str, dict[str, float]]) -> bool:
    bound = bounds.get(key, {})
    low = bound.get('min', float('-inf'))
    high = bound.get('max', float('inf'))
    passed = low <= value <= high
    verdict = 'ok' if passed else 'FAILED'
    sys.stdout.write(f'{verdict} {key} = {value:.6g} bound={bound}\n')
    return passed


if __name__ == '__main__':
    sys.exit(main())

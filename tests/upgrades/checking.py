"""The steps in their order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.upgrades.check_console import check_console
from tests.upgrades.check_data import (
    check_control_data,
    check_examples,
    check_platform_data,
    check_templates,
)
from tests.upgrades.check_mixed import check_mixed
from tests.upgrades.check_platform import check_platform
from tests.upgrades.check_requests import check_requests
from tests.upgrades.check_rolling import check_rolling
from tests.upgrades.data_folder import DataFolder
from tests.upgrades.write_data import write_control, write_platform

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.reporting import Report

#: The steps by the names under which they are run alone.
STEPS = (
    'data-control',
    'data-platform',
    'templates',
    'examples',
    'mixed',
    'rolling',
    'console',
    'requests',
    'platform',
)


async def write_all(old: Build, folder: Path, report: Report) -> None:
    """Write all data of the old build into a new folder."""
    folder.mkdir(parents=True)
    data = DataFolder(folder)
    await write_control(old, data, report)
    await write_platform(old, data, report)


async def check_all(
    old: Build,
    new: Build,
    data: Path | None,
    folder: Path,
    report: Report,
    only: Sequence[str] = (),
) -> None:
    """Run all steps, or only those that are named."""
    await _check_builds(old, new, report)
    if data is None:
        data = folder / 'written'
        await write_all(old, data, report)
    kept = DataFolder(data)
    runs = (
        lambda: check_control_data(new, kept, folder, report),
        lambda: check_platform_data(new, kept, folder, report),
        lambda: check_templates(old, new, folder, report),
        lambda: check_examples(old, new, report),
        lambda: check_mixed(old, new, folder, report),
        lambda: check_rolling(old, new, folder, report),
        lambda: check_console(old, new, folder, report),
        lambda: check_requests(old, new, folder, report),
        lambda: check_platform(old, new, folder, report),
    )
    for name, run in zip(STEPS, runs, strict=True):
        if not only or name in only:
            await run()


async def _check_builds(old: Build, new: Build, report: Report) -> None:
    text = 'packages loaded from the two checkouts'
    with report.step('builds', text) as step:
        for build in (old, new):
            for path in await build.loaded_from():
                step.holds(path, path.startswith(f'{build.checkout}/'), path)

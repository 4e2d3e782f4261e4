"""``write``: the old build writes data and answers every read."""

from __future__ import annotations

import shutil
from typing import TYPE_CHECKING

from tests.upgrades.control_group import NAMES, SNAPSHOT_EVERY, control_group
from tests.upgrades.data_folder import PART, DataFolder
from tests.platform.upgrade_group import platform_group
from tests.platform.upgrade_reading import (
    read_platform,
    write_platform_part,
)
from tests.upgrades.reading import read_group
from tests.upgrades.writing import write_part

if TYPE_CHECKING:
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.reporting import Report

#: Files that must be in a daemon's folder.
PATTERNS = ('snapshot-*.bin', 'log-*.seg')


async def write_control(old: Build, data: DataFolder, report: Report) -> None:
    """Fill a control group, and keep what it answers."""
    with report.step('write-control', 'files and answers of the old') as step:
        shutil.copytree(old.checkout / 'examples', data.path / 'examples')
        builds = dict.fromkeys(NAMES, old)
        async with control_group(data.control, builds) as group:
            settings = {
                'host': group.place.host,
                'ports': group.place.ports,
                'snapshot_every': SNAPSHOT_EVERY,
            }
            data.keep('control-settings', settings)
            written = await write_part(group, PART, data.examples)
            answers = await read_group(group, (PART,), data.examples, old)
            data.keep('control-answers', answers)
            for name in NAMES:
                step.equal(f'{name} ends', 0, await group.stop(name))
        for name in NAMES:
            folder = data.control / name
            for pattern in PATTERNS:
                step.holds(f'{name} {pattern}', _any(folder, pattern))
        read = sum(map(len, answers.values()))
        step.text = f'{written} writes, {read} answers kept; files and ends'


async def write_platform(old: Build, data: DataFolder, report: Report) -> None:
    """Fill a platform's control group, and keep what it answers."""
    with report.step('write-platform', '') as step:
        async with platform_group(data.platform) as group:
            hosts = group.place.controls
            await group.start_controls(dict.fromkeys(hosts, old))
            data.keep('platform-settings', group.place._asdict())
            written = await write_platform_part(group)
            answers = await read_platform(group)
            data.keep('platform-answers', answers)
            for host in hosts:
                code = await group.programs.pop(host).terminate()
                step.equal(f'{host} ends', 0, code)
        for host in hosts:
            folder = data.platform / host
            for pattern in PATTERNS:
                step.holds(f'{host} {pattern}', _any(folder, pattern))
        read = sum(map(len, answers.values()))
        step.text = f'{written} writes, {read} answers kept; files and ends'


def _any(folder: Path, pattern: str) -> bool:
    return any(folder.glob(pattern))

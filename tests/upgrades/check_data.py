"""Step 1: daemons of the new build on copies of the old one's data."""

from __future__ import annotations

import shutil
from itertools import product
from typing import TYPE_CHECKING, Any

from tests.upgrades.control_group import NAMES, control_group
from tests.upgrades.data_folder import PART, DataFolder
from tests.platform.upgrade_group import platform_group
from tests.platform.upgrade_reading import read_platform
from tests.upgrades.reading import read_group

if TYPE_CHECKING:
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.reporting import Report, Step


async def check_control_data(
    new: Build, data: DataFolder, folder: Path, report: Report
) -> None:
    """Compare every answer with the one that was kept."""
    text = 'answers on a copy of the data, with those kept'
    with report.step('data-control', text) as step, data.alone():
        copy = folder / 'data-control'
        shutil.copytree(data.control, copy)
        kept = data.read('control-answers')
        builds = dict.fromkeys(NAMES, new)
        async with control_group(copy, builds, data.place()) as group:
            answers = await read_group(group, (PART,), data.examples, new)
        compare_all(step, kept, answers)


async def check_platform_data(
    new: Build, data: DataFolder, folder: Path, report: Report
) -> None:
    """The same for the platform's control daemons."""
    text = 'answers on a copy of the data, with those kept'
    with report.step('data-platform', text) as step, data.alone():
        copy = folder / 'data-platform'
        shutil.copytree(data.platform, copy)
        kept = data.read('platform-answers')
        place = data.platform_place()
        async with platform_group(copy, place) as group:
            await group.start_controls(dict.fromkeys(place.controls, new))
            compare_all(step, kept, await read_platform(group))


def compare_all(
    step: Step, kept: dict[str, Any], answers: dict[str, Any]
) -> None:
    """Compare each daemon's answer to each read."""
    for asked, expected in kept.items():
        got = answers.get(asked, {})
        for name in sorted(expected.keys() | got.keys()):
            step.equal(f'{asked} {name}', expected.get(name), got.get(name))


async def check_examples(old: Build, new: Build, report: Report) -> None:
    """Compare what ``snipebend check`` says of the example files."""
    text = 'examples/*.toml by snipebend check of both'
    with report.step('check-examples', text) as step:
        for build in (old, new):
            for example in sorted((build.checkout / 'examples').glob('*.toml')):
                printed = [
                    list(await one.console('check', str(example)))
                    for one in (old, new)
                ]
                step.equal(example.name, *printed)
                step.equal(f'{example.name} code', 0, printed[0][0])


async def check_templates(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Start the programs of both builds by the templates of both."""
    text = "programs started by both builds' deploy templates"
    with report.step('check-templates', text) as step:
        for number, (build, other) in enumerate(product((old, new), repeat=2)):
            made = folder / f'templates-{number}'
            async with platform_group(made) as group:
                controls = group.place.controls
                for host in controls:
                    await group.start('control', host, build, other)
                entry = group.place.entries[0]
                await group.start('entry', entry, build, other)
                for host in (*controls, entry):
                    code = await group.programs.pop(host).terminate()
                    what = f'{build.name} by template of {other.name}'
                    step.equal(f'{what} {host}', 0, code)

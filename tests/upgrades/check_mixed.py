"""Step 2: groups of both builds, led by each, written to and read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.upgrades.comparing import OWN, still
from tests.upgrades.control_group import NAMES, control_group
from tests.upgrades.reading import read_group
from tests.upgrades.writing import write_part

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.control_group import ControlGroup
    from tests.upgrades.reporting import Report, Step


async def check_mixed(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Run a group of two old and one new daemon, and the reverse."""
    for most, other in ((old, new), (new, old)):
        name = f'mixed-two-{most.name}-one-{other.name}'
        text = 'reads of all daemons under a leader of each build'
        with report.step(name, text) as step:
            builds = dict(zip(NAMES, (most, most, other), strict=True))
            await _run(builds, folder / name, step)


async def _run(builds: Mapping[str, Build], folder: Path, step: Step) -> None:
    examples = sorted((builds['c-1'].checkout / 'examples').glob('*.toml'))
    parts: tuple[str, ...] = ()
    led_by = []
    async with control_group(folder, builds) as group:
        for leader in (NAMES[0], NAMES[2], NAMES[1]):
            await group.lead_by(leader)
            led_by.append(builds[leader].name)
            part = f'by-{leader}'
            parts = (*parts, part)
            await write_part(group, part, examples)
            step.equal(f'still led by {leader}', leader, await group.leader())
            await _compare(group, parts, examples, step)
    step.text = (
        f'reads of all daemons while led by {", ".join(led_by)}, '
        f'{len(parts)} parts written'
    )


async def _compare(
    group: ControlGroup,
    parts: tuple[str, ...],
    examples: list[Path],
    step: Step,
) -> None:
    """Compare the answers of all daemons with those of the first."""
    asker = group.builds[NAMES[0]]
    answers = await read_group(group, parts, examples, asker)
    expected = _shared(answers[NAMES[0]])
    for name in NAMES[1:]:
        got = _shared(answers[name])
        for asked in sorted(expected.keys() | got.keys()):
            what = f'{name} {asked}'
            step.equal(what, expected.get(asked), got.get(asked))


def _shared(answers: Any) -> Any:
    return still(answers, OWN)

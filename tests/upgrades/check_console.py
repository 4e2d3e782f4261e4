"""Step 5: the command line of each build against daemons of each."""

from __future__ import annotations

import json
from itertools import product
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.programs import control_toml
from tests.upgrades.comparing import MOVING, OWN, still
from tests.upgrades.waiting import until

if TYPE_CHECKING:
    from pathlib import Path

    from tests.programs import Program
    from tests.upgrades.builds import Build, Printed
    from tests.upgrades.reporting import Report, Step

#: An address without a listener.
_UNUSED_ADDRESS = '127.0.0.1:1'
_CODES = (0, 0, 0, 3, 2, 2, 0, 0, 0, 4, 4, 4)


class Asked(NamedTuple):
    """A command line, and what it printed."""

    arguments: tuple[str, ...]
    printed: Printed


async def check_console(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Compare all four pairs with the old command and the old daemon."""
    text = 'codes and outputs of commands, with those of old and old'
    expected: list[Any] = []
    for asker, daemon in product((old, new), repeat=2):
        name = f'console-{asker.name}-control-{daemon.name}'
        with report.step(name, text) as step:
            made = folder / name
            made.mkdir()
            asked = await _run(asker, daemon, made)
            codes = [one.printed.code for one in asked]
            step.equal('codes', list(_CODES), codes)
            plain = [_plain(one, made) for one in asked]
            expected = expected or plain
            _compare(step, asked, expected, plain)


def _compare(
    step: Step, asked: list[Asked], expected: list[Any], got: list[Any]
) -> None:
    pairs = zip(asked, expected, got, strict=True)
    for one, printed_before, printed in pairs:
        step.equal(one.arguments[0], printed_before, printed)


async def _run(asker: Build, daemon: Build, folder: Path) -> list[Asked]:
    """Start a daemon that is alone, and run all commands against it."""
    toml = control_toml('control', folder)
    control = await daemon.start_daemon('control', folder, 'control', toml)
    try:
        await until('a leader', lambda: _has_leader(asker, control))
        examples = sorted((daemon.checkout / 'examples').glob('*.toml'))
        commands = _commands(control, examples, folder)
        return [Asked(one, await asker.console(*one)) for one in commands]
    finally:
        await control.kill()


async def _has_leader(asker: Build, control: Program) -> bool:
    address = control.addresses['grpc']
    printed = await asker.console('show', '--control', address)
    return printed.code == 0


def _commands(
    control: Program, examples: list[Path], folder: Path
) -> list[tuple[str, ...]]:
    broken = folder / 'broken.toml'
    broken.write_text('name = 3\n', 'utf-8')
    first, second = map(str, examples[:2])
    at = ('--control', control.addresses['grpc'])
    nowhere = ('--control', _UNUSED_ADDRESS)
    return [
        ('apply', first, '--json', '--change-id', 'a', *at),
        ('apply', second, '--json', '--change-id', 'b', '--expect', '1', *at),
        # A resend gets the first answer, another file under its id none.
        ('apply', first, '--json', '--change-id', 'a', *at),
        ('apply', first, '--json', '--expect', '1', *at),
        ('apply', second, '--json', '--change-id', 'a', *at),
        ('apply', str(broken), '--json', *at),
        ('show', '--json', *at),
        ('status', '--json', *at),
        ('dump', control.addresses['admin']),
        ('show', '--json', *nowhere),
        ('status', '--json', *nowhere),
        ('dump', _UNUSED_ADDRESS),
    ]


def _plain(asked: Asked, folder: Path) -> Any:
    """Return what was printed, without what moves and the folder's name."""
    out = asked.printed.out.replace(str(folder), '')
    err = asked.printed.err.replace(str(folder), '')
    document: Any = out
    if out.startswith('{'):
        document = still(json.loads(out), MOVING | OWN)
    return [asked.printed.code, document, err]

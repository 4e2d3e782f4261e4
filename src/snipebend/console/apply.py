"""``snipebend apply``: put a fleet file in force as a whole."""

from __future__ import annotations

import asyncio
import time
from argparse import ArgumentParser, Namespace
from pathlib import Path
from uuid import uuid4

from result import Err

from snipebend.console.connection import (
    add_control_option,
    call_control,
    find_control,
)
from snipebend.console.exit_codes import ExitCode
from snipebend.console.fleet_file import read_fleet_file
from snipebend.console.in_force import InForce, wait_in_force
from snipebend.console.output import fail, print_json, print_line
from snipebend.state.messages import (
    ApplyOutcome,
    ApplyReply,
    ApplyRequest,
    ShowRequest,
)
from snipebend.transport.methods import APPLY, SHOW

HELP = 'put a fleet file in force as a whole'
EXAMPLES = (
    'examples: snipebend apply fleet.toml; '
    + 'snipebend apply fleet.toml --expect 7 --change-id rollout-12'
)


def configure(parser: ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument('file', type=Path, help='the fleet file')
    parser.add_argument(
        '--expect',
        type=int,
        help='the revision the change builds on (default: the one in force)',
    )
    parser.add_argument(
        '--change-id',
        help='repeat it to resend safely after a lost answer',
    )
    parser.add_argument(
        '--wait',
        type=float,
        metavar='SECONDS',
        help='return once the change is in force everywhere, or name who '
        + 'has not confirmed it (exit code 1)',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Apply and print the revision."""
    read = read_fleet_file(args.file)
    if read.is_err():
        return fail(read.unwrap_err())
    change_id = args.change_id or uuid4().hex
    expected = args.expect
    if expected is None:
        shown = call_control(args, SHOW, ShowRequest())
        if shown.is_err():
            return fail(shown.unwrap_err())
        expected = shown.unwrap().revision
    req = ApplyRequest(change_id, expected, read.unwrap().text)
    match call_control(args, APPLY, req):
        case Err(exc):
            print_line(f'resend with --change-id {change_id}')
            return fail(exc)
        case applied:
            return _finish(args, applied.unwrap())


def _finish(args: Namespace, reply: ApplyReply) -> int:
    """Wait if asked to, then report."""
    if args.wait is None or reply.outcome is not ApplyOutcome.ACCEPTED:
        return report(args, reply)
    deadline = time.monotonic() + args.wait
    addresses = find_control(args).unwrap()
    found = asyncio.run(wait_in_force(addresses, reply.revision, deadline))
    code = report(args, reply, found)
    return code if found.everywhere else ExitCode.FAILED


def report(
    args: Namespace, reply: ApplyReply, found: InForce | None = None
) -> int:
    """Print an answer and return the exit code for it."""
    if args.json:
        _print_document(reply, found)
    else:
        _print_text(reply, found)
    match reply.outcome:
        case ApplyOutcome.ACCEPTED:
            return ExitCode.DONE
        case ApplyOutcome.CONFLICT:
            return ExitCode.CONFLICT
        case ApplyOutcome.INVALID:
            return ExitCode.BAD_INPUT


def _print_text(reply: ApplyReply, found: InForce | None) -> None:
    print_line(f'{reply.outcome.value}: revision {reply.revision}')
    if found is not None:
        _print_in_force(found)
    if reply.message:
        print_line(reply.message)
    if reply.text:
        print_line(f'# the winner, in force now:\n{reply.text}')


def _print_document(reply: ApplyReply, found: InForce | None) -> None:
    document: dict[str, object] = {
        'outcome': reply.outcome.value,
        'revision': reply.revision,
    }
    if reply.message:
        document['message'] = reply.message
    if reply.text:
        document['winner'] = reply.text
    if found is not None:
        document['in_force_everywhere'] = found.everywhere
        document['not_confirmed'] = found.behind
        document['lapsed'] = found.lapsed
        document['unreachable'] = found.unreachable
    print_json(document)


def _print_in_force(found: InForce) -> None:
    if found.everywhere:
        print_line(f'in force everywhere: {found.processes} processes')
    elif not found.complete:
        print_line('no daemon has been up long enough to know everybody')
    for process, revision in sorted(found.behind.items()):
        print_line(f'not confirmed: {process} has revision {revision}')
    for process in found.lapsed:
        print_line(f'silent, its lease is over: {process}')
    for address in found.unreachable:
        print_line(f'control daemon did not answer: {address}')

"""``snipebend apply``: replace the configuration by a fleet file."""

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
    find_control_addresses,
)
from snipebend.console.exit_codes import ExitCode
from snipebend.console.fleet_file import read_fleet_file
from snipebend.console.in_force import InForceStatus, wait_in_force
from snipebend.console.output import print_error, print_json, print_line
from snipebend.state.messages import (
    ApplyOutcome,
    ApplyReply,
    ApplyRequest,
    ShowRequest,
)
from snipebend.transport.methods import APPLY, SHOW

HELP = 'replace the whole configuration by a fleet file'
EXAMPLES = (
    'examples: snipebend apply fleet.toml; '
    + 'snipebend apply fleet.toml --expect 7 --change-id rollout-12'
)


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('file', type=Path, help='the fleet file')
    parser.add_argument(
        '--expect',
        type=int,
        help='the revision that the change is based on; apply fails if '
        + 'another one is in force (default: the one in force)',
    )
    parser.add_argument(
        '--change-id',
        help='identifies the change; use the same id to resend it safely '
        + 'after a lost response (default: a new id)',
    )
    parser.add_argument(
        '--wait',
        type=float,
        metavar='SECONDS',
        help='wait up to SECONDS until the change is in force everywhere; '
        + 'list the processes that have not confirmed it (exit code 1)',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Apply the fleet file and print the resulting revision."""
    read = read_fleet_file(args.file)
    if read.is_err():
        return print_error(read.unwrap_err())
    change_id = args.change_id or uuid4().hex
    expected = args.expect
    if expected is None:
        shown = call_control(args, SHOW, ShowRequest())
        if shown.is_err():
            return print_error(shown.unwrap_err())
        expected = shown.unwrap().revision
    req = ApplyRequest(change_id, expected, read.unwrap().text)
    match call_control(args, APPLY, req):
        case Err(exc):
            print_line(f'resend with --change-id {change_id}')
            return print_error(exc)
        case applied:
            return _wait_and_report(args, applied.unwrap())


def _wait_and_report(args: Namespace, reply: ApplyReply) -> int:
    """Print the reply, after waiting for confirmations with ``--wait``."""
    if args.wait is None or reply.outcome is not ApplyOutcome.ACCEPTED:
        return report(args, reply)
    deadline = time.monotonic() + args.wait
    addresses = find_control_addresses(args).unwrap()
    status = asyncio.run(wait_in_force(addresses, reply.revision, deadline))
    code = report(args, reply, status)
    return code if status.is_everywhere else ExitCode.FAILED


def report(
    args: Namespace, reply: ApplyReply, status: InForceStatus | None = None
) -> int:
    """Print a reply and return the exit code for it."""
    if args.json:
        _print_json(reply, status)
    else:
        _print_text(reply, status)
    match reply.outcome:
        case ApplyOutcome.ACCEPTED:
            return ExitCode.DONE
        case ApplyOutcome.CONFLICT:
            return ExitCode.CONFLICT
        case ApplyOutcome.INVALID:
            return ExitCode.BAD_INPUT


def _print_text(reply: ApplyReply, status: InForceStatus | None) -> None:
    print_line(f'{reply.outcome.value}: revision {reply.revision}')
    if status is not None:
        _print_in_force(status)
    if reply.message:
        print_line(reply.message)
    if reply.text:
        print_line(f'# configuration in force:\n{reply.text}')


def _print_json(reply: ApplyReply, status: InForceStatus | None) -> None:
    document: dict[str, object] = {
        'outcome': reply.outcome.value,
        'revision': reply.revision,
    }
    if reply.message:
        document['message'] = reply.message
    if reply.text:
        document['winner'] = reply.text
    if status is not None:
        document['in_force_everywhere'] = status.is_everywhere
        document['not_confirmed'] = status.outdated
        document['lapsed'] = status.expired
        document['unreachable'] = status.unreachable
    print_json(document)


def _print_in_force(status: InForceStatus) -> None:
    if status.is_everywhere:
        print_line(f'in force everywhere: {status.process_count} processes')
    elif not status.is_complete:
        print_line(
            'no control daemon has been running long enough to list all '
            + 'processes',
        )
    for process, revision in sorted(status.outdated.items()):
        print_line(f'not confirmed: {process} has revision {revision}')
    for process in status.expired:
        print_line(f'silent, its lease is over: {process}')
    for address in status.unreachable:
        print_line(f'control daemon did not respond: {address}')

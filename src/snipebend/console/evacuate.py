"""``snipebend evacuate``: keep work from a data centre, or end that."""

from __future__ import annotations

import os
from argparse import ArgumentParser, Namespace

from snipebend.console.connection import add_control_option, call_control
from snipebend.console.evacuation_status import (
    print_evacuations,
    describe_evacuations,
)
from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import print_error, print_json, print_line
from snipebend.errors.hierarchy import InvalidInputError
from snipebend.state.evacuations import (
    EvacuationOutcome,
    EvacuationQuery,
    EvacuationReply,
    OrderRequest,
)
from snipebend.transport.methods import LIST_EVACUATIONS, ORDER_EVACUATION

HELP = 'send no more work to a data centre'
EXAMPLES = 'example: snipebend evacuate start zrh-1'

_LIST = 'list'


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument(
        'action',
        choices=('start', 'end', _LIST),
        help='begin or end an evacuation, or list the latest orders',
    )
    parser.add_argument(
        'data_center', nargs='?', metavar='DATA_CENTER', help='its name'
    )
    parser.add_argument(
        '--by',
        default=os.environ.get('USER', ''),
        metavar='NAME',
        help='who asks, for others to see (default: $USER)',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Send an order, or print the latest ones."""
    if args.action == _LIST:
        return _list(args)
    if not args.data_center:
        message = f'name the data centre: evacuate {args.action} DATA_CENTER'
        return print_error(InvalidInputError(message, step='evacuate'))
    req = OrderRequest(args.data_center, args.action == 'start', args.by)
    answer = call_control(args, ORDER_EVACUATION, req)
    if answer.is_err():
        return print_error(answer.unwrap_err())
    return report(args, answer.unwrap())


def report(args: Namespace, reply: EvacuationReply) -> int:
    """Print a reply and return the exit code for it."""
    if args.json:
        print_json({'outcome': reply.outcome.value, 'revision': reply.revision})
    else:
        print_line(f'{reply.outcome.value}: revision {reply.revision}')
    match reply.outcome:
        case EvacuationOutcome.UNKNOWN:
            return ExitCode.BAD_INPUT
        case EvacuationOutcome.OUTDATED:
            return ExitCode.CONFLICT
        case _:
            return ExitCode.DONE


def _list(args: Namespace) -> int:
    listed = call_control(args, LIST_EVACUATIONS, EvacuationQuery())
    if listed.is_err():
        return print_error(listed.unwrap_err())
    if args.json:
        print_json(describe_evacuations(listed.unwrap()))
    else:
        print_evacuations(listed.unwrap())
    return ExitCode.DONE

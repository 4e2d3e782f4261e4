"""``snipebend status``: show daemons, upstreams and groups."""

from __future__ import annotations

import asyncio
from argparse import ArgumentParser, Namespace

import msgspec

from snipebend.console.connection import (
    add_control_option,
    call_all,
    call_control,
    find_control_addresses,
)
from snipebend.console.evacuation_status import (
    fetch_evacuations,
    print_evacuations,
    describe_evacuations,
)
from snipebend.console.exit_codes import ExitCode
from snipebend.console.map_status import fetch_group_statuses, print_groups
from snipebend.console.member_status import MemberStatus, list_member_statuses
from snipebend.console.output import print_error, print_json, print_line
from snipebend.membership.messages import Directory, DirectoryRequest
from snipebend.state.messages import ShowReply, ShowRequest
from snipebend.transport.group_messages import GroupQuery
from snipebend.transport.methods import DIRECTORY, GROUP, SHOW

HELP = 'show daemons, upstreams and groups'
EXAMPLES = 'example: snipebend status --json'

#: The process name in the command line's requests for the directory.
_REQUESTER = ''


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Print the members, processes, upstreams and groups known to control.

    The members are printed first, before the calls that may fail.
    """
    found = find_control_addresses(args)
    if found.is_err():
        return print_error(found.unwrap_err())
    replies = asyncio.run(call_all(found.unwrap(), GROUP, GroupQuery()))
    members = list_member_statuses(replies)
    if not args.json:
        _print_members(members)
    evacuations = fetch_evacuations(found.unwrap())
    if not args.json:
        print_evacuations(evacuations)
    shown = call_control(args, SHOW, ShowRequest())
    if shown.is_err():
        return print_error(shown.unwrap_err())
    listed = call_control(args, DIRECTORY, DirectoryRequest(_REQUESTER))
    if listed.is_err():
        return print_error(listed.unwrap_err())
    groups = fetch_group_statuses(found.unwrap())
    if args.json:
        document = _to_document(shown.unwrap(), listed.unwrap())
        document['groups'] = {
            group.group: msgspec.to_builtins(group) for group in groups
        }
        document['evacuations'] = describe_evacuations(evacuations)
        document['members'] = [member._asdict() for member in members]
        print_json(document)
    else:
        _print_text(shown.unwrap(), listed.unwrap())
        print_groups(groups)
    return ExitCode.DONE


def _print_members(members: tuple[MemberStatus, ...]) -> None:
    for member in members:
        caught_up = 'yes' if member.caught_up else 'no'
        line = (
            f'member {member.name} role={member.role} '
            + f'caught_up={caught_up} '
            + f'address={member.address} id={member.member_id}'
        )
        error = member.storage_error
        print_line(f'{line} storage={error!r}' if error else line)


def _to_document(shown: ShowReply, listed: Directory) -> dict[str, object]:
    return {
        'revision': shown.revision,
        'confirmed': shown.confirmed,
        'lapsed': shown.lapsed,
        'upstreams': {
            upstream.upstream: {
                'policy': upstream.policy,
                'data_center': upstream.data_center,
                'phase': upstream.phase.value,
                'running': upstream.running,
            }
            for upstream in listed.upstreams
        },
    }


def _print_text(shown: ShowReply, listed: Directory) -> None:
    print_line(f'revision {shown.revision}')
    for process, revision in sorted(shown.confirmed.items()):
        print_line(f'process {process} revision={revision}')
    for process in shown.lapsed:
        print_line(f'process {process} silent, its lease is over')
    for upstream in sorted(listed.upstreams, key=lambda item: item.upstream):
        print_line(
            f'upstream {upstream.upstream} policy={upstream.policy} '
            + f'data_center={upstream.data_center} '
            + f'phase={upstream.phase.value} running={upstream.running}',
        )

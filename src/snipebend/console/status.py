"""``snipebend status``: daemons, upstreams and groups at a glance."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

import msgspec

from snipebend.console.connection import (
    add_control_option,
    call_all_control,
    call_control,
)
from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import fail, print_json, print_line
from snipebend.membership.messages import Directory, DirectoryRequest
from snipebend.orders.expert_load import GroupStatus, GroupStatusQuery
from snipebend.state.messages import ShowReply, ShowRequest
from snipebend.transport.methods import DIRECTORY, SHOW
from snipebend.transport.rank_methods import GROUP_STATUS

HELP = 'show daemons, upstreams and groups'
EXAMPLES = 'example: snipebend status --json'

#: The name under which the command line asks for the directory.
_ASKER = ''


def configure(parser: ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_control_option(parser)


def run(args: Namespace) -> int:
    """Print what control knows."""
    shown = call_control(args, SHOW, ShowRequest())
    if shown.is_err():
        return fail(shown.unwrap_err())
    listed = call_control(args, DIRECTORY, DirectoryRequest(_ASKER))
    if listed.is_err():
        return fail(listed.unwrap_err())
    groups = _ask_groups(args)
    if args.json:
        print_json(_document(shown.unwrap(), listed.unwrap(), groups))
    else:
        _print_text(shown.unwrap(), listed.unwrap())
        _print_groups(groups)
    return ExitCode.DONE


def _ask_groups(args: Namespace) -> tuple[GroupStatus, ...]:
    """Return the leader's view; only the leader drives expert maps."""
    replies = call_all_control(args, GROUP_STATUS, GroupStatusQuery())
    leading = [reply for reply in replies if reply.leads]
    return leading[-1].groups if leading else ()


def _document(
    shown: ShowReply,
    listed: Directory,
    groups: tuple[GroupStatus, ...],
) -> dict[str, object]:
    return {
        'groups': {group.group: msgspec.to_builtins(group) for group in groups},
        'revision': shown.revision,
        'confirmed': shown.confirmed,
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
    for upstream in sorted(listed.upstreams, key=lambda one: one.upstream):
        print_line(
            f'upstream {upstream.upstream} policy={upstream.policy} '
            + f'data_center={upstream.data_center} '
            + f'phase={upstream.phase.value} running={upstream.running}',
        )


def _print_groups(groups: tuple[GroupStatus, ...]) -> None:
    for group in sorted(groups, key=lambda one: one.group):
        print_line(
            f'group {group.group} phase={group.phase} '
            + f'incarnation={group.incarnation} '
            + f'map_version={group.map_version} members={len(group.members)} '
            + f'skew={group.skew:.3f} moved_bytes={group.moved_bytes} '
            + f'last={group.last_decision} reason={group.reason!r}',
        )

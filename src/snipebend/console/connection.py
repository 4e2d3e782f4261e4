"""Finds and calls the control daemons for the command line."""

from __future__ import annotations

import asyncio
import os
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import TypeVar

from msgspec import Struct
from result import Err, Ok, Result

from snipebend.errors.hierarchy import InvalidInputError, SnipebendError
from snipebend.settings.loading import load_settings
from snipebend.settings.base import Section
from snipebend.settings.model import ControlSection
from snipebend.transport.rpc import Method
from snipebend.transport.rpc_clients import RpcClients

Request = TypeVar('Request', bound=Struct)
Reply = TypeVar('Reply', bound=Struct)

#: Environment variable with the control addresses, separated by commas.
CONTROL_VARIABLE = 'SNIPEBEND_CONTROL'

#: Settings file of the command line, in the current folder.
CONTROL_FILE = 'snipebend.toml'

#: Seconds after which a call to one control daemon times out.
CALL_TIMEOUT_S = 5.0


class ConsoleSettings(Section, frozen=True, kw_only=True):
    """The settings of the command line."""

    control: ControlSection


def add_control_option(parser: ArgumentParser) -> None:
    """Add the ``--control`` option to a command's parser."""
    parser.add_argument(
        '--control',
        metavar='IP:PORT[,IP:PORT]',
        help=(
            f'control daemons (default: ${CONTROL_VARIABLE}, '
            + f'else [control] addresses in ./{CONTROL_FILE})'
        ),
    )


def find_control_addresses(
    args: Namespace,
) -> Result[list[str], SnipebendError]:
    """Return the control addresses.

    They are those of the flag, else of the environment variable, else of
    the settings file.
    """
    given: str = args.control or os.environ.get(CONTROL_VARIABLE, '')
    if given:
        return Ok([part.strip() for part in given.split(',')])
    path = Path(CONTROL_FILE)
    if path.exists():
        loaded = load_settings(path, ConsoleSettings)
        return loaded.map(lambda cfg: cfg.control.addresses)
    message = (
        f'no control address: give --control, ${CONTROL_VARIABLE} '
        + f'or ./{CONTROL_FILE}'
    )
    return Err(InvalidInputError(message, step='find control'))


def call_control(
    args: Namespace,
    method: Method[Request, Reply],
    req: Request,
) -> Result[Reply, SnipebendError]:
    """Call the control daemons in turn until a call succeeds."""
    found = find_control_addresses(args)
    if found.is_err():
        return Err(found.unwrap_err())
    return asyncio.run(call_any(found.unwrap(), method, req))


async def call_any(
    addresses: list[str],
    method: Method[Request, Reply],
    req: Request,
) -> Result[Reply, SnipebendError]:
    """Call the addresses in turn until a call succeeds.

    After a failed call or an error reply, the next address is called. If no
    call succeeds, the error of the last one is returned; without addresses, an
    ``InvalidInputError``.
    """
    clients = RpcClients()
    error: SnipebendError = InvalidInputError(
        'no control address given', step='call'
    )
    try:
        for peer in addresses:
            reply = await clients.call(
                peer,
                method,
                req,
                timeout=CALL_TIMEOUT_S,
            )
            if reply.is_ok():
                return Ok(reply.unwrap())
            error = reply.unwrap_err()
    finally:
        clients.close()
    return Err(error)


async def call_all(
    addresses: list[str],
    method: Method[Request, Reply],
    req: Request,
    *,
    timeout: float = CALL_TIMEOUT_S,
) -> dict[str, Reply | None]:
    """Call all addresses at once; ``None`` stands for a failed call."""
    clients = RpcClients()
    try:
        outcomes = await asyncio.gather(
            *(
                clients.call(peer, method, req, timeout=timeout)
                for peer in addresses
            ),
        )
    finally:
        clients.close()
    replies = [outcome.unwrap_or(None) for outcome in outcomes]
    return dict(zip(addresses, replies, strict=True))

"""``snipebend dump``: print the state of one process."""

from __future__ import annotations

import asyncio
from argparse import ArgumentParser, Namespace

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from snipebend.console.exit_codes import ExitCode
from snipebend.console.output import print_error, print_line
from snipebend.errors.hierarchy import UnavailableError

HELP = "print a process's state as JSON"
EXAMPLES = 'example: snipebend dump 127.0.0.1:9100'

#: Seconds after which the request times out.
TIMEOUT_S = 5.0

_STEP = 'dump'


def configure(parser: ArgumentParser) -> None:
    """Add the command's arguments to the parser."""
    parser.add_argument('address', help="the process's admin IP:PORT")


def run(args: Namespace) -> int:
    """Print the JSON document as the process returns it."""
    fetched = asyncio.run(fetch_dump(args.address))
    if fetched.is_err():
        return print_error(fetched.unwrap_err())
    print_line(fetched.unwrap())
    return ExitCode.DONE


async def fetch_dump(address: str) -> Result[str, UnavailableError]:
    """Fetch the dump of the process at an admin address as JSON text."""
    timeout = ClientTimeout(total=TIMEOUT_S)
    try:
        async with ClientSession(timeout=timeout) as session:
            return Ok(await _fetch_text(session, f'http://{address}/dump'))
    except (ClientError, OSError, ValueError) as exc:
        reason = str(exc) or type(exc).__name__
        return Err(UnavailableError(reason, step=_STEP, peer=address))


async def _fetch_text(session: ClientSession, url: str) -> str:
    async with session.get(url) as response:
        response.raise_for_status()
        return await response.text()

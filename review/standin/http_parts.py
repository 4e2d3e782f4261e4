"""The little HTTP that the stand-ins speak."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import msgspec


class Message(NamedTuple):
    """A request or a response."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the channel ends before it."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                headers[name.strip().lower()] = value.strip()
        if headers.get('transfer-encoding') == 'chunked':
            body = await _read_chunks(reader)
        else:
            length = int(headers.get('content-length', '0'))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0].split(' ', 2), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def encode(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a message with a length."""
    headers = headers | {'Content-Length': str(len(body))}
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def exchange(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new channel; None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call(
    address: tuple[str, int], path: str, content: object, timeout_s: float = 1
) -> Message | None:
    """Call a control interface with a msgpack body."""
    data = encode(
        f'POST {path} HTTP/1.1',
        {
            'Host': address[0],
            'Content-Type': 'application/msgpack',
            'Connection': 'close',
        },
        msgspec.msgpack.encode(content),
    )
    return await exchange(address, data, timeout_s)

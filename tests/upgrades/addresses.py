"""Loopback hosts of a run's own, and ports that the system says are free."""

from __future__ import annotations

import socket
from random import SystemRandom

_RANDOM = SystemRandom()


def fresh_host() -> str:
    """Return a loopback address that no other test is likely to use.

    The members' addresses are in the data: with a host of their own they can
    be taken again when copies of the data are opened later.
    """
    second, third = (_RANDOM.randint(16, 250) for _ in range(2))
    return f'127.{second}.{third}.{_RANDOM.randint(2, 250)}'


def fresh_hosts(number: int) -> list[str]:
    """Return several such addresses, all different."""
    hosts: dict[str, None] = {}
    while len(hosts) < number:
        hosts[fresh_host()] = None
    return sorted(hosts)


def free_ports(number: int, host: str) -> list[int]:
    """Return ports that are free on a host."""
    socks = [socket.socket() for _ in range(number)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [bound.getsockname()[1] for bound in socks]
    for taken in socks:
        taken.close()
    return ports

"""Minimum lease of a configuration. Performs no I/O.

A process follows a control daemon while it receives a message at least every
``KEEPALIVE_S`` and the confirmation reported in it is at most
``MAX_CONFIRMATION_AGE_S`` old. Right before the next message, the last known
confirmation can therefore be as old as both together; a shorter lease would
expire repeatedly without any fault.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.draft import Fault

if TYPE_CHECKING:
    from snipebend.fleet.model import RoutingPolicy

#: Seconds between messages to a watcher while the configuration is unchanged.
KEEPALIVE_S = 1.0
#: Maximum seconds since a quorum confirmed a daemon's configuration; after that
#: a process tries another daemon, well before the lease expires.
MAX_CONFIRMATION_AGE_S = 2.0
#: The shortest lease that always lasts until the next message.
MIN_CONFIG_LEASE_S = KEEPALIVE_S + MAX_CONFIRMATION_AGE_S


def check_lease(routing: RoutingPolicy) -> Fault | None:
    """Return a fault if the lease is too short.

    This is not a part of parsing: the replicas parse the file to decide on a
    change, and must decide the same while two releases run side by side.
    """
    if routing.config_lease_s >= MIN_CONFIG_LEASE_S:
        return None
    return Fault(
        'routing.config_lease_s',
        f'{routing.config_lease_s:g} s is too short: it must be at least '
        + f'{MIN_CONFIG_LEASE_S:g} s, since it is renewed every '
        + f'{KEEPALIVE_S:g} s by confirmations that may be '
        + f'{MAX_CONFIRMATION_AGE_S:g} s old',
    )

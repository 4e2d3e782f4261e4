"""How long the lease of a configuration must be, by how it is renewed (pure).

A process stays with a control daemon while a message comes at least each
``KEEPALIVE_S`` and none tells of a confirmation older than ``STALE_S``. Right
before the next message its copy may thus be known to be good as of both spans
ago; a shorter lease would lapse again and again in a sound system.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.draft import Fault

if TYPE_CHECKING:
    from snipebend.fleet.model import RoutingPolicy

#: Seconds between two messages to a watcher for whom nothing is new.
KEEPALIVE_S = 1.0
#: Seconds since a quorum confirmed a daemon after which another one is tried,
#: well before the lease ends.
STALE_S = 2.0
#: The shortest lease that lasts from each message to the next.
MIN_CONFIG_LEASE_S = KEEPALIVE_S + STALE_S


def check_lease(routing: RoutingPolicy) -> Fault | None:
    """Return the fault of a lease that is too short.

    Not a part of parsing: the replicas parse when they decide on a change,
    and have to decide alike while two versions run side by side.
    """
    if routing.config_lease_s >= MIN_CONFIG_LEASE_S:
        return None
    return Fault(
        'routing.config_lease_s',
        f'{routing.config_lease_s:g} s is too short: it must be at least '
        + f'{MIN_CONFIG_LEASE_S:g} s, since it is renewed every '
        + f'{KEEPALIVE_S:g} s by news that may be {STALE_S:g} s old',
    )

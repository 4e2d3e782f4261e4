"""Bounds the memory that an entry holds for slow callers and upstreams.

Answers callers of one workspace that send or read so slowly that what is held
for them would take the memory of all. Performs no I/O.
"""

from __future__ import annotations

#: Share of the VM's memory for counted buffers. A body exists twice while it is
#: copied into a call, and code and small buffers need the rest.
BUFFER_SHARE = 0.25

#: Bytes of one buffer that are not counted: the number of connections bounds
#: them, and most requests need no more.
UNCOUNTED_BYTES = 16_384

_BYTES_PER_MB = 1_000_000


class BufferBudget:
    """The bytes that are held for each workspace, and how many may be."""

    def __init__(self, capacity: int) -> None:
        """Create a budget of ``capacity`` bytes of which none are held."""
        self.capacity = capacity
        self.held = 0
        self._by_workspace: dict[str, int] = {}

    @property
    def by_workspace(self) -> dict[str, int]:
        """Return the bytes held, by workspace."""
        return dict(self._by_workspace)

    def has_room(self, workspace: str, size: int) -> bool:
        """Return whether a workspace may hold ``size`` bytes more.

        A workspace may hold at most as much as is free then, so that none fills
        the memory alone (dynamic thresholds, Choudhury and Hahne, 1998).
        """
        held = self._by_workspace.get(workspace, 0) + size
        return held <= self.capacity - self.held - size

    def hold(self, workspace: str, size: int) -> BufferHold:
        """Count bytes, which may exceed the room if they exist already."""
        held = BufferHold(self, workspace)
        held.resize(size)
        return held

    def count(self, workspace: str, change: int) -> None:
        """Add to the bytes of a workspace, or remove from them."""
        self.held += change
        held = self._by_workspace.get(workspace, 0) + change
        if held:
            self._by_workspace[workspace] = held
        else:
            self._by_workspace.pop(workspace, None)


class BufferHold:
    """The bytes of one buffer, until it is released."""

    def __init__(self, budget: BufferBudget, workspace: str) -> None:
        """Create for an empty buffer."""
        self.workspace = workspace
        self.size = 0
        self._budget = budget

    def try_grow(self, size: int) -> bool:
        """Count up to ``size`` bytes if there is room; return whether."""
        growth = size - self.size
        if growth > 0 and not self._budget.has_room(self.workspace, growth):
            return False
        self.resize(size)
        return True

    def resize(self, size: int) -> None:
        """Count ``size`` bytes from now on."""
        self._budget.count(self.workspace, size - self.size)
        self.size = size

    def release(self) -> None:
        """Count nothing any more."""
        self.resize(0)


def make_budget(memory_mb: float) -> BufferBudget | None:
    """Return the budget of a VM with this memory, or None if it is unknown."""
    if not memory_mb:
        return None
    return BufferBudget(int(memory_mb * _BYTES_PER_MB * BUFFER_SHARE))

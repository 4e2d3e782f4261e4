"""Which upstream holds which prompt prefix: a hint in bounded memory.

Fed by the router's own choices and by the engines' cache events, which come
late and with gaps. A block hash is chained with the blocks before it, so one
hash stands for a whole prefix and the index needs no tree.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, NamedTuple

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

#: Characters of one block.
BLOCK_CHARS = 64
#: Pairs of prefix and upstream that an index keeps unless told otherwise.
DEFAULT_CAPACITY = 131_072
#: Blocks of one prompt that are looked at; the rest adds nothing to a choice.
MAX_BLOCKS = 256
#: Upstreams that are remembered for one prefix.
MAX_HOLDERS = 8


def hash_chain(prompt: str) -> tuple[int, ...]:
    """Hash each full block of 64 characters, seeded with the block before.

    Equal entries at equal places mean equal prefixes. The hash is xxh64 of
    the block's UTF-8 text; the last, partial block has none.
    """
    chain = []
    seed = 0
    last = min(len(prompt), MAX_BLOCKS * BLOCK_CHARS)
    for end in range(BLOCK_CHARS, last + 1, BLOCK_CHARS):
        seed = xxh64_intdigest(prompt[end - BLOCK_CHARS : end].encode(), seed)
        chain.append(seed)
    return tuple(chain)


class CacheEventView(NamedTuple):
    """A change of an engine's cache; numbers grow by one per engine."""

    seq: int
    kind: Literal['stored', 'evicted']
    prefix: int


class PrefixMatch(NamedTuple):
    """An upstream and how many leading blocks it seems to hold."""

    upstream: str
    blocks: int


@dataclass(slots=True)
class _Feed:
    """One upstream's events; ``slot`` stands for it in the index."""

    slot: int
    incarnation: int = 0
    seen: int = 0
    stale: bool = False


class PrefixIndex:
    """Prefixes by hash, least recently used out first.

    An upstream takes part under a number, its slot. To forget all it holds
    costs nothing: it gets a new slot, and the entries of the old one fade.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Start empty with room for pairs of prefix and upstream."""
        self._capacity = capacity
        self._holders: OrderedDict[int, tuple[int, ...]] = OrderedDict()
        self._feeds: dict[str, _Feed] = {}
        self._names: dict[int, str] = {}
        self._last_slot = 0
        self._pairs = 0

    def __len__(self) -> int:
        """Return the number of pairs of prefix and upstream."""
        return self._pairs

    @property
    def stale(self) -> tuple[str, ...]:
        """Return the upstreams whose events had a gap: ask for a snapshot."""
        return tuple(name for name, feed in self._feeds.items() if feed.stale)

    def record(self, upstream: str, chain: tuple[int, ...]) -> None:
        """Note that an upstream is about to hold a prompt's prefixes.

        The head is touched last, so that a chain loses its tail first.
        """
        slot = self._feed(upstream).slot
        for prefix in reversed(chain):
            self._add(prefix, slot)

    def find(self, chain: tuple[int, ...]) -> list[PrefixMatch]:
        """Return the upstreams that hold the head of a chain, deepest first."""
        depths: dict[int, int] = {}
        alive = self._holders.get(chain[0], ()) if chain else ()
        for depth, prefix in enumerate(chain):
            holders = self._holders.get(prefix, ())
            if holders != alive:
                lost = [slot for slot in alive if slot not in holders]
                depths.update(dict.fromkeys(lost, depth))
                alive = tuple(slot for slot in alive if slot in holders)
            if not alive:
                break
        depths.update(dict.fromkeys(alive, len(chain)))
        matches = [
            PrefixMatch(self._names[slot], blocks)
            for slot, blocks in depths.items()
            if slot in self._names
        ]
        matches.sort(key=_depth, reverse=True)
        return matches

    def apply(
        self,
        upstream: str,
        incarnation: int,
        events: Iterable[CacheEventView],
    ) -> None:
        """Take events in; a missing number marks the view as stale."""
        feed = self._current(upstream, incarnation)
        if feed is None:
            return
        for event in events:
            if event.seq <= feed.seen:
                continue
            feed.stale = feed.stale or event.seq > feed.seen + 1
            feed.seen = event.seq
            self._change(feed.slot, event)

    def resync(
        self,
        upstream: str,
        incarnation: int,
        seq: int,
        prefixes: Iterable[int],
    ) -> None:
        """Replace all that an upstream holds; an old snapshot is ignored."""
        feed = self._current(upstream, incarnation)
        if feed is None or seq < feed.seen:
            return
        self._renew(upstream, feed)
        feed.seen = seq
        for prefix in prefixes:
            self._add(prefix, feed.slot)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        feed = self._feeds.pop(upstream, None)
        if feed is not None:
            self._names.pop(feed.slot)

    def _feed(self, upstream: str) -> _Feed:
        feed = self._feeds.get(upstream)
        if feed is None:
            feed = _Feed(slot=0)
            self._feeds[upstream] = feed
            self._renew(upstream, feed)
        return feed

    def _current(self, upstream: str, incarnation: int) -> _Feed | None:
        feed = self._feed(upstream)
        if incarnation < feed.incarnation:
            return None
        if incarnation > feed.incarnation:
            if feed.incarnation:
                self._renew(upstream, feed)
            feed.incarnation = incarnation
        return feed

    def _renew(self, upstream: str, feed: _Feed) -> None:
        self._names.pop(feed.slot, None)
        self._last_slot += 1
        feed.slot = self._last_slot
        feed.seen = 0
        feed.stale = False
        self._names[feed.slot] = upstream

    def _change(self, slot: int, event: CacheEventView) -> None:
        if event.kind == 'stored':
            self._add(event.prefix, slot)
        else:
            self._remove(event.prefix, slot)

    def _add(self, prefix: int, slot: int) -> None:
        before = self._holders.get(prefix, ())
        if slot not in before:
            self._holders[prefix] = _join(before, slot, self._names)
            self._pairs += len(self._holders[prefix]) - len(before)
        self._holders.move_to_end(prefix)
        while self._pairs > self._capacity:
            _, evicted = self._holders.popitem(last=False)
            self._pairs -= len(evicted)

    def _remove(self, prefix: int, slot: int) -> None:
        before = self._holders.get(prefix, ())
        after = tuple(other for other in before if other != slot)
        self._pairs += len(after) - len(before)
        if after:
            self._holders[prefix] = after
        else:
            self._holders.pop(prefix, None)


def _join(
    before: tuple[int, ...], slot: int, names: Container[int]
) -> tuple[int, ...]:
    """Put a slot first; when full, dead slots and the oldest go."""
    if len(before) < MAX_HOLDERS:
        return (slot, *before)
    others = [other for other in before if other in names]
    return (slot, *others[: MAX_HOLDERS - 1])


def _depth(match: PrefixMatch) -> int:
    return match.blocks

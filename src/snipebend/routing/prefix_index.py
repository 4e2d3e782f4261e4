"""An index of the prompt prefixes that upstreams hold, in bounded memory.

It is only a hint: its sources are the router's own choices and the engines'
cache events, which arrive late and with gaps. A block hash is chained with the
preceding blocks, so one hash identifies a complete prefix and the index needs
no tree.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, NamedTuple

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

#: Characters per block.
BLOCK_CHARS = 64
#: Default number of pairs of prefix and upstream that an index keeps.
DEFAULT_CAPACITY = 131_072
#: Blocks of one prompt that are hashed; more would not change the choice.
MAX_BLOCKS = 256
#: Upstreams recorded per prefix.
MAX_HOLDERS = 8


def hash_chain(prompt: str) -> tuple[int, ...]:
    """Hash each full block of 64 characters, seeded with the previous hash.

    Equal hashes at the same position mean equal prefixes. The hash is xxh64
    of the block's UTF-8 text; a partial last block is not hashed.
    """
    chain = []
    seed = 0
    last = min(len(prompt), MAX_BLOCKS * BLOCK_CHARS)
    for end in range(BLOCK_CHARS, last + 1, BLOCK_CHARS):
        seed = xxh64_intdigest(prompt[end - BLOCK_CHARS : end].encode(), seed)
        chain.append(seed)
    return tuple(chain)


class CacheEventView(NamedTuple):
    """A change of an engine's cache; ``seq`` grows by one per event."""

    seq: int
    kind: Literal['stored', 'evicted']
    prefix: int


class PrefixMatch(NamedTuple):
    """An upstream, and how many leading blocks it probably holds."""

    upstream: str
    blocks: int


@dataclass(slots=True)
class _EventFeed:
    """Position in one upstream's event stream.

    ``slot`` identifies the upstream in the index.
    """

    slot: int
    incarnation: int = 0
    last_seq: int = 0
    stale: bool = False


class PrefixIndex:
    """Holders by prefix hash, with least recently used eviction.

    Each upstream is identified by a slot number. Clearing all its prefixes
    takes constant time: it gets a new slot, and the pairs of the old slot are
    ignored until they are evicted.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Create an index for ``capacity`` pairs of prefix and upstream."""
        self._capacity = capacity
        self._holders: OrderedDict[int, tuple[int, ...]] = OrderedDict()
        self._feeds: dict[str, _EventFeed] = {}
        self._names: dict[int, str] = {}
        self._last_slot = 0
        self._pairs = 0

    def __len__(self) -> int:
        """Return the number of pairs of prefix and upstream."""
        return self._pairs

    @property
    def stale(self) -> tuple[str, ...]:
        """Return the upstreams with an event gap, which need a snapshot."""
        return tuple(name for name, feed in self._feeds.items() if feed.stale)

    def record(self, upstream: str, chain: tuple[int, ...]) -> None:
        """Record that an upstream will hold a prompt's prefixes.

        The head is refreshed last, so that the tail of a chain is evicted
        first.
        """
        slot = self._feed(upstream).slot
        for prefix in reversed(chain):
            self._add(prefix, slot)

    def find(self, chain: tuple[int, ...]) -> list[PrefixMatch]:
        """Return the upstreams that hold its head, longest match first."""
        depths: dict[int, int] = {}
        matching = self._holders.get(chain[0], ()) if chain else ()
        for depth, prefix in enumerate(chain):
            holders = self._holders.get(prefix, ())
            if holders != matching:
                dropped = [slot for slot in matching if slot not in holders]
                depths.update(dict.fromkeys(dropped, depth))
                matching = tuple(slot for slot in matching if slot in holders)
            if not matching:
                break
        depths.update(dict.fromkeys(matching, len(chain)))
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
        """Apply cache events; a gap in their numbers marks the feed stale."""
        feed = self._feed_of_incarnation(upstream, incarnation)
        if feed is None:
            return
        for event in events:
            if event.seq <= feed.last_seq:
                continue
            feed.stale = feed.stale or event.seq > feed.last_seq + 1
            feed.last_seq = event.seq
            self._apply_event(feed.slot, event)

    def resync(
        self,
        upstream: str,
        incarnation: int,
        seq: int,
        prefixes: Iterable[int],
    ) -> None:
        """Replace an upstream's prefixes; ignore an outdated snapshot."""
        feed = self._feed_of_incarnation(upstream, incarnation)
        if feed is None or seq < feed.last_seq:
            return
        self._reset_feed(upstream, feed)
        feed.last_seq = seq
        for prefix in prefixes:
            self._add(prefix, feed.slot)

    def forget(self, upstream: str) -> None:
        """Remove an upstream."""
        feed = self._feeds.pop(upstream, None)
        if feed is not None:
            self._names.pop(feed.slot)

    def _feed(self, upstream: str) -> _EventFeed:
        feed = self._feeds.get(upstream)
        if feed is None:
            feed = _EventFeed(slot=0)
            self._feeds[upstream] = feed
            self._reset_feed(upstream, feed)
        return feed

    def _feed_of_incarnation(
        self, upstream: str, incarnation: int
    ) -> _EventFeed | None:
        feed = self._feed(upstream)
        if incarnation < feed.incarnation:
            return None
        if incarnation > feed.incarnation:
            if feed.incarnation:
                self._reset_feed(upstream, feed)
            feed.incarnation = incarnation
        return feed

    def _reset_feed(self, upstream: str, feed: _EventFeed) -> None:
        self._names.pop(feed.slot, None)
        self._last_slot += 1
        feed.slot = self._last_slot
        feed.last_seq = 0
        feed.stale = False
        self._names[feed.slot] = upstream

    def _apply_event(self, slot: int, event: CacheEventView) -> None:
        if event.kind == 'stored':
            self._add(event.prefix, slot)
        else:
            self._remove(event.prefix, slot)

    def _add(self, prefix: int, slot: int) -> None:
        holders = self._holders.get(prefix, ())
        if slot not in holders:
            self._holders[prefix] = _add_holder(holders, slot, self._names)
            self._pairs += len(self._holders[prefix]) - len(holders)
        self._holders.move_to_end(prefix)
        while self._pairs > self._capacity:
            _, evicted = self._holders.popitem(last=False)
            self._pairs -= len(evicted)

    def _remove(self, prefix: int, slot: int) -> None:
        holders = self._holders.get(prefix, ())
        remaining = tuple(other for other in holders if other != slot)
        self._pairs += len(remaining) - len(holders)
        if remaining:
            self._holders[prefix] = remaining
        else:
            self._holders.pop(prefix, None)


def _add_holder(
    holders: tuple[int, ...], slot: int, names: Container[int]
) -> tuple[int, ...]:
    """Put a slot first; if full, drop reset slots and the oldest one."""
    if len(holders) < MAX_HOLDERS:
        return (slot, *holders)
    others = [other for other in holders if other in names]
    return (slot, *others[: MAX_HOLDERS - 1])


def _depth(match: PrefixMatch) -> int:
    return match.blocks

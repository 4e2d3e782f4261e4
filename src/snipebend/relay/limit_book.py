"""The limits of all upstreams as one entry keeps and tells them (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

from snipebend.relay.rate_limit import LimitWord, RateLimit, Spent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.relay.facts import AnswerFacts

#: Seconds for which an entry tells that a limit has ended: some repeats, of
#: which any may be lost.
TELL_ENDED_S = 5.0


class LimitTold(Struct, frozen=True, array_like=True):
    """What an entry tells the others of one upstream's limit."""

    #: Calls that it has begun since it keeps an account of the limit.
    calls: int
    #: Seconds since the upstream answered it last; absent: it never did.
    age_s: float | None = None
    #: What the upstream said then; absent: no limit.
    per_s: float | None = None


class LimitChange(NamedTuple):
    """A limit that an entry keeps from now on, or no longer."""

    upstream: str
    #: None: no limit any more.
    per_s: float | None
    #: The entry that heard it.
    entry: str


class LimitBook:
    """The accounts of upstreams that have named a limit."""

    def __init__(self) -> None:
        """Start without limits."""
        #: The part of all entries that this one hears, itself included.
        self.share = 1.0
        self._accounts: dict[str, RateLimit] = {}
        #: The newest word on each upstream, whoever heard it.
        self._words: dict[str, LimitWord] = {}
        #: What this entry heard itself.
        self._heard: dict[str, LimitWord] = {}

    def __bool__(self) -> bool:
        """Tell whether any limit is in force."""
        return bool(self._accounts)

    def note_answer(
        self, upstream: str, facts: AnswerFacts, begun_at: float, now: float
    ) -> LimitChange | None:
        """Take note of what an answer says of its upstream's limit.

        Only an answer that bears its upstream's proof, to a call begun after
        the limit was heard of, tells that the limit has ended: another one may
        have been written before.
        """
        named = facts.limit
        if facts.other_identity:
            return None
        if named is not None:
            # One that can't be read leaves what was said before.
            if named.per_s is None:
                return None
            return self._take(upstream, LimitWord(named.per_s, now), '', now)
        word = self._words.get(upstream)
        if word is None or word.per_s is None or not facts.proved:
            return None
        if begun_at <= word.heard_at:
            return None
        return self._take(upstream, LimitWord(None, now), '', now)

    def take_told(
        self,
        entry: str,
        started_at: float,
        told: Mapping[str, LimitTold],
        now: float,
    ) -> list[LimitChange]:
        """Take over what another entry has heard and begun."""
        changes: list[LimitChange] = []
        for upstream, one in told.items():
            if one.age_s is not None:
                word = LimitWord(one.per_s, now - one.age_s)
                change = self._take(upstream, word, entry, now)
                if change is not None:
                    changes.append(change)
            account = self._accounts.get(upstream)
            if account is not None:
                account.settle(now, self.share)
                account.take_spent(entry, Spent(started_at, one.calls))
        return changes

    def tell(self, now: float) -> dict[str, LimitTold]:
        """Return what to tell the other entries."""
        told: dict[str, LimitTold] = {}
        for upstream, account in self._accounts.items():
            told[upstream] = LimitTold(account.own_calls)
        for upstream, word in tuple(self._heard.items()):
            age_s = now - word.heard_at
            if word.per_s is None and age_s > TELL_ENDED_S:
                self._heard.pop(upstream)
                continue
            calls = told[upstream].calls if upstream in told else 0
            told[upstream] = LimitTold(calls, age_s, word.per_s)
        return told

    def has_room(self, upstream: str, now: float) -> bool:
        """Tell whether an upstream's limit leaves room for a call now."""
        account = self._accounts.get(upstream)
        if account is None:
            return True
        account.settle(now, self.share)
        return account.has_room()

    def room_after_s(self, upstream: str, now: float) -> float:
        """Return seconds until an upstream's limit leaves room; 0: now."""
        if self.has_room(upstream, now):
            return 0
        return self._accounts[upstream].room_after_s(self.share)

    def note_call(self, upstream: str, now: float) -> None:
        """Take note of an own call."""
        account = self._accounts.get(upstream)
        if account is not None:
            account.settle(now, self.share)
            account.note_call()

    def drop(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        self._accounts.pop(upstream, None)
        self._words.pop(upstream, None)
        self._heard.pop(upstream, None)

    def dump(self) -> dict[str, object]:
        """Return each limit in force, and what may begin under it."""
        return {
            upstream: {
                'per_s': account.per_s,
                'balance': round(account.balance, 2),
                'own_calls': account.own_calls,
            }
            for upstream, account in self._accounts.items()
        }

    def _take(
        self, upstream: str, word: LimitWord, entry: str, now: float
    ) -> LimitChange | None:
        """Take over a word unless a newer one is known."""
        if not entry:
            self._heard[upstream] = word
        before = self._words.get(upstream)
        if before is not None and before.heard_at > word.heard_at:
            return None
        self._words[upstream] = word
        known_per_s = None if before is None else before.per_s
        if word.per_s is None:
            self._accounts.pop(upstream, None)
        else:
            self._keep(upstream, word, now)
        if known_per_s == word.per_s:
            return None
        return LimitChange(upstream, word.per_s, entry)

    def _keep(self, upstream: str, word: LimitWord, now: float) -> None:
        account = self._accounts.get(upstream)
        if account is None:
            self._accounts[upstream] = RateLimit(word, now)
            return
        account.settle(now, self.share)
        account.word = word

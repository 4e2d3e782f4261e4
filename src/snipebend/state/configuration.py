"""The rules by which one configuration follows another (pure)."""

from __future__ import annotations

from msgspec import Struct, structs
from xxhash import xxh64_intdigest

from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.rendering import render_fleet
from snipebend.state.messages import ApplyOutcome, ApplyReply, ApplyRequest

#: An answer is kept for at least so many revisions ...
KEEP_REVISIONS = 1000

#: ... and for at least so many seconds, whichever lasts longer.
KEEP_S = 3600.0

#: Texts of past revisions, for deltas and for the losers of a race.
KEEP_TEXTS = 32

#: Bytes of past texts; the one in force is kept whatever its size.
KEEP_TEXT_BYTES = 16_777_216

_SOURCE = 'fleet file'


class FirstAnswer(Struct, frozen=True):
    """What a change id was answered with; the text stands in the history."""

    reply: ApplyReply
    digest: int
    keep_until: float


class ConfigurationState(Struct):
    """The configuration in force and the first answer to each change id."""

    revision: int = 0
    text: str = ''
    routing: RoutingPolicy = RoutingPolicy()
    answers: dict[str, FirstAnswer] = {}
    history: dict[int, str] = {}

    def apply(self, req: ApplyRequest, now: float = 0) -> ApplyReply:
        """Decide on a change; a resend gets the first answer again."""
        digest = xxh64_intdigest(req.text.encode())
        known = self.answers.get(req.change_id)
        if known is not None:
            return self._repeat(known, digest)
        reply = self._decide(req)
        if reply.outcome is not ApplyOutcome.INVALID:
            self._remember(req.change_id, reply, digest, now)
        return reply

    def _repeat(self, known: FirstAnswer, digest: int) -> ApplyReply:
        if known.digest != digest:
            message = 'the change id was used before with another file'
            return ApplyReply(ApplyOutcome.INVALID, self.revision, message)
        if known.reply.outcome is ApplyOutcome.CONFLICT:
            text = self.history.get(known.reply.revision, '')
            return structs.replace(known.reply, text=text)
        return known.reply

    def _remember(
        self, change_id: str, reply: ApplyReply, digest: int, now: float
    ) -> None:
        bare = structs.replace(reply, text='')
        self.answers[change_id] = FirstAnswer(bare, digest, now + KEEP_S)
        while self.answers:
            change = next(iter(self.answers))
            oldest = self.answers[change]
            age = self.revision - oldest.reply.revision
            if age <= KEEP_REVISIONS or oldest.keep_until > now:
                return
            self.answers.pop(change)

    def _decide(self, req: ApplyRequest) -> ApplyReply:
        # Its library takes 0.1 s to import, and not all daemons hold a fleet.
        from snipebend.fleet.parsing import parse_fleet

        parsed = parse_fleet(req.text, _SOURCE)
        if parsed.is_err():
            message = str(parsed.unwrap_err().message)
            return ApplyReply(ApplyOutcome.INVALID, self.revision, message)
        if req.expected_revision != self.revision:
            return self._conflict(req)
        fleet = parsed.unwrap()
        self.revision += 1
        self.text = render_fleet(fleet)
        self.routing = fleet.routing
        self._keep_text()
        return ApplyReply(ApplyOutcome.ACCEPTED, self.revision)

    def _keep_text(self) -> None:
        self.history[self.revision] = self.text
        size = sum(len(text) for text in self.history.values())
        while len(self.history) > KEEP_TEXTS or size > KEEP_TEXT_BYTES:
            oldest = next(iter(self.history))
            if oldest == self.revision:
                return
            size -= len(self.history.pop(oldest))

    def _conflict(self, req: ApplyRequest) -> ApplyReply:
        message = (
            f'expected revision {req.expected_revision}, '
            + f'but revision {self.revision} is in force'
        )
        return ApplyReply(
            ApplyOutcome.CONFLICT,
            self.revision,
            message,
            self.text,
        )

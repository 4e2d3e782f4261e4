"""State and rules of configuration changes; performs no I/O."""

from __future__ import annotations

from msgspec import Struct, structs
from xxhash import xxh64_intdigest

from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.rendering import render_fleet
from snipebend.state.messages import ApplyOutcome, ApplyReply, ApplyRequest

#: Number of revisions for which the reply to a change is kept at least ...
MIN_REPLY_REVISIONS = 1000

#: ... and the shortest time in seconds; it is removed after both.
MIN_REPLY_S = 3600.0

#: Number of past texts to keep, for deltas and for replies to changes that
#: lost a race.
MAX_TEXTS = 32

#: Limit on the total length of these texts in characters; the text in force is
#: always kept.
MAX_TEXTS_SIZE = 16_777_216

_SOURCE = 'fleet file'


class RecordedReply(Struct, frozen=True):
    """The reply to a change id, without its text: that is in the history."""

    reply: ApplyReply
    digest: int
    keep_until: float


class ConfigurationState(Struct):
    """The configuration in force and the first reply to each change id."""

    revision: int = 0
    text: str = ''
    routing: RoutingPolicy = RoutingPolicy()
    answers: dict[str, RecordedReply] = {}
    history: dict[int, str] = {}

    def apply(self, req: ApplyRequest, now: float = 0) -> ApplyReply:
        """Apply or reject a change; a resend gets the first reply again."""
        digest = xxh64_intdigest(req.text.encode())
        recorded = self.answers.get(req.change_id)
        if recorded is not None:
            return self._resend_reply(recorded, digest)
        reply = self._decide(req)
        if reply.outcome is not ApplyOutcome.INVALID:
            self._record_reply(req.change_id, reply, digest, now)
        return reply

    def _resend_reply(self, recorded: RecordedReply, digest: int) -> ApplyReply:
        if recorded.digest != digest:
            message = 'the change id was used before with another file'
            return ApplyReply(ApplyOutcome.INVALID, self.revision, message)
        if recorded.reply.outcome is ApplyOutcome.CONFLICT:
            text = self.history.get(recorded.reply.revision, '')
            return structs.replace(recorded.reply, text=text)
        return recorded.reply

    def _record_reply(
        self, change_id: str, reply: ApplyReply, digest: int, now: float
    ) -> None:
        without_text = structs.replace(reply, text='')
        self.answers[change_id] = RecordedReply(
            without_text, digest, now + MIN_REPLY_S
        )
        while self.answers:
            change = next(iter(self.answers))
            oldest = self.answers[change]
            age = self.revision - oldest.reply.revision
            if age <= MIN_REPLY_REVISIONS or oldest.keep_until > now:
                return
            self.answers.pop(change)

    def _decide(self, req: ApplyRequest) -> ApplyReply:
        # Imported here because its TOML library takes 0.1 s to import, and not
        # all daemons have a fleet.
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
        self._store_text()
        return ApplyReply(ApplyOutcome.ACCEPTED, self.revision)

    def _store_text(self) -> None:
        self.history[self.revision] = self.text
        size = sum(len(text) for text in self.history.values())
        while len(self.history) > MAX_TEXTS or size > MAX_TEXTS_SIZE:
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

"""The OpenAI-style messages of the stand-in engine."""

from __future__ import annotations

from typing import Literal

from msgspec import UNSET, Struct, UnsetType

FinishReason = Literal['length']


class Message(Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(Struct, frozen=True):
    """A caller's body for either route."""

    model: str
    prompt: str = ''
    messages: tuple[Message, ...] = ()
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0

    @property
    def full_prompt(self) -> str:
        """Return the text that the model sees, for a prompt or a chat."""
        lines = [f'{said.role}: {said.content}' for said in self.messages]
        return '\n'.join(lines) or self.prompt


class Delta(Struct, frozen=True):
    """The new part of a streamed chat message."""

    content: str


class Choice(Struct, frozen=True, omit_defaults=True):
    """The one choice of an answer or of a chunk, as its route shapes it."""

    finish_reason: FinishReason | None
    index: Literal[0] | UnsetType = UNSET
    text: str | UnsetType = UNSET
    message: Message | UnsetType = UNSET
    delta: Delta | UnsetType = UNSET


class Usage(Struct, frozen=True):
    """Counts of tokens; ``cached_tokens`` of the prompt cost no prefill."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


class Answer(Struct, frozen=True):
    """A whole answer."""

    id: str
    object: str
    model: str
    choices: tuple[Choice, ...]
    usage: Usage


class Chunk(Struct, frozen=True):
    """One streamed token; ``seq`` counts from 0 in the whole answer."""

    id: str
    object: str
    model: str
    seq: int
    choices: tuple[Choice, ...]


class Route(Struct, frozen=True):
    """What differs between the two routes."""

    answer_object: str
    chunk_object: str
    chat: bool

    def answer_choice(self, text: str) -> Choice:
        """Shape the choice of a whole answer."""
        if self.chat:
            message = Message('assistant', text)
            return Choice('length', index=0, message=message)
        return Choice('length', index=0, text=text)

    def chunk_choice(self, text: str, *, last: bool) -> Choice:
        """Shape the choice of a chunk."""
        reason: FinishReason | None = 'length' if last else None
        if self.chat:
            return Choice(reason, index=0, delta=Delta(text))
        return Choice(reason, index=0, text=text)


TEXT_ROUTE = Route('text_completion', 'text_completion', chat=False)
CHAT_ROUTE = Route('chat.completion', 'chat.completion.chunk', chat=True)

"""OpenAI-style request and response bodies of the stand-in engine."""

from __future__ import annotations

from typing import Literal

from msgspec import UNSET, Struct, UnsetType

FinishReason = Literal['length']


class Message(Struct, frozen=True):
    """A chat message."""

    role: str
    content: str


class CompletionBody(Struct, frozen=True):
    """The request body of the text and chat completion routes."""

    model: str
    prompt: str = ''
    messages: tuple[Message, ...] = ()
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0

    @property
    def full_prompt(self) -> str:
        """Return the prompt, or the chat messages joined to one."""
        lines = [
            f'{message.role}: {message.content}' for message in self.messages
        ]
        return '\n'.join(lines) or self.prompt


class Delta(Struct, frozen=True):
    """The text that a chunk adds to a streamed chat message."""

    content: str


class Choice(Struct, frozen=True, omit_defaults=True):
    """The only choice of a response or chunk; the route sets its fields."""

    finish_reason: FinishReason | None
    index: Literal[0] | UnsetType = UNSET
    text: str | UnsetType = UNSET
    message: Message | UnsetType = UNSET
    delta: Delta | UnsetType = UNSET


class Usage(Struct, frozen=True):
    """Token counts; ``cached_tokens`` of the prompt needed no prefill."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int


class Answer(Struct, frozen=True):
    """A complete response."""

    id: str
    object: str
    model: str
    choices: tuple[Choice, ...]
    usage: Usage


class Chunk(Struct, frozen=True):
    """A streamed token; ``seq`` counts from 0 over the complete response."""

    id: str
    object: str
    model: str
    seq: int
    choices: tuple[Choice, ...]


class Route(Struct, frozen=True):
    """The differences between the text and the chat completion route."""

    answer_object: str
    chunk_object: str
    chat: bool

    def answer_choice(self, text: str) -> Choice:
        """Return the choice of a complete response."""
        if self.chat:
            message = Message('assistant', text)
            return Choice('length', index=0, message=message)
        return Choice('length', index=0, text=text)

    def chunk_choice(self, text: str, *, last: bool) -> Choice:
        """Return the choice of a chunk."""
        reason: FinishReason | None = 'length' if last else None
        if self.chat:
            return Choice(reason, index=0, delta=Delta(text))
        return Choice(reason, index=0, text=text)


TEXT_ROUTE = Route('text_completion', 'text_completion', chat=False)
CHAT_ROUTE = Route('chat.completion', 'chat.completion.chunk', chat=True)

"""Parses the checked members of an OpenAI-style completion body.

Members that the entry does not know are forwarded to the engine unchecked.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from itertools import count, takewhile
from typing import Annotated, Any

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import Decoder
from result import Err, Ok, Result
from xxhash import xxh3_64_hexdigest

from snipebend.routing.prefix_index import hash_chain
from snipebend.transport.problems import Problem

#: Limit of ``max_tokens``; no engine of the fleet generates more.
MAX_TOKENS = 1_000_000

#: Most messages of a chat that are told apart.
MAX_MESSAGE_PARTS = 16

_AT_PATH = re.compile(r' - at `\$\.?([^`]*)`$')
_MISSING = re.compile(r'missing required field `([^`]+)`')

_NOT_JSON = Problem(
    HTTPStatus.BAD_REQUEST,
    'Bad body',
    'the body is not a JSON object',
)

Prompt = str | list[str | int | list[int]]
Message = dict[str, Any]


class CompletionBody(Struct, frozen=True):
    """The members of a completion call that routing uses."""

    model: Annotated[str, Meta(min_length=1)]
    prompt: Prompt | None = None
    messages: list[Message] | None = None
    max_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)] | None = None
    stream: bool | None = None
    priority: int | None = None

    @property
    def text(self) -> str:
        """Return the prompt text for matching cached prefixes."""
        if self.messages is not None:
            return '\n'.join(map(_format_message, self.messages))
        return self.prompt if isinstance(self.prompt, str) else ''

    @property
    def parts(self) -> tuple[str, ...]:
        """Return what other prompts may share with this one, as hashes.

        These are the messages of a chat but the last, wherever they stand, and
        the beginnings of a text prompt, each twice as long as the one before.
        """
        if self.messages is not None:
            number = min(len(self.messages) - 1, MAX_MESSAGE_PARTS)
            return tuple(map(_hash_message, self.messages[: max(0, number)]))
        chain = hash_chain(self.text)
        lengths = takewhile(
            lambda length: length <= len(chain),
            (1 << doublings for doublings in count()),
        )
        return tuple(f'{chain[length - 1]:016x}' for length in lengths)


class ChatBody(CompletionBody, frozen=True, kw_only=True):
    """The body of a chat completion; requires messages."""

    messages: list[Message] | None


class TextBody(CompletionBody, frozen=True, kw_only=True):
    """The body of a text completion; requires a prompt."""

    prompt: Prompt | None


_TEXT_PATH = '/v1/completions'
_CHAT_PATH = '/v1/chat/completions'

#: The paths that accept these bodies.
COMPLETION_PATHS = frozenset((_TEXT_PATH, _CHAT_PATH))

_TEXT_DECODER = Decoder(TextBody)
_CHAT_DECODER = Decoder(ChatBody)


def parse_completion(path: str, body: bytes) -> Result[CompletionBody, Problem]:
    """Parse a body; the problem names the invalid member."""
    try:
        if path == _CHAT_PATH:
            return Ok(_CHAT_DECODER.decode(body))
        return Ok(_TEXT_DECODER.decode(body))
    except ValidationError as exc:
        return Err(_wrong_member(str(exc)))
    except (DecodeError, UnicodeDecodeError):
        return Err(_NOT_JSON)


def _format_message(message: Message) -> str:
    return f'{message.get("role")}: {message.get("content")}'


def _hash_message(message: Message) -> str:
    return xxh3_64_hexdigest(_format_message(message).encode())


def _wrong_member(message: str) -> Problem:
    missing = _MISSING.search(message)
    at_path = _AT_PATH.search(message)
    if at_path is None and missing is None:
        return _NOT_JSON
    field = missing.group(1) if missing else ''
    if at_path is not None:
        field = '.'.join(filter(None, (at_path.group(1), field)))
    detail = _AT_PATH.sub('', message)
    return Problem(HTTPStatus.BAD_REQUEST, 'Bad body', detail, field=field)

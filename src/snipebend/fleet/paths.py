"""Request paths as segments, read the same way by checks and look-ups."""

from __future__ import annotations

from urllib.parse import unquote

_DOT_SEGMENTS = frozenset(('.', '..'))


def split_path(path: str) -> tuple[str, ...] | None:
    """Return the decoded segments of a request path, without its query.

    Empty segments are dropped, so that a doubled or trailing slash can't
    evade a rule. A path with dot segments has no certain meaning to the
    upstream behind and gives ``None``.
    """
    bare = path.partition('?')[0]
    segments = tuple(unquote(part) for part in bare.split('/') if part)
    if _DOT_SEGMENTS.intersection(segments):
        return None
    return segments


def is_parameter(segment: str) -> bool:
    """Tell whether a segment of a pattern stands for any one segment."""
    return segment.startswith('{')


def normalise_pattern(path: str) -> tuple[str, ...]:
    """Return a pattern's segments with the parameters' names left out."""
    segments = path.strip('/').split('/')
    return tuple('{}' if is_parameter(part) else part for part in segments)


def starts_with(path: tuple[str, ...], prefix: tuple[str, ...]) -> bool:
    """Tell whether a path lies at or below a prefix, by whole segments."""
    return path[: len(prefix)] == prefix

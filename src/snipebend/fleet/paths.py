"""Splitting of request paths, shared by validation and look-ups."""

from __future__ import annotations

from urllib.parse import unquote

_DOT_SEGMENTS = frozenset(('.', '..'))


def split_path(path: str) -> tuple[str, ...] | None:
    """Return the decoded segments of a request path, without its query.

    Empty segments are dropped, so that a double or trailing slash can't
    bypass a rule. The result is ``None`` for a path with dot segments, since
    its meaning to the upstream is uncertain.
    """
    bare = path.partition('?')[0]
    segments = tuple(unquote(part) for part in bare.split('/') if part)
    if _DOT_SEGMENTS.intersection(segments):
        return None
    return segments


def is_parameter(segment: str) -> bool:
    """Return whether a segment of a pattern matches any segment."""
    return segment.startswith('{')


def normalise_pattern(path: str) -> tuple[str, ...]:
    """Return a pattern's segments, without the names of parameters."""
    segments = path.strip('/').split('/')
    return tuple('{}' if is_parameter(part) else part for part in segments)


def starts_with(path: tuple[str, ...], prefix: tuple[str, ...]) -> bool:
    """Return whether a path begins with all segments of a prefix."""
    return path[: len(prefix)] == prefix

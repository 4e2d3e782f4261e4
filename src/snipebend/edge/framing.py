"""Refuses requests whose framing is ambiguous (RFC 9112).

Two parsers of one connection must never disagree about where a request ends: a
request that can be parsed in two ways is refused, and its connection closed.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from snipebend.edge.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    find_all,
)

if TYPE_CHECKING:
    from snipebend.hosts.model import CallerLimits
    from snipebend.relay.facts import Headers

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_DIGITS = re.compile(rb'\d{1,18}')
_VALUE = re.compile(rb'[^\x00-\x08\x0a-\x1f\x7f]*')
#: Bytes of one header line besides its name and value.
_LINE_BYTES = 4


class FramingFault(NamedTuple):
    """Why a request is refused; its connection can't be used any further."""

    status: HTTPStatus
    detail: str


def check_request(
    headers: Headers, target: bytes, version: str, limits: CallerLimits
) -> FramingFault | None:
    """Return what is wrong with a request's head, or None."""
    size = len(target) + sum(
        len(name) + len(header_value) + _LINE_BYTES
        for name, header_value in headers
    )
    if size > limits.header_bytes:
        return FramingFault(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'the head is too large'
        )
    if not all(_is_valid(*header) for header in headers):
        return _bad_request('a header is malformed')
    if not target.startswith(b'/'):
        return _bad_request('the target must be a path')
    if version == '1.1' and len(find_all(headers, b'host')) != 1:
        return _bad_request('exactly one Host header is needed')
    return _check_body(headers, version, limits)


def _check_body(
    headers: Headers, version: str, limits: CallerLimits
) -> FramingFault | None:
    lengths = find_all(headers, CONTENT_LENGTH)
    codings = find_all(headers, TRANSFER_ENCODING)
    if codings and (lengths or version != '1.1'):
        return _bad_request('both a length and a transfer coding, or HTTP/1.0')
    if len(lengths) > 1 or len(codings) > 1:
        return _bad_request('the length of the body is ambiguous')
    if codings and codings[0].strip().lower() != b'chunked':
        return _bad_request('the transfer coding must be chunked')
    if not lengths:
        return None
    if not _DIGITS.fullmatch(lengths[0]):
        return _bad_request('the length of the body is malformed')
    if int(lengths[0]) > limits.body_bytes:
        return body_too_large()
    return None


def body_too_large() -> FramingFault:
    """Return the fault of a body over the limit."""
    return FramingFault(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large'
    )


def _bad_request(detail: str) -> FramingFault:
    return FramingFault(HTTPStatus.BAD_REQUEST, detail)


def _is_valid(name: bytes, header_value: bytes) -> bool:
    if not _TOKEN.fullmatch(name):
        return False
    return _VALUE.fullmatch(header_value) is not None

"""Checks callers' requests against the fleet before they are routed."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from snipebend.routing.messages import ModelTarget, ServiceTarget, Target
from snipebend.transport.asgi import BODY_KEY
from snipebend.transport.completion_body import (
    COMPLETION_PATHS,
    CompletionBody,
    parse_completion,
)
from snipebend.transport.problems import Problem

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.fleet.model import Workspace

MODELS_PATH = '/v1/models'

_BEARER = 'bearer'
_POST = 'POST'
_GET = 'GET'

_NO_WORKSPACE = Problem(
    HTTPStatus.UNAUTHORIZED,
    'Unknown workspace',
    'the bearer token belongs to no workspace',
    field='authorization',
)
_NO_PATH = Problem(
    HTTPStatus.NOT_FOUND,
    'Unknown path',
    'no service has this path',
    field='path',
)


class CheckedRequest(NamedTuple):
    """A checked request with its workspace and target.

    A request without a target lists the models, the only call that the entry
    serves itself. ``completion`` is None for plain services. ``repeatable``
    calls may run more than once.
    """

    workspace: Workspace
    target: Target | None = None
    completion: CompletionBody | None = None
    repeatable: bool = True


def check_request(
    index: FleetIndex,
    req: Request,
) -> Result[CheckedRequest, Problem]:
    """Check workspace, path, method, size and body, in this order."""
    workspace = _authenticate(index, req.auth or '')
    if workspace is None:
        return Err(_NO_WORKSPACE)
    limit = index.fleet.routing.max_body_bytes
    if len(req.scope[BODY_KEY]) > limit:
        return Err(_too_large(limit))
    if req.path == MODELS_PATH:
        return _require_method(req, _GET).map(
            lambda _: CheckedRequest(workspace)
        )
    if req.path in COMPLETION_PATHS:
        return _require_method(req, _POST).and_then(
            lambda _: _check_completion(index, req, workspace),
        )
    return _check_service(index, req, workspace)


def model_names(index: FleetIndex, workspace: Workspace) -> tuple[str, ...]:
    """Return the models that a workspace may use, sorted."""
    names = {policy.model for policy in index.fleet.upstreams if policy.model}
    if workspace.models:
        names.intersection_update(workspace.models)
    return tuple(sorted(names))


def _authenticate(index: FleetIndex, authorization: str) -> Workspace | None:
    scheme, _, key = authorization.partition(' ')
    if scheme.lower() != _BEARER:
        return None
    return index.workspace_for_key(key.strip())


def _require_method(req: Request, method: str) -> Result[None, Problem]:
    if req.method == method:
        return Ok(None)
    detail = f'{req.path} takes {method} only'
    return Err(
        Problem(
            HTTPStatus.METHOD_NOT_ALLOWED,
            'Wrong method',
            detail,
            field='method',
        ),
    )


def _too_large(limit: int) -> Problem:
    return Problem(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {limit} bytes are taken',
        field='body',
    )


def _check_completion(
    index: FleetIndex,
    req: Request,
    workspace: Workspace,
) -> Result[CheckedRequest, Problem]:
    parsed = parse_completion(req.path, req.scope[BODY_KEY])
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    body = parsed.unwrap()
    if not index.upstreams_for_model(body.model):
        return Err(_unknown_model(body.model))
    if workspace.models and body.model not in workspace.models:
        return Err(_forbidden_model(body.model, workspace))
    return Ok(CheckedRequest(workspace, ModelTarget(body.model), body))


def _unknown_model(model: str) -> Problem:
    detail = f'no group serves the model {model!r}'
    return Problem(HTTPStatus.NOT_FOUND, 'Unknown model', detail, field='model')


def _forbidden_model(model: str, workspace: Workspace) -> Problem:
    return Problem(
        HTTPStatus.FORBIDDEN,
        'Model not allowed',
        f'workspace {workspace.name!r} may not use the model {model!r}',
        field='model',
    )


def _check_service(
    index: FleetIndex,
    req: Request,
    workspace: Workspace,
) -> Result[CheckedRequest, Problem]:
    service = index.service_for_path(req.path)
    if service is None:
        return Err(_NO_PATH)
    return Ok(
        CheckedRequest(
            workspace,
            ServiceTarget(service.name),
            repeatable=index.is_repeatable(service, req.method, req.path),
        ),
    )

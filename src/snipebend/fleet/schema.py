"""The schema of a fleet file: keys, strict types and ranges of values.

Each class corresponds to a record in ``snipebend.fleet.model``; rules that
span several entries are checked in ``snipebend.fleet.checks``.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    field_validator,
    model_validator,
)

from snipebend.fleet.model import (
    Fencing,
    Group,
    Priority,
    RoutingPolicy,
    Service,
    ServiceCall,
    StalePolicy,
    UpstreamKind,
    UpstreamPolicy,
    Weights,
    Workspace,
)

MAX_COUNT = 2_147_483_647
MAX_BYTES = 9_223_372_036_854_775_807
# A year of 366 days.
MAX_SPAN_S = 31_622_400.0
MAX_NAME_LENGTH = 128
MAX_KEY_LENGTH = 256
MAX_PATH_LENGTH = 1024
MAX_METHOD_LENGTH = 32
MAX_RATE_PER_S = 1e9
MAX_WEIGHT = 1e9

_MODEL = '[A-Za-z0-9][A-Za-z0-9._:/-]*'
_PARAMETER = r'\{[a-z][a-z0-9_]*\}'
_SEGMENT = '[A-Za-z0-9_~-][A-Za-z0-9_.~-]*'

Name = Annotated[
    str,
    Field(pattern='^[A-Za-z0-9][A-Za-z0-9._-]*$', max_length=MAX_NAME_LENGTH),
]
ModelName = Annotated[
    str, Field(pattern=f'^{_MODEL}$', max_length=MAX_NAME_LENGTH)
]
OptionalModelName = Annotated[
    str, Field(pattern=f'^({_MODEL})?$', max_length=MAX_NAME_LENGTH)
]
ApiKey = Annotated[str, Field(pattern='^[!-~]+$', max_length=MAX_KEY_LENGTH)]
PathPrefix = Annotated[
    str, Field(pattern=f'^(/{_SEGMENT})+$', max_length=MAX_PATH_LENGTH)
]
CallPath = Annotated[
    str,
    Field(
        pattern=f'^(/({_SEGMENT}|{_PARAMETER}))+$', max_length=MAX_PATH_LENGTH
    ),
]
Method = Annotated[str, Field(pattern='^[A-Z]+$', max_length=MAX_METHOD_LENGTH)]
Count = Annotated[int, Field(ge=1, le=MAX_COUNT)]
CountOrZero = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Bytes = Annotated[int, Field(ge=1, le=MAX_BYTES)]
Seconds = Annotated[float, Field(gt=0, le=MAX_SPAN_S)]
SecondsOrZero = Annotated[float, Field(ge=0, le=MAX_SPAN_S)]
Rate = Annotated[float, Field(gt=0, le=MAX_RATE_PER_S)]
WeightOrZero = Annotated[float, Field(ge=0, le=MAX_WEIGHT)]

_ROUTING = RoutingPolicy()


class _Table(BaseModel):
    """A table that rejects unknown keys and values of other types."""

    model_config = ConfigDict(
        extra='forbid', strict=True, allow_inf_nan=False, frozen=True
    )


class WeightsTable(_Table):
    """``[weights]``."""

    skew: WeightOrZero
    cost: WeightOrZero

    @model_validator(mode='after')
    def check_not_both_zero(self) -> WeightsTable:
        """Reject weights that are both 0, which express no preference."""
        if self.skew + self.cost == 0:
            raise ValueError('skew and cost must not both be 0')
        return self

    def record(self) -> Weights:
        """Return the immutable record."""
        return Weights(**self.model_dump())


class RoutingTable(_Table):
    """``[routing]``; all keys are optional."""

    request_timeout_s: Seconds = _ROUTING.request_timeout_s
    attempt_timeout_s: Annotated[Seconds, Field(validate_default=True)] = (
        _ROUTING.attempt_timeout_s
    )
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = _ROUTING.retry_ratio
    crash_limit: Count = _ROUTING.crash_limit
    quarantine_s: Seconds = _ROUTING.quarantine_s
    max_body_bytes: Bytes = _ROUTING.max_body_bytes
    answer_bytes: Bytes = _ROUTING.answer_bytes
    config_lease_s: Seconds = _ROUTING.config_lease_s

    @field_validator('attempt_timeout_s')
    @classmethod
    def check_timeouts(cls, timeout_s: float, info: ValidationInfo) -> float:
        """Reject an attempt timeout longer than the request timeout."""
        if timeout_s > info.data.get('request_timeout_s', timeout_s):
            limit = info.data['request_timeout_s']
            raise ValueError(
                f'{timeout_s:g} s must not exceed request_timeout_s, '
                + f'which is {limit:g} s'
            )
        return timeout_s

    def record(self) -> RoutingPolicy:
        """Return the immutable record."""
        return RoutingPolicy(**self.model_dump())


class HeadTable(_Table):
    """The top-level keys of the file that are not arrays of tables."""

    name: Name
    stale_policy: StalePolicy = 'refuse'
    weights: WeightsTable
    routing: RoutingTable = RoutingTable()


class PriorityTable(_Table):
    """``[[priorities]]``."""

    name: Name
    weight: Count
    queue_limit: CountOrZero

    def record(self) -> Priority:
        """Return the immutable record."""
        return Priority(**self.model_dump())


class UpstreamTable(_Table):
    """``[[upstreams]]``."""

    name: Name
    kind: UpstreamKind
    model: Annotated[OptionalModelName, Field(validate_default=True)] = ''
    # The safe default: assume that the upstream does not check fences.
    fencing: Fencing = 'ignored'
    max_concurrency: Count
    slow_start_s: SecondsOrZero
    ejection_failures: Count
    ejection_s: Seconds

    @field_validator('model')
    @classmethod
    def check_model(cls, model: str, info: ValidationInfo) -> str:
        """Require a model for engines, and none for plain services."""
        kind = info.data.get('kind')
        if kind == 'engine' and not model:
            raise ValueError('an engine needs a model')
        if kind == 'service' and model:
            raise ValueError(f'a service has no model, got {model!r}')
        return model

    def record(self) -> UpstreamPolicy:
        """Return the immutable record."""
        return UpstreamPolicy(**self.model_dump())


class GroupTable(_Table):
    """``[[groups]]``."""

    name: Name
    model: ModelName
    upstreams: Annotated[tuple[Name, ...], Field(strict=False, min_length=1)]
    ranks: Count
    experts: Count
    layers: Count
    experts_per_rank: Count
    expert_bytes: Bytes
    store_bytes_per_s: Bytes
    hold_steps: CountOrZero

    @field_validator('experts_per_rank')
    @classmethod
    def check_slots(cls, slots: int, info: ValidationInfo) -> int:
        """Reject a group whose memory can't hold each expert once."""
        ranks = info.data.get('ranks', 0)
        experts = info.data.get('experts', 0)
        if ranks and slots * ranks < experts:
            raise ValueError(
                f'{slots} slots on each of {ranks} ranks hold fewer than '
                f'{experts} experts'
            )
        return slots

    def record(self) -> Group:
        """Return the immutable record."""
        return Group(**self.model_dump())


class WorkspaceTable(_Table):
    """``[[workspaces]]``."""

    name: Name
    api_key: ApiKey
    priority: Name
    rate_per_s: Rate
    burst: Count
    max_concurrency: Count
    weight: Count
    models: Annotated[tuple[ModelName, ...], Field(strict=False)] = ()

    def record(self) -> Workspace:
        """Return the immutable record."""
        return Workspace(**self.model_dump())


class CallTable(_Table):
    """``[[services.calls]]``."""

    method: Method
    path: CallPath
    repeatable: bool


class ServiceTable(_Table):
    """``[[services]]``."""

    name: Name
    path_prefix: PathPrefix
    upstream: Name
    calls: Annotated[tuple[CallTable, ...], Field(strict=False)] = ()

    def record(self) -> Service:
        """Return the immutable record."""
        return Service(
            name=self.name,
            path_prefix=self.path_prefix,
            upstream=self.upstream,
            calls=tuple(
                ServiceCall(**call.model_dump()) for call in self.calls
            ),
        )


EntryTable = (
    PriorityTable | UpstreamTable | GroupTable | WorkspaceTable | ServiceTable
)

"""The gRPC methods for expert map switches.

The control leader calls them on agents; operators query its group status.
"""

from __future__ import annotations

from snipebend.experts.switch_messages import (
    Activate,
    Prepare,
    RankReport,
    StatusQuery,
)
from snipebend.orders.expert_load import (
    ExpertLoadQuery,
    ExpertLoadReply,
    GroupStatusQuery,
    GroupStatusReply,
)
from snipebend.orders.messages import EngineOrder, OrderReply
from snipebend.transport.rpc import Method

ORDER = Method('/snipebend.Agent/Order', EngineOrder, OrderReply)
PREPARE = Method('/snipebend.Agent/Prepare', Prepare, RankReport)
ACTIVATE = Method('/snipebend.Agent/Activate', Activate, RankReport)
RANK_STATUS = Method('/snipebend.Agent/RankStatus', StatusQuery, RankReport)
EXPERT_LOAD = Method(
    '/snipebend.Agent/ExpertLoad',
    ExpertLoadQuery,
    ExpertLoadReply,
)
GROUP_STATUS = Method(
    '/snipebend.Control/GroupStatus',
    GroupStatusQuery,
    GroupStatusReply,
)

"""Method paths as they are on the wire."""

from __future__ import annotations

CONTROL = '/snipebend.Control'
GROUP = '/snipebend.Group'

APPLY = f'{CONTROL}/Apply'
SHOW = f'{CONTROL}/Show'
WATCH = f'{CONTROL}/Watch'
WATCH_HOSTS = f'{CONTROL}/WatchHosts'
FETCH_PART = f'{CONTROL}/FetchPart'
ANNOUNCE = f'{CONTROL}/Announce'
WATCH_DIRECTORY = f'{CONTROL}/WatchDirectory'
DIRECTORY = f'{CONTROL}/Directory'
CLAIM = f'{CONTROL}/Claim'
SETTLE = f'{CONTROL}/Settle'
TAKE_FENCE = f'{CONTROL}/TakeFence'
READ_FENCE = f'{CONTROL}/ReadFence'
REPORT_CRASH = f'{CONTROL}/ReportCrash'
CLEAR_SUSPECT = f'{CONTROL}/ClearSuspect'
SUSPECTS = f'{CONTROL}/Suspects'
DECIDE_MAP = f'{CONTROL}/DecideMap'
READ_MAP = f'{CONTROL}/ReadMap'
GROUP_STATUS = f'{CONTROL}/GroupStatus'
HELLO = f'{GROUP}/Hello'
FORWARD = f'{GROUP}/Forward'
DESCRIBE = f'{GROUP}/Group'

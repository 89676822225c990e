"""Numbers of the log events of every program, one number for each kind of event.

The catalogue in ``docs/events.md`` explains each; a test keeps the two alike.
"""

from __future__ import annotations

from enum import IntEnum


class LogNumber(IntEnum):
    """Number of a kind of log event.

    Numbers are never reused. 1000 to 1999 belong to the daemon's process, 2000 to 2999 to the
    decisions of the core, 3000 to 3999 to the platform's clients, 4000 to 4999 to the command
    line.
    """

    DAEMON_READY = 1000
    DAEMON_STOPPING = 1001
    DAEMON_STOPPED = 1002
    HTTP_SERVER_FAULT = 1010
    DATAGRAM_REFUSED = 1020
    DATAGRAM_TOO_LONG = 1021
    PEER_FRAME_REFUSED = 1031
    ANSWER_CUT = 1051
    PLATFORM_CALL_FAILED = 1060
    TASK_FAILED = 1090
    CONFIG_IN_FORCE = 2000
    CONFIG_REFUSED = 2001
    POOL_TAKEN = 2100
    POOL_GIVEN_UP = 2101
    STORE_LOST = 2102
    STORE_BACK = 2103
    SERVICE_DRAINED = 2200

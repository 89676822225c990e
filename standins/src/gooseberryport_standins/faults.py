"""The faults that stand-ins show on demand, as typed values.

Each is set by ``PUT /_faults`` with the whole value in JSON; ``{}`` ends them all.
"""

from __future__ import annotations

from enum import Enum

import msgspec

FAULTS_PATH = "/_faults"
STATS_PATH = "/_stats"


class Outage(Enum):
    """How a service is out of order."""

    NONE = "none"
    REFUSE = "refuse"
    """Connections are refused."""

    HANG = "hang"
    """Requests are read and never answered."""

    ERROR = "error"
    """Requests are answered 503."""


class _Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Common form of the faults."""


class StoreFaults(_Faults, frozen=True):
    """Faults of the key-value service.

    Parameters
    ----------
    outage
        Whether it is out of order.
    delay_s
        Time by which each call is delayed; seconds.
    lose_answers
        Number of writes from now on that take effect and are not answered.
    late_writes
        Number of writes from now on that are not answered, and take effect `late_s` later.
    late_s
        Delay of late writes; seconds.
    key_prefix
        Keys to which lost and late writes are limited.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lose_answers: int = 0
    late_writes: int = 0
    late_s: float = 0.5
    key_prefix: str = ""


class VmListFaults(_Faults, frozen=True):
    """Faults of the VM list.

    Parameters
    ----------
    outage
        Whether it is out of order.
    frozen
        Whether the list stays as it was when this fault was set.
    missing
        Names of VMs that are left out.
    twice
        Names of VMs that are listed twice.
    """

    outage: Outage = Outage.NONE
    frozen: bool = False
    missing: tuple[str, ...] = ()
    twice: tuple[str, ...] = ()


class UpstreamFaults(_Faults, frozen=True):
    """Faults of an upstream.

    Parameters
    ----------
    outage
        Whether it is out of order.
    shed
        Whether it sheds every request at once.
    cut
        Whether it runs each request and then cuts the connection without an answer.
    cut_unread
        Whether it cuts each connection before it runs the request.
    half_answer
        Whether it sends half of each answer's body and then cuts the connection.
    slowdown
        Factor on its service time.
    load_lag_s
        Age of its load report; seconds.
    load_value
        Number that its load report tells in place of the truth; -1 for the truth.
    leaving
        Whether it says that it is leaving.
    """

    outage: Outage = Outage.NONE
    shed: bool = False
    cut: bool = False
    cut_unread: bool = False
    half_answer: bool = False
    slowdown: float = 1.0
    load_lag_s: float = 0.0
    load_value: int = -1
    leaving: bool = False

"""The faults that can be injected into stand-ins.

``PUT /_faults`` with the complete value in JSON replaces the faults; ``{}`` clears them all.
"""

from __future__ import annotations

from enum import Enum

import msgspec

FAULTS_PATH = "/_faults"
STATS_PATH = "/_stats"


class Outage(Enum):
    """How a service is unavailable."""

    NONE = "none"
    REFUSE = "refuse"
    """Connections are refused."""

    HANG = "hang"
    """Requests are read and never answered."""

    ERROR = "error"
    """Requests are answered with status 503."""


class _Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the faults of each kind of stand-in."""


class StoreFaults(_Faults, frozen=True):
    """Faults of the key-value store.

    Parameters
    ----------
    outage
        Whether and how it is unavailable.
    delay_s
        Delay of each call; seconds.
    lose_answers
        Number of following writes that take effect but are not answered.
    late_writes
        Number of following writes that are not answered and take effect `late_s` later.
    late_s
        Delay of late writes; seconds.
    key_prefix
        Only writes to keys with this prefix are lost or late.
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
        Whether and how it is unavailable.
    frozen
        Whether the list stays as it was when this fault was injected.
    missing
        Names of VMs omitted from the list.
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
        Whether and how it is unavailable.
    shed
        Whether it sheds every request immediately.
    cut
        Whether it runs each request and then drops the connection without an answer.
    cut_unread
        Whether it drops each connection before it runs the request.
    half_answer
        Whether it sends half of each answer's body and then drops the connection.
    slowdown
        Factor by which its service time is multiplied.
    load_lag_s
        Age of its load report; seconds.
    load_value
        Load that its load report gives in place of the true load; -1 for the true load.
    leaving
        Whether its load report marks it as leaving.
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

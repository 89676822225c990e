"""Decisions of gooseberryport, free of input and output.

`Node` is one daemon's decisions: it is fed events with a time and returns effects. Sockets,
clocks, threads and storage belong to whoever drives it.
"""

from gooseberryport_core.config import Config
from gooseberryport_core.core import Node
from gooseberryport_core.effects import Effect
from gooseberryport_core.events import Event
from gooseberryport_core.lookup import LookupEntry, LookupSnapshot
from gooseberryport_core.settings import NodeSettings, Timing

__all__ = [
    "Config",
    "Effect",
    "Event",
    "LookupEntry",
    "LookupSnapshot",
    "Node",
    "NodeSettings",
    "Timing",
]

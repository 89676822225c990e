"""Decisions of gooseberryport, free of input and output.

`Node` is one daemon's decisions: it is fed events with a time and returns effects. Sockets,
clocks, threads and storage belong to whoever drives it. Names are imported when they are first
used, so that a gateway, which needs few of them, stays small.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gooseberryport_core.config import Config
    from gooseberryport_core.effects import Effect
    from gooseberryport_core.events import Event
    from gooseberryport_core.lookup import LookupEntry, LookupSnapshot
    from gooseberryport_core.node import Node
    from gooseberryport_core.settings import NodeSettings, Timing

_MODULES = {
    "Config": "config",
    "Effect": "effects",
    "Event": "events",
    "LookupEntry": "lookup",
    "LookupSnapshot": "lookup",
    "Node": "node",
    "NodeSettings": "settings",
    "Timing": "settings",
}

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


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)

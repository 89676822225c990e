"""The decision logic of gooseberryport, which does no input or output.

`Node` takes the decisions of one daemon: it receives events with a time and returns effects. Its
caller owns the sockets, clocks, threads and storage. Public names are imported on first use, so
that a gateway, which needs few of them, uses little memory.
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
    """Import a public name from its module on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)

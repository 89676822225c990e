"""Apply changed settings while the gateway serves."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.errors import SettingsError
from gooseberryport_gateway.wire import GatewaySettings

FIXED_FIELDS = (
    "vm",
    "zone",
    "region",
    "ip",
    "front",
    "ready",
    "lookup",
    "control",
    "peer_port",
    "store",
)
"""Settings that only a restart can change: the gateway's identity and its sockets."""


def merge_settings(
    old: GatewaySettings, new: GatewaySettings
) -> tuple[GatewaySettings, list[str], list[str]]:
    """Return the settings that can be applied without a restart, and what differs.

    Returns
    -------
    merged
        `new`, with the fixed fields of `old`.
    changed
        Names of the fields that differ from `old` in `merged`.
    fixed
        Names of the fields whose change needs a restart.
    """
    differing = [name for name in old.__struct_fields__ if getattr(old, name) != getattr(new, name)]
    fixed = [name for name in differing if name in FIXED_FIELDS]
    merged = msgspec.structs.replace(new, **{name: getattr(old, name) for name in fixed})
    return merged, [name for name in differing if name not in fixed], fixed


class Reloader:
    """Read the settings again on a signal, and periodically.

    Parameters
    ----------
    state
        State whose settings are replaced.
    load
        Reads the settings; raises `SettingsError` if they are invalid.
    """

    def __init__(self, *, state: GatewayState, load: Callable[[], GatewaySettings]) -> None:
        self._state = state
        self._load = load
        self._error = ""
        self._fixed: list[str] = []

    def reload(self, *, signalled: bool) -> None:
        """Apply the settings if they changed; log every change and every signal.

        Parameters
        ----------
        signalled
            Whether the platform signalled that they changed.
        """
        log = self._state.log
        try:
            new = self._load()
        except SettingsError as exc:
            if signalled or str(exc) != self._error:
                self._error = str(exc)
                log.write(LogNumber.GATEWAY_SETTINGS_REJECTED, error=self._error)
            return
        self._error = ""
        merged, changed, fixed = merge_settings(self._state.settings, new)
        if changed:
            self._state.apply_settings(merged)
        if signalled or changed or fixed != self._fixed:
            self._fixed = fixed
            log.write(
                LogNumber.GATEWAY_SETTINGS_RELOADED,
                signalled=signalled,
                changed=",".join(changed),
                needs_restart=",".join(fixed),
            )

"""Wait until a version is in force in every daemon."""

from __future__ import annotations

from gooseberryport_cli.context import Context
from gooseberryport_cli.daemon_client import DaemonClient
from gooseberryport_cli.errors import DaemonError, NotInForceError
from gooseberryport_core.types import ConfigVersion, VmState

POLL_S = 0.2


def wait_until_in_force(ctx: Context, version: ConfigVersion, timeout_s: float) -> None:
    """Wait until every VM that a daemon knows has a version in force.

    Parameters
    ----------
    timeout_s
        Longest wait; seconds.

    Raises
    ------
    NotInForceError
        If some do not have it in time.
    DaemonError
        If no daemon answers in time.
    """
    daemon_client = ctx.daemon_client()
    deadline = ctx.environment.monotonic() + timeout_s
    with ctx.progress(f"waiting until version {version} is in force everywhere"):
        while True:
            late = ctx.environment.monotonic() >= deadline
            missing = _missing(daemon_client, version, must_answer=late)
            if missing is not None and not missing:
                return
            if late:
                raise NotInForceError(version=version, missing=missing or {}, waited_s=timeout_s)
            ctx.environment.sleep(POLL_S)


def _missing(
    daemon_client: DaemonClient, version: ConfigVersion, *, must_answer: bool
) -> dict[str, ConfigVersion] | None:
    """Return the VMs without the version; None if no daemon answers, unless it must."""
    try:
        page = daemon_client.status()
    except DaemonError:
        if must_answer:
            raise
        return None
    return {
        vm.vm: vm.config_version
        for vm in page.vms
        if vm.state != VmState.GONE and vm.config_version < version
    }

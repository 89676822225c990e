"""Waits until a configuration version is in force in every daemon."""

from __future__ import annotations

from gooseberryport_cli.context import Context
from gooseberryport_cli.daemon_client import DaemonClient
from gooseberryport_cli.errors import DaemonError, NotInForceError
from gooseberryport_core.types import ConfigVersion, VmState

POLL_INTERVAL_S = 0.2


def wait_until_in_force(ctx: Context, version: ConfigVersion, timeout_s: float) -> None:
    """Wait until a version is in force in every VM that a daemon's status page lists.

    Parameters
    ----------
    timeout_s
        Maximum time to wait; seconds.

    Raises
    ------
    NotInForceError
        If the version is not in force in some VMs in time.
    DaemonError
        If no daemon answers in time.
    """
    daemon_client = ctx.daemon_client()
    deadline = ctx.environment.monotonic() + timeout_s
    with ctx.progress(f"waiting until version {version} is in force everywhere"):
        while True:
            timed_out = ctx.environment.monotonic() >= deadline
            missing = _missing_vms(daemon_client, version, must_answer=timed_out)
            if missing is not None and not missing:
                return
            if timed_out:
                raise NotInForceError(version=version, missing=missing or {}, waited_s=timeout_s)
            ctx.environment.sleep(POLL_INTERVAL_S)


def _missing_vms(
    daemon_client: DaemonClient, version: ConfigVersion, *, must_answer: bool
) -> dict[str, ConfigVersion] | None:
    """Return the VMs without the version, with the version in force there.

    If no daemon answers, returns None, or raises `DaemonError` if `must_answer`.
    """
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

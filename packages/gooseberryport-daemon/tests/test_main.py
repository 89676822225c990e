import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from daemon_harness import WAIT_TIMEOUT_S, Deployment

BINARY = Path(sys.executable).with_name("gooseberryportd")


def run(*args: str, settings: bytes = b"") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [BINARY, *args], input=settings, capture_output=True, timeout=WAIT_TIMEOUT_S
    )


@pytest.mark.parametrize(
    ("args", "settings", "code", "message"),
    [
        ((), b"", 2, b"settings"),
        (("--colour", "/dev/stdin"), b"", 2, b"colour"),
        (("/nowhere/settings.json",), b"", 2, b"Check the path"),
        (("/dev/stdin",), b"{}", 2, b"vm"),
        (("/dev/stdin", "--check"), b'{"vm": 7}', 2, b"vm"),
    ],
)
def test_usage_errors_exit_with_2(
    args: tuple[str, ...], settings: bytes, code: int, message: bytes
) -> None:
    done = run(*args, settings=settings)
    assert done.returncode == code
    assert message in done.stderr + done.stdout
    assert b"Traceback" not in done.stderr


def test_check_exits_with_0_and_a_port_in_use_with_1(deployment: Deployment) -> None:
    settings = deployment.settings("vm-1")
    assert run("/dev/stdin", "--check", settings=msgspec.json.encode(settings)).returncode == 0
    taken = deployment.start_daemon(settings, ready=False)
    for field, address in (("http_listen", taken.http), ("peer_listen", taken.peer)):
        clash = msgspec.structs.replace(settings, **{field: address})
        done = run("/dev/stdin", settings=msgspec.json.encode(clash))
        assert (done.returncode, done.stdout) == (1, b"")
        assert address.encode() in done.stderr
        assert b"Choose a free port" in done.stderr
        assert b"Traceback" not in done.stderr

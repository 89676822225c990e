import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from daemon_harness import Deployment, open_deployment

from gooseberryport_standins.upstream import UpstreamSpec


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    with open_deployment() as opened:
        yield opened


def start_single_daemon(deployment: Deployment) -> Deployment:
    """Start one daemon that owns the pool of one upstream with four slots."""
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01))
    deployment.start_daemon_for(deployment.fleet)
    return deployment


@pytest.fixture
def single_daemon(deployment: Deployment) -> Deployment:
    return start_single_daemon(deployment)


@pytest.fixture(scope="module")
def shared() -> Iterator[Deployment]:
    """One deployment for all tests of a module that do not change it."""
    with open_deployment() as opened:
        yield start_single_daemon(opened)

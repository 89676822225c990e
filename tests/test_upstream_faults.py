import pytest

from gooseberryport_standins.caller import CallEnd, KeyKind, LoadPlan, Traffic
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.local_cluster import (
    SERVICE,
    UPSTREAMS,
    LocalCluster,
    open_local_cluster,
)
from gooseberryport_standins.upstream import UpstreamSpec

MIXED = (
    Traffic(SERVICE, weight=3.0),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.ISSUED, body_bytes=500),
    Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.OWN, body_bytes=500),
    Traffic(SERVICE, "POST", weight=1.0, body_bytes=500),
)
PLAN = LoadPlan(MIXED, rate=60.0, seconds=2.0, threads=24, seed=3)

ALL_SERVED = {CallEnd.ANSWERED}
SOME_NOT_RUN = {CallEnd.ANSWERED, CallEnd.NOT_RUN}
SOME_UNKNOWN = {CallEnd.ANSWERED, CallEnd.NOT_RUN, CallEnd.UNKNOWN}


@pytest.mark.parametrize(
    ("faults", "allowed_ends", "min_fraction"),
    [
        (UpstreamFaults(), ALL_SERVED, 1.0),
        (UpstreamFaults(cut=True), SOME_UNKNOWN, 0.5),
        (UpstreamFaults(cut_unread=True), SOME_UNKNOWN, 0.5),
        (UpstreamFaults(half_answer=True), SOME_UNKNOWN, 0.5),
        (UpstreamFaults(load_value=0, load_lag_s=30.0), ALL_SERVED, 1.0),
        (UpstreamFaults(load_value=99), SOME_NOT_RUN, 0.9),
        (UpstreamFaults(slowdown=5.0), ALL_SERVED, 1.0),
    ],
)
def test_fault_of_one_upstream_breaks_no_promise(
    trial: LocalCluster, faults: UpstreamFaults, allowed_ends: set[CallEnd], min_fraction: float
) -> None:
    trial.fleet.upstreams[UPSTREAMS[0]].set_faults(faults)
    results = trial.load(PLAN)
    assert trial.violations(results) == []
    assert {result.end for result in results} <= allowed_ends
    served = sum(result.end == CallEnd.ANSWERED for result in results)
    assert served >= min_fraction * len(results)


def test_requests_shed_by_all_upstreams_are_reported_as_not_run(trial: LocalCluster) -> None:
    for upstream in trial.fleet.upstreams.values():
        upstream.set_faults(UpstreamFaults(shed=True))
    results = trial.load(LoadPlan(MIXED, rate=30.0, seconds=1.0, threads=16, seed=4))
    assert {result.end for result in results} == {CallEnd.NOT_RUN}
    assert trial.violations(results) == []


def test_cold_start_costs_no_answer() -> None:
    specs = tuple(
        UpstreamSpec(name, service_time_s=0.01, cold_runs=40, cold_factor=12.0)
        for name in UPSTREAMS
    )
    with open_local_cluster(daemons=2, specs=specs) as trial:
        results = trial.load(PLAN)
        assert trial.violations(results) == []
        assert {result.end for result in results} == ALL_SERVED

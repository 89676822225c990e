from gooseberryport_standins.caller import CallEnd, KeyKind, LoadPlan, Traffic
from gooseberryport_standins.faults import UpstreamFaults
from gooseberryport_standins.local_cluster import SERVICE, open_local_cluster
from gooseberryport_standins.upstream import UpstreamSpec

PLAN = LoadPlan(
    (
        Traffic(SERVICE, weight=2.0),
        Traffic(SERVICE, "POST", weight=1.0, key=KeyKind.ISSUED, body_bytes=500),
        Traffic(SERVICE, "POST", weight=1.0, body_bytes=500),
    ),
    rate=60.0,
    seconds=3.0,
    threads=24,
    seed=3,
)


def test_requests_go_to_other_pools_if_a_pools_only_upstream_sheds() -> None:
    with open_local_cluster(daemons=3) as trial:
        trial.fleet.upstreams["registry-1"].set_faults(UpstreamFaults(shed=True))
        results = trial.load(PLAN)
        assert trial.violations(results) == []
        served = sum(result.end == CallEnd.ANSWERED for result in results)
        assert served >= 0.95 * len(results)


def test_shedding_upstream_attracts_no_traffic() -> None:
    specs = tuple(UpstreamSpec(f"registry-{n}", service_time_s=0.02, seed=n) for n in range(4))
    with open_local_cluster(daemons=3, specs=specs) as trial:
        shedding = trial.fleet.upstreams["registry-0"]
        shedding.set_faults(UpstreamFaults(shed=True))
        results = trial.load(PLAN)
        assert trial.violations(results) == []
        assert {result.end for result in results} <= {CallEnd.ANSWERED, CallEnd.NOT_RUN}
        served = sum(result.end == CallEnd.ANSWERED for result in results)
        assert served >= 0.95 * len(results)
        assert shedding.stats().shed < 0.1 * len(results)

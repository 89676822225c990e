from daemon_harness import ZONES, Deployment, call, make_config, until

from gooseberryport_standins.upstream import UpstreamSpec


def test_an_entry_daemon_forwards_to_the_owner(deployment: Deployment) -> None:
    deployment.start_upstreams(UpstreamSpec("up-1", service_time_s=0.01))
    deployment.publish(make_config(deployment.fleet))
    owner = deployment.start_daemon(deployment.settings("vm-1"))
    entry = deployment.start_daemon(
        deployment.settings("vm-2", ZONES[1], peers=(owner.peer,), load_report_period_s=60.0)
    )
    until(lambda: call(entry.http, "/dressing-registry/x").status == 200)
    for body in (b"", b"x" * 1_000, b"y" * 300_000):
        reply = call(entry.http, "/dressing-registry/x", "POST", body)
        assert reply.status == 200
    assert entry.running is not None and entry.running.driver.upstreams.running() == 0

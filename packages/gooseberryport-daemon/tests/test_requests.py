from daemon_harness import Deployment, call


def test_request_is_run_and_its_answer_returned(single_daemon: Deployment) -> None:
    reply = call(single_daemon.daemons[0].http, "/dressing-registry/x")
    assert reply.status == 200
    assert len(reply.body) == 2_000

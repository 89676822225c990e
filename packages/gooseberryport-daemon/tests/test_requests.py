from daemon_harness import Deployment, call


def test_request_is_run_and_its_answer_returned(single: Deployment) -> None:
    reply = call(single.daemons[0].http, "/dressing-registry/x")
    assert reply.status == 200
    assert len(reply.body) == 2_000

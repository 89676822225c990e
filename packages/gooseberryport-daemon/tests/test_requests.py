from daemon_harness import Deployment, call


def test_a_request_runs_and_its_answer_comes_back(single: Deployment) -> None:
    reply = call(single.daemons[0].http, "/dressing-registry/x")
    assert reply.status == 200
    assert len(reply.body) == 2_000

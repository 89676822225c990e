import pytest

from gooseberryport_core.gateway.verdicts import STATUS_TABLE, Verdict, judge

PROMISES = (408, 421, 429, 503)
"""Statuses by which a client knows that its request did not run."""


def test_table_has_each_status_of_three_digits_once():
    # Failure: a status that nobody thought of is passed on.
    assert [status for row in STATUS_TABLE for status in row.statuses] == list(range(1000))


@pytest.mark.parametrize("signed", [True, False])
@pytest.mark.parametrize("encoded", [True, False])
def test_client_receives_no_upstreams_status_that_promises_or_is_none(signed, encoded):
    # Failure: a client takes an upstream's failure for a refusal, or bytes that are no response.
    passed_on = [
        status
        for status in range(1000)
        if judge(status=status, signed=signed, not_executed=False, encoded=encoded)
        in (Verdict.ANSWER, Verdict.FAILURE)
    ]
    assert not set(passed_on) & set(PROMISES)
    assert all(200 <= status < 600 for status in passed_on)
    assert not encoded or not passed_on
    assert signed or all(status >= 300 for status in passed_on)


def test_only_failures_that_state_it_and_unsigned_421_did_not_run():
    # Failure: a request that may not be repeated is sent again after a response that says nothing.
    not_run = {
        (status, signed, not_executed)
        for status in range(1000)
        for signed in (True, False)
        for not_executed in (True, False)
        if judge(status=status, signed=signed, not_executed=not_executed)
        in (Verdict.REFUSAL, Verdict.MISDIRECTED)
    }
    stated = {(status, signed, True) for status in range(300, 600) for signed in (True, False)}
    assert not_run == stated | {(421, False, False)}

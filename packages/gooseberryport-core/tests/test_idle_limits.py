import pytest

from gooseberryport_core.gateway.idle_limits import LEARNED_LIMIT_TTL_S, IdleLimits

UNLIMITED = float("inf")


def limits_after(*resets):
    limits = IdleLimits()
    for upstream, idle_s, now in resets:
        limits.record_reset(service="s", upstream=upstream, idle_s=idle_s, now=now)
    return limits


@pytest.mark.parametrize(
    ("resets", "upstream", "now", "expected"),
    [
        ([], "u1", 0.0, UNLIMITED),
        ([("u1", 0.4, 0.0)], "u1", 1.0, 0.2),
        ([("u1", 0.4, 0.0)], "u2", 1.0, UNLIMITED),
        ([("u1", 0.4, 0.0)], "u1", LEARNED_LIMIT_TTL_S, UNLIMITED),
        ([("u1", 0.4, 0.0), ("u1", 3.0, 1.0)], "u1", 2.0, 0.2),
        ([("u1", 0.4, 0.0), ("u1", 3.0, LEARNED_LIMIT_TTL_S)], "u1", LEARNED_LIMIT_TTL_S, 1.5),
        ([("u1", 0.4, 0.0), ("u2", 3.0, 1.0)], "u3", 2.0, 0.2),
        ([("u1", 0.4, 0.0), ("u2", 3.0, 1.0)], "u3", LEARNED_LIMIT_TTL_S + 0.5, UNLIMITED),
    ],
)
def test_resets_limit_the_idle_time_for_one_upstream_or_for_all(resets, upstream, now, expected):
    max_idle_s = limits_after(*resets).max_idle_s(service="s", upstream=upstream, now=now)
    assert max_idle_s == pytest.approx(expected)


def test_other_services_are_not_limited():
    limits = limits_after(("u1", 0.4, 0.0), ("u2", 0.4, 0.0))
    assert limits.max_idle_s(service="other", upstream="u1", now=0.1) == UNLIMITED


def count_lost_requests(limits, *, upstreams=20, gap_s=0.5, rounds=8):
    """Count lost requests if upstreams drop each connection that is idle between two requests."""
    count = 0
    for round_number in range(rounds):
        for index in range(upstreams):
            now = round_number * gap_s + index * gap_s / upstreams
            upstream = f"u{index}"
            if limits.max_idle_s(service="s", upstream=upstream, now=now) >= gap_s:
                count += 1
                limits.record_reset(service="s", upstream=upstream, idle_s=gap_s, now=now)
    return count


class NoLimits(IdleLimits):
    def record_reset(self, **_):
        pass


def test_few_requests_are_lost_while_many_upstreams_drop_idle_connections():
    assert count_lost_requests(NoLimits()) == 160
    assert count_lost_requests(IdleLimits()) == 2

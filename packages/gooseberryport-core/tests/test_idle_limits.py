import pytest

from gooseberryport_core.gateway.idle_limits import LEARNED_LIMIT_TTL_S, IdleLimits

UNKNOWN = float("inf")


def learned(*resets):
    limits = IdleLimits()
    for upstream, idle_s, now in resets:
        limits.record_reset(service="s", upstream=upstream, idle_s=idle_s, now=now)
    return limits


@pytest.mark.parametrize(
    ("resets", "upstream", "now", "expected"),
    [
        ([], "u1", 0.0, UNKNOWN),
        ([("u1", 0.4, 0.0)], "u1", 1.0, 0.2),
        ([("u1", 0.4, 0.0)], "u2", 1.0, UNKNOWN),
        ([("u1", 0.4, 0.0)], "u1", LEARNED_LIMIT_TTL_S, UNKNOWN),
        ([("u1", 0.4, 0.0), ("u1", 3.0, 1.0)], "u1", 2.0, 0.2),
        ([("u1", 0.4, 0.0), ("u1", 3.0, LEARNED_LIMIT_TTL_S)], "u1", LEARNED_LIMIT_TTL_S, 1.5),
        ([("u1", 0.4, 0.0), ("u2", 3.0, 1.0)], "u3", 2.0, 0.2),
        ([("u1", 0.4, 0.0), ("u2", 3.0, 1.0)], "u3", LEARNED_LIMIT_TTL_S + 0.5, UNKNOWN),
    ],
)
def test_resets_bound_the_rest_of_their_own_upstream_or_of_all(resets, upstream, now, expected):
    max_idle_s = learned(*resets).max_idle_s(service="s", upstream=upstream, now=now)
    assert max_idle_s == pytest.approx(expected)


def test_other_services_are_not_bound():
    limits = learned(("u1", 0.4, 0.0), ("u2", 0.4, 0.0))
    assert limits.max_idle_s(service="other", upstream="u1", now=0.1) == UNKNOWN


def lost(limits, *, upstreams=20, gap_s=0.5, rounds=8):
    """Send to each upstream every `gap_s`, when it has forgotten the connection; count losses."""
    count = 0
    for turn in range(rounds):
        for index in range(upstreams):
            now = turn * gap_s + index * gap_s / upstreams
            name = f"u{index}"
            if limits.max_idle_s(service="s", upstream=name, now=now) >= gap_s:
                count += 1
                limits.record_reset(service="s", upstream=name, idle_s=gap_s, now=now)
    return count


class NoLimits(IdleLimits):
    def record_reset(self, **_):
        pass


def test_few_requests_are_lost_while_many_upstreams_forget():
    assert lost(NoLimits()) == 160
    assert lost(IdleLimits()) == 2

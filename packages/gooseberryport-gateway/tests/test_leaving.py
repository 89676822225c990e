"""What a gateway keeps of an upstream's word that it leaves, whatever the store says."""

import pytest
from gateway_harness import GatewayHarness, run

from gooseberryport_core.gateway.announcements import Announcement, Gate
from gooseberryport_core.gateway.model import UpstreamState
from gooseberryport_standins.samples import make_entry

BORN = 5


def leaving_state():
    state = GatewayHarness().state
    state.put_upstream(make_entry("u1", started_ms=BORN, sequence=7), now=0.0)
    state.statements.record_announcement(
        state.upstreams.get("u1"),
        Announcement(leaving=True),
        started_ms=BORN,
        request="r1",
        now=1.0,
    )
    assert state.upstreams.usable("s") == []
    return state


# Guards against an old, or a kept, entry that brings a leaving upstream back.
@pytest.mark.parametrize("started_ms", [BORN - 1, BORN])
@pytest.mark.parametrize("removed", [False, True])
def test_entries_of_this_or_an_earlier_incarnation_do_not_end_the_leaving(started_ms, removed):
    async def main():
        state = leaving_state()
        if removed and started_ms == BORN:
            state.remove_upstream("u1", reason="entry removed", now=2.0)
        state.put_upstream(make_entry("u1", started_ms=started_ms, sequence=9), now=3.0)
        state.put_upstream(make_entry("u1", started_ms=BORN, sequence=10), now=4.0)
        assert state.upstreams.usable("s") == []
        assert state.statements.gate(state.upstreams.get("u1")) is Gate.LEAVING

    run(main())


def test_a_later_incarnation_ends_the_leaving():
    async def main():
        state = leaving_state()
        state.put_upstream(make_entry("u1", started_ms=BORN + 1, sequence=1), now=3.0)
        known = state.upstreams.get("u1")
        assert known.entry.state is UpstreamState.READY
        assert state.statements.gate(known) is Gate.OPEN
        assert state.announcements.leaving_count == 0

    run(main())


def test_a_response_of_an_earlier_incarnation_says_nothing_of_this_one():
    async def main():
        state = GatewayHarness().state
        state.put_upstream(make_entry("u1", started_ms=BORN), now=0.0)
        known = state.upstreams.get("u1")
        announcement = Announcement(leaving=True, pause_s=2.0)
        state.statements.record_announcement(
            known, announcement, started_ms=BORN - 1, request="r1", now=1.0
        )
        assert state.statements.gate(known) is Gate.OPEN
        assert state.upstreams.usable("s") == [known]

    run(main())

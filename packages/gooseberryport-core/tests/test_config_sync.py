import pytest

from gooseberryport_core.config_store import HEAD_KEY, PARTS_PREFIX
from gooseberryport_core.log_events import LogNumber
from gooseberryport_standins.simulation import STORE, Simulation, config_publisher, publish_files
from gooseberryport_standins.soak import PLACES, example_config

CFG = example_config()
MAX_DELAY_S = 4.0


def settled_simulation(seed: int = 1, loss: float = 0.05, **changes: object) -> Simulation:
    sim = Simulation(seed=seed, places=PLACES, publish=config_publisher(CFG), loss=loss, **changes)
    sim.run_until(lambda: is_in_force(sim, 1), 10.0)
    sim.run(1.0)
    return sim


def is_in_force(sim: Simulation, version: int) -> bool:
    return all(daemon.config.cfg.version == version for daemon in sim.daemons.values())


def publish_change(sim: Simulation, name: str = "limits.json", content: bytes = b"{}") -> int:
    return publish_files(sim.store, {name: content})


@pytest.mark.parametrize("seed", range(5))
def test_version_is_in_force_everywhere_within_four_seconds(seed: int) -> None:
    sim = settled_simulation(seed)
    for _ in range(3):
        version = publish_change(
            sim, content=b'{"limits": {"lease_s": 2.%d}}' % sim.rng.randrange(1, 9)
        )
        assert sim.run_until(lambda version=version: is_in_force(sim, version), 20.0) < MAX_DELAY_S


def test_daemons_that_cannot_reach_the_store_fetch_from_peers() -> None:
    sim = settled_simulation()
    for vm in sorted(PLACES)[1:]:
        sim.cut(vm, STORE)
    sim.run(3.0)
    version = publish_change(sim)
    assert sim.run_until(lambda: is_in_force(sim, version), 60.0) < MAX_DELAY_S


def test_new_daemon_fetches_from_peers_while_the_store_is_unavailable() -> None:
    sim = settled_simulation()
    sim.store.available = False
    sim.run(5.0)
    sim.kill("vm-2")
    sim.start("vm-2")
    assert sim.run_until(lambda: is_in_force(sim, 1), 20.0) < MAX_DELAY_S


@pytest.mark.parametrize("store_up", [True, False])
def test_restarted_daemon_applies_the_highest_version(store_up: bool) -> None:
    sim = settled_simulation()
    for peer in (*sorted(PLACES), STORE):
        sim.cut("vm-1", peer)
    version = publish_change(sim)
    sim.run_until(lambda: sim.daemons["vm-2"].config.cfg.version == version, 10.0)
    sim.run(2.0)
    sim.store.available = store_up
    sim.kill("vm-2")
    sim.start("vm-2")
    sim.cut_links.clear()
    sim.run(5.0)
    assert sim.daemons["vm-2"].applied_versions == [version]


def test_invalid_configuration_is_rejected_and_the_next_one_applied() -> None:
    sim = settled_simulation()
    rejected = publish_change(sim, content=b'{"limits": {"lease_s": -1, "leese_s": 2}}')
    sim.run(MAX_DELAY_S)
    assert is_in_force(sim, 1)
    logged = [event.fields for _, event in sim.logs if event.number == LogNumber.CONFIG_REFUSED]
    assert logged
    assert all(fields["version"] == str(rejected) for fields in logged)
    assert "leese_s" in logged[0]["problems"]
    version = publish_change(sim)
    assert sim.run_until(lambda: is_in_force(sim, version), 20.0) < MAX_DELAY_S


def test_watch_without_a_reply_is_replaced_by_a_read() -> None:
    sim = settled_simulation()
    sim.unanswered_watches = True
    sim.run(10.0)
    version = publish_change(sim)
    timeout_s = sim.timing.watch_s + 3 * sim.timing.store_timeout_s + MAX_DELAY_S
    assert sim.run_until(lambda: is_in_force(sim, version), 60.0) < timeout_s


def test_long_parts_are_transferred_between_peers_over_a_lossy_network() -> None:
    sim = settled_simulation(loss=0.2)
    padding = b'{"limits": {}}' + b" " * 200_000
    version = publish_change(sim, content=padding)
    assert sim.run_until(lambda: is_in_force(sim, version), 60.0) < 10.0


def test_daemons_that_start_together_do_not_all_read_every_part() -> None:
    places = {f"vm-{n}": ("bern-a", "mittelland") for n in range(20)}
    sim = Simulation(seed=3, places=places, publish=config_publisher(CFG))
    sim.run_until(lambda: is_in_force(sim, 1), 10.0)
    reads = sum(calls for key, calls in sim.calls_by_key.items() if key.startswith(PARTS_PREFIX))
    assert reads <= 4
    assert sim.calls_by_key[HEAD_KEY] <= 2 * len(places)

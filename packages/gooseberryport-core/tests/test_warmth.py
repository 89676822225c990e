from gooseberryport_core.gateway.warmth import MAX_WARM_OBJECTS, WarmthTracker, hash_object_key


def test_least_recently_handled_objects_are_evicted_first():
    warmth = WarmthTracker()
    for object_hash in range(MAX_WARM_OBJECTS):
        warmth.record("u", object_hash, now=0.0, observed_here=True)
    warmth.record("u", 0, now=1.0, observed_here=True)
    warmth.record("u", 999, now=1.0, observed_here=True)
    assert warmth.is_warm("u", 0)
    assert not warmth.is_warm("u", 1)
    assert warmth.is_warm("u", 999)


def test_only_own_observations_are_sent_on_until_their_ttl_ends():
    warmth = WarmthTracker()
    warmth.record("u", 1, now=0.0, observed_here=True)
    warmth.record("u", 2, now=0.0, observed_here=False)
    warmth.record("u", 1, now=0.4, observed_here=True)
    assert warmth.recent_updates(now=0.4) == [("u", 1)]
    assert warmth.recent_updates(now=0.6, max_age_s=0.5) == []
    assert warmth.recent_updates(now=1.1) == [("u", 1)]
    assert warmth.recent_updates(now=1.3) == []


def test_restarted_upstream_is_warm_for_no_object():
    warmth = WarmthTracker()
    warmth.record("u", hash_object_key("k"), now=0.0, observed_here=True)
    warmth.forget("u")
    assert not warmth.is_warm("u", hash_object_key("k"))


def test_object_whose_request_did_not_run_is_removed():
    warmth = WarmthTracker()
    assert warmth.has_no_objects("u")
    assert warmth.record("u", 1, now=0.0, observed_here=True)
    assert not warmth.record("u", 1, now=0.0, observed_here=True)
    assert not warmth.has_no_objects("u")
    warmth.remove("u", 1)
    assert warmth.has_no_objects("u")


def test_restored_objects_are_older_than_those_recorded_since():
    warmth = WarmthTracker()
    warmth.record("u", 1, now=0.0, observed_here=True)
    warmth.restore("u", [2, 1, 3])
    assert warmth.objects("u") == (2, 3, 1)
    assert warmth.recent_updates(now=0.0) == [("u", 1)]


def test_restore_keeps_no_more_objects_than_the_maximum():
    warmth = WarmthTracker()
    warmth.record("u", 1, now=0.0, observed_here=True)
    warmth.restore("u", range(100, 100 + MAX_WARM_OBJECTS))
    assert len(warmth.objects("u")) == MAX_WARM_OBJECTS
    assert not warmth.is_warm("u", 100)
    assert warmth.is_warm("u", 1)


def test_only_upstreams_with_changed_objects_are_saved_again():
    warmth = WarmthTracker()
    warmth.record("u", 1, now=0.0, observed_here=True)
    warmth.record("v", 1, now=0.0, observed_here=False)
    assert warmth.unsaved() == ["u", "v"]
    warmth.mark_saved(["u", "v"])
    warmth.record("u", 1, now=0.1, observed_here=True)
    assert warmth.unsaved() == []
    warmth.remove("v", 1)
    assert warmth.unsaved() == ["v"]
    warmth.forget("v")
    assert warmth.unsaved() == []


def test_objects_beyond_the_capacity_or_lost_are_not_warm():
    # Guards against sending requests to upstreams that evicted their objects.
    warmth = WarmthTracker()
    for object_hash in range(20):
        warmth.record("u", object_hash, now=float(object_hash), observed_here=True)
    assert warmth.depth("u", 7) == 12
    assert [warmth.is_warm("u", mark, capacity=13) for mark in (6, 7)] == [False, True]
    assert warmth.homes(6, capacity=13) == frozenset()
    assert not warmth.has_room("u", capacity=13, now=20.0)
    assert warmth.has_room("u", capacity=13, now=30.0)
    warmth.record_lost("u", used_at=14.0)
    assert [warmth.is_warm("u", mark) for mark in (7, 8)] == [False, True]
    assert warmth.depth("u", 7) == 12
    assert not warmth.record("u", 7, now=21.0, observed_here=False)
    assert warmth.is_warm("u", 7)


def test_uses_are_reported_once_bounded_and_not_saved():
    # Guards against an order of use that only one gateway knows, against datagrams without a bound,
    # and against calls to the store for a changed order.
    warmth = WarmthTracker()
    for object_hash in range(40):
        warmth.record("u", object_hash, now=0.0, observed_here=False)
    warmth.mark_saved(["u"])
    for object_hash in (30, 38, 2, 10):
        warmth.record("u", object_hash, now=1.0, observed_here=True)
    assert warmth.take_used(limit=2) == [("u", 2), ("u", 10)]
    assert warmth.take_used(limit=2) == []
    for object_hash in range(40):
        warmth.record("u", object_hash, now=2.0, observed_here=True)
    assert len(warmth.take_used(limit=100)) <= 40
    assert warmth.unsaved() == []

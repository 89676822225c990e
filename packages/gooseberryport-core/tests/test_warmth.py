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

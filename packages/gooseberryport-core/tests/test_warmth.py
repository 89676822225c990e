from gooseberryport_core.gateway.warmth import KEPT_OBJECTS, Warmth, object_mark


def test_objects_handled_longest_ago_are_forgotten_first():
    warmth = Warmth()
    for mark in range(KEPT_OBJECTS):
        warmth.note("u", mark, now=0.0, own=True)
    warmth.note("u", 0, now=1.0, own=True)
    warmth.note("u", 999, now=1.0, own=True)
    assert warmth.warm("u", 0)
    assert not warmth.warm("u", 1)
    assert warmth.warm("u", 999)


def test_only_own_news_is_passed_on_and_only_for_a_while():
    warmth = Warmth()
    warmth.note("u", 1, now=0.0, own=True)
    warmth.note("u", 2, now=0.0, own=False)
    warmth.note("u", 1, now=0.4, own=True)
    assert warmth.updates(now=0.4) == [("u", 1)]
    assert warmth.updates(now=0.6) == []


def test_upstream_that_started_again_is_warm_for_nothing():
    warmth = Warmth()
    warmth.note("u", object_mark("k"), now=0.0, own=True)
    warmth.forget("u")
    assert not warmth.warm("u", object_mark("k"))


def test_pair_that_did_not_run_is_forgotten():
    warmth = Warmth()
    assert warmth.idle("u")
    assert warmth.note("u", 1, now=0.0, own=True)
    assert not warmth.note("u", 1, now=0.0, own=True)
    assert not warmth.idle("u")
    warmth.drop("u", 1)
    assert warmth.idle("u")


def test_recalled_objects_are_older_than_those_seen_since():
    warmth = Warmth()
    warmth.note("u", 1, now=0.0, own=True)
    warmth.recall("u", [2, 1, 3])
    assert warmth.objects("u") == (2, 3, 1)
    assert warmth.updates(now=0.0) == [("u", 1)]


def test_recall_keeps_no_more_than_an_upstream_does():
    warmth = Warmth()
    warmth.note("u", 1, now=0.0, own=True)
    warmth.recall("u", range(100, 100 + KEPT_OBJECTS))
    assert len(warmth.objects("u")) == KEPT_OBJECTS
    assert not warmth.warm("u", 100)
    assert warmth.warm("u", 1)


def test_only_what_changed_is_saved_again():
    warmth = Warmth()
    warmth.note("u", 1, now=0.0, own=True)
    warmth.note("v", 1, now=0.0, own=False)
    assert warmth.unsaved() == ["u", "v"]
    warmth.mark_saved(["u", "v"])
    warmth.note("u", 1, now=0.1, own=True)
    assert warmth.unsaved() == []
    warmth.drop("v", 1)
    assert warmth.unsaved() == ["v"]
    warmth.forget("v")
    assert warmth.unsaved() == []

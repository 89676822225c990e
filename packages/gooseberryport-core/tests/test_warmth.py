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

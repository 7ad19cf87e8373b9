"""Steering state: marks, evacuations, and images that update a copy to a newer revision."""

from finchway.registry import MarkKind
from finchway.state import MarkUpstream, SetEvacuation, StateMachine, Steered, Steering
from tests.unit.test_catalog import change, route, service


def mark(instance, kind):
    return MarkUpstream(now_ms=0, instance=instance, kind=kind)


def evacuate(zone, active):
    return SetEvacuation(now_ms=0, zone=zone, active=active)


def test_gone_upstream_is_not_changed_back_to_draining():
    steering = Steering()
    assert steering.mark_upstream(mark("i", MarkKind.GONE)) == Steered(1)
    assert steering.mark_upstream(mark("i", MarkKind.DRAINING)) == Steered(1)
    assert steering.marks["i"].kind is MarkKind.GONE


def test_duplicate_mark_keeps_the_revision():
    steering = Steering()
    steering.mark_upstream(mark("i", MarkKind.DRAINING))
    assert steering.mark_upstream(mark("i", MarkKind.DRAINING)) == Steered(1)


def test_evacuation_starts_and_ends_idempotently():
    steering = Steering()
    assert steering.set_evacuation(evacuate("z", False)) == Steered(0)
    steering.set_evacuation(evacuate("z", True))
    steering.set_evacuation(evacuate("z", True))
    assert steering.evacuated == {"z"}
    assert steering.set_evacuation(evacuate("z", False)) == Steered(2)
    assert steering.evacuated == frozenset()


def test_copy_merges_newer_images_and_ignores_older_ones():
    steering = Steering()
    steering.change_items(change(service(), route()))
    copy = Steering(steering.image())
    old = steering.image()
    steering.change_items(change(route(version=2, timeout=2.0)))
    steering.set_evacuation(evacuate("z", True))
    newer = steering.image(since=copy.revision)
    assert [entry.item.name for entry in newer.items] == ["r"]
    assert copy.merge(newer)
    assert not copy.merge(old)
    assert copy.image() == steering.image()


def test_state_is_restored_from_a_snapshot():
    machine = StateMachine()
    machine.apply(change(service(), route()))
    machine.apply(mark("i", MarkKind.DRAINING))
    machine.apply(evacuate("z", True))
    other = StateMachine()
    other.restore(machine.snapshot())
    assert other.steering.image() == machine.steering.image()
    assert other.digest() == machine.digest()

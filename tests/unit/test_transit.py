"""When a gateway's link counts as pressed."""

from finchway.gateway._transit import LOOKED_AT_S, PRESSED_TRANSIT_S, TransitMeter

LONG = PRESSED_TRANSIT_S + 0.1


def test_a_link_is_pressed_while_every_answer_is_long_on_the_way():
    meter = TransitMeter()
    assert not meter.is_pressed(0.0)
    for number in range(5):
        meter.note(LONG, 1.0 + number / 10)
    assert meter.is_pressed(1.5)


def test_one_quick_answer_tells_that_the_others_were_held_up_elsewhere():
    meter = TransitMeter()
    for number in range(5):
        meter.note(LONG, 1.0 + number / 10)
    meter.note(0.002, 1.6)
    assert not meter.is_pressed(1.7)
    assert not meter.is_pressed(1.6 + LOOKED_AT_S)


def test_a_gateway_that_hears_nothing_does_not_say_that_its_link_is_pressed():
    meter = TransitMeter()
    meter.note(LONG, 1.0)
    assert not meter.is_pressed(1.1 + LOOKED_AT_S)

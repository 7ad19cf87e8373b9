"""Detection of a congested gateway link."""

from finchway.gateway._transit import CONGESTED_TRANSIT_S, WINDOW_S, TransitMeter

LONG = CONGESTED_TRANSIT_S + 0.1


def test_link_is_congested_while_all_answers_are_slow():
    meter = TransitMeter()
    assert not meter.is_congested(0.0)
    for number in range(5):
        meter.record(LONG, 1.0 + number / 10)
    assert meter.is_congested(1.5)


def test_one_fast_answer_shows_that_the_link_is_not_congested():
    meter = TransitMeter()
    for number in range(5):
        meter.record(LONG, 1.0 + number / 10)
    meter.record(0.002, 1.6)
    assert not meter.is_congested(1.7)
    assert not meter.is_congested(1.6 + WINDOW_S)


def test_link_without_recent_answers_is_not_congested():
    meter = TransitMeter()
    meter.record(LONG, 1.0)
    assert not meter.is_congested(1.1 + WINDOW_S)

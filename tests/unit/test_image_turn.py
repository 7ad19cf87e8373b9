"""A large image of the steering state is requested from one replica at a time."""

from finchway.gateway._image_turn import MAX_WAIT_S, ImageTurn


def test_one_poll_at_a_time_may_return_a_large_image():
    turn = ImageTurn()
    assert turn.take("a", 0.0)
    assert not turn.take("b", 0.1)
    turn.release("b")
    assert not turn.take("b", 0.2)
    turn.release("a")
    assert turn.take("b", 0.3)


def test_another_replica_is_asked_once_an_announced_image_does_not_arrive():
    turn = ImageTurn()
    turn.take("a", 0.0)
    turn.announce(5.0)
    turn.announce(5.9)
    assert not turn.is_free(5.0 + 0.9 * MAX_WAIT_S)
    assert turn.take("b", 5.0 + MAX_WAIT_S)
    turn.release("a")
    assert not turn.take("c", 5.0 + MAX_WAIT_S)

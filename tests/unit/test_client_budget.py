"""What clients hold together stays within the budget, and all of it is given back."""

import random

import pytest
import trio
import trio.testing

from finchway.transport import STALLED_AFTER_S, ClientBudget

MEGABYTE = 1_000_000
# A budget of 25 MB and 150 connections.
SMALL = {"memory_mb": 125, "max_descriptors": 400}


def on_virtual_time(test):
    def runner():
        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))

    return runner


def open_account(budget, ended):
    """Open an account that adds its place in the order to a list when it is ended."""
    account = budget.open()
    assert account is not None
    account.on_end(lambda: ended.append(account))
    return account


@on_virtual_time
async def test_the_connection_that_is_idle_for_longest_makes_room():
    budget, ended = ClientBudget(**SMALL), []
    accounts = [open_account(budget, ended) for _ in range(150)]
    accounts[0].wait_for_request()
    open_account(budget, ended)
    assert ended == [accounts[1]]
    assert budget.state.connections == 150


@on_virtual_time
async def test_a_stalled_connection_makes_room_before_an_idle_one():
    budget, ended = ClientBudget(**SMALL), []
    accounts = [open_account(budget, ended) for _ in range(150)]
    accounts[7].wait_for_more()
    await trio.sleep(STALLED_AFTER_S)
    open_account(budget, ended)
    assert ended == [accounts[7]]


@on_virtual_time
async def test_connections_that_are_served_are_not_ended():
    budget, ended = ClientBudget(**SMALL), []
    for _ in range(150):
        open_account(budget, ended).serve()
    assert budget.open() is None
    assert ended == []
    assert budget.state.refused_connections == 1


@on_virtual_time
async def test_a_client_that_makes_progress_has_not_stalled():
    budget, ended = ClientBudget(**SMALL), []
    for size, is_refused in ((20_000, True), (1, False)):
        slow = open_account(budget, ended)
        slow.wait_for_more()
        holding = slow.holding()
        assert holding.resize(20 * MEGABYTE)
        for _ in range(4):
            await trio.sleep(STALLED_AFTER_S / 2)
            slow.record_progress(size)
        other = open_account(budget, ended)
        other.serve()
        assert other.holding().resize(20 * MEGABYTE) is not is_refused
        slow.close()
        other.close()
    assert ended == [slow]


@on_virtual_time
async def test_the_asking_connection_is_refused_and_not_ended():
    budget, ended = ClientBudget(**SMALL), []
    account = open_account(budget, ended)
    account.wait_for_more()
    await trio.sleep(2 * STALLED_AFTER_S)
    assert not account.holding().resize(40 * MEGABYTE)
    assert ended == []
    assert budget.state.refused_requests == 1


@on_virtual_time
async def test_bodies_leave_room_for_connections():
    budget, ended = ClientBudget(**SMALL), []
    account = open_account(budget, ended)
    account.serve()
    holding = account.holding()
    assert holding.resize(25 * MEGABYTE)
    other = open_account(budget, ended)
    assert not other.holding().resize(1)
    holding.release()
    assert other.holding().resize(25 * MEGABYTE)
    assert ended == []


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections"),
    [(300, 4100, 1331), (3000, 4100, 2925), (3000, 1, 1)],
)
def test_connections_are_bounded_by_memory_and_descriptors(memory_mb, descriptors, connections):
    assert ClientBudget(memory_mb, descriptors).state.max_connections == connections


@pytest.mark.parametrize("seed", range(20))
def test_everything_is_given_back(seed):
    """Random connections that come, draw, are ended and go leave nothing behind."""
    draw = random.Random(seed)

    async def run():
        budget, ended, accounts = ClientBudget(**SMALL), [], []
        for _ in range(2000):
            if draw.random() < 0.4:
                account = budget.open()
                if account is not None:
                    account.on_end(lambda a=account: ended.append(a))
                    accounts.append((account, account.holding()))
            elif accounts:
                account, holding = draw.choice(accounts)
                match draw.randrange(5):
                    case 0:
                        account.wait_for_more()
                    case 1:
                        account.wait_for_request()
                    case 2:
                        account.serve()
                    case 3:
                        holding.resize(draw.randrange(MEGABYTE))
                    case 4:
                        account.close()
            await trio.sleep(draw.random() / 20)
            assert budget.state.connections <= 150
        for account, _ in accounts:
            account.close()
        assert budget.state.held_bytes == 0
        assert budget.state.connections == 0

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

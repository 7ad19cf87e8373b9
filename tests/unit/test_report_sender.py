"""Reports on requests are sent to one replica after the other until one commits them."""

import trio
import trio.testing

from finchway.exceptions import TransportError
from finchway.gateway import ReportSender
from finchway.gateway._reports import MAX_WAITING
from finchway.state import RequestReport


class Replicas:
    """Fake link to replicas; those that are down do not answer."""

    def __init__(self, down=()):
        self.down = set(down)
        self.committed = []

    async def request(self, address, body, timeout, send_timeout):
        if address in self.down:
            await trio.sleep(timeout)
            raise TransportError("down")
        await trio.sleep(0.1)
        self.committed += body.reports
        return


def play(check, replicas):
    async def run():
        sender = ReportSender(replicas, lambda: ["a:1", "b:1", "c:1"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.run)
            await check(sender)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def reports(count):
    return [RequestReport(f"r{number}", 1, "i-1") for number in range(count)]


def test_the_next_replica_is_tried_when_one_does_not_answer():
    replicas = Replicas(down={"a:1", "b:1"})

    async def check(sender):
        sender.put(RequestReport("r", 1, "i-1"))
        await trio.sleep(3.0)
        assert replicas.committed == [RequestReport("r", 1, "i-1")]
        assert sender.waiting == 0

    play(check, replicas)


def test_reports_queued_during_a_send_are_sent_afterwards():
    replicas = Replicas()

    async def check(sender):
        first, second = reports(2)
        sender.put(first)
        await trio.sleep(0.05)
        sender.put(second)
        await trio.sleep(0.3)
        assert replicas.committed == [first, second]

    play(check, replicas)


def test_reports_wait_for_a_replica_and_a_full_queue_drops_the_oldest():
    replicas = Replicas(down={"a:1", "b:1", "c:1"})

    async def check(sender):
        for each in reports(MAX_WAITING + 3):
            sender.put(each)
        assert sender.dropped == 3
        await trio.sleep(2.0)
        assert sender.waiting == MAX_WAITING
        replicas.down.clear()
        await trio.sleep(5.0)
        assert sender.waiting == 0
        assert len(replicas.committed) == MAX_WAITING

    play(check, replicas)

"""Bounds on when data had arrived that a process reads after it has stood still."""

import socket
import time

import pytest
import trio

from finchway._clock import BootClock
from finchway.transport import Listener, _arrivals, has_event, origin_of
from tests.adapter.test_processes import free_ports

STILL_S = 0.5
# The slack of a bound in a process that runs: two waits of the event loop's clock, and a turn.
CLOSE_S = 0.5


def play(script):
    """Run a script with an address, and with the connections that are accepted there."""

    async def main():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        send, receive = trio.open_memory_channel(100)
        listener = Listener(address, send.send_nowait, times_arrivals=True)
        listener.bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.run)
            await script(int(address.rpartition(":")[2]), receive)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=BootClock())


async def accepted_pair(port, connections):
    client = await trio.open_tcp_stream("127.0.0.1", port)
    return client, await connections.receive()


def stand_still():
    """Keep the whole process from running, as a freeze does."""
    time.sleep(STILL_S)


# An order that waited in a frozen process's socket passed for one that had just arrived.
def test_data_that_waited_while_the_process_stood_still_is_as_old_as_that():
    async def script(port, connections):
        client, stream = await accepted_pair(port, connections)
        async with trio.open_nursery() as nursery:

            async def read():
                await stream.receive_some()
                assert origin_of(stream).arrived_after <= sent_at

            nursery.start_soon(read)
            await trio.sleep(0.3)
            sent_at = trio.current_time()
            await client.send_all(b"order")
            stand_still()

    play(script)


def test_data_behind_an_earlier_call_is_as_old_as_the_time_since_that_was_read():
    async def script(port, connections):
        client, stream = await accepted_pair(port, connections)
        await client.send_all(b"first")
        await stream.receive_some()
        sent_at = trio.current_time()
        await client.send_all(b"second")
        await trio.sleep(STILL_S)
        await stream.receive_some()
        assert origin_of(stream).arrived_after <= sent_at

    play(script)


# The listener accepts sixteen connections a turn.
@pytest.mark.parametrize("count", [1, 40])
def test_data_on_a_connection_that_waited_to_be_accepted_is_as_old_as_that(count):
    async def script(port, connections):
        await trio.sleep(0.3)
        opened_at = trio.current_time()
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
        for client in clients:
            client.sendall(b"order")
        stand_still()
        for client in clients:
            stream = await connections.receive()
            await stream.receive_some()
            assert origin_of(stream).arrived_after <= opened_at
            client.close()

    play(script)


def test_data_that_is_read_as_it_arrives_is_new():
    async def script(port, connections):
        client, stream = await accepted_pair(port, connections)
        for idle_s in (0.0, 1.0, 0.0):
            async with trio.open_nursery() as nursery:

                async def read():
                    await stream.receive_some()
                    age = trio.current_time() - origin_of(stream).arrived_after
                    assert 0.0 <= age < CLOSE_S

                nursery.start_soon(read)
                await trio.sleep(idle_s)
                await client.send_all(b"call")
            await trio.sleep(0.1)

    play(script)


# A process that stood still right after its look at the socket took what came meanwhile for new.
def test_data_that_comes_right_after_the_look_at_the_socket_is_as_old_as_the_look(monkeypatch):
    def look_and_stand_still(descriptor, event):
        seen = has_event(descriptor, event)
        if watched:
            watched.pop().sendall(b"order")
            stand_still()
        return seen

    async def script(port, connections):
        client = socket.create_connection(("127.0.0.1", port))
        stream = await connections.receive()
        looked_at = trio.current_time()
        watched.append(client)
        await stream.receive_some()
        assert origin_of(stream).arrived_after <= looked_at + CLOSE_S / 2
        client.close()

    watched = []
    monkeypatch.setattr(_arrivals, "has_event", look_and_stand_still)
    play(script)

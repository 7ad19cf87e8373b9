"""Requests that end each upstream that begins to run them, sent again and again by their caller.

Callers sent one look-up again and again, and each time two upstreams ended under it within 0.2 s:
36 were lost, 14 of them within two seconds, and for every second of that a third to a half of all
other look-ups were refused or late. Each try was a request of its own to the gateway, with all of
its attempts, since what a request had done to upstreams was forgotten with the request. The lines
that settled it were those of the tries: "attempts":2 with "closed without an answer" twice, at
upstreams whose address then refused connections, and the same again from the next try on.
"""

import trio

from tests.gateway.harness import NAMES, Upstream, answer, gateway, header_of

DEADLY = b"/x/deadly/1"
UPSTREAMS = 8
TRIES = 10
# Upstreams that may end under one request until it is known what it does.
MOST_ENDED = 3
# Further times that it may reach an upstream, ever.
MOST_RETRIES = 3
BACK_AFTER_S = 0.3
RUNS_FOR_S = 0.02


class Mortal(Upstream):
    """An upstream that ends when it begins to run a deadly request, and comes back a while later.

    It has a new instance then, at the same address. `deadly` are the paths that end it.
    """

    def __init__(self, name: str, deadly=(DEADLY,)) -> None:
        super().__init__(name, self._work)
        self._name = name
        self._deadly = deadly
        self._life = trio.CancelScope()
        self.lives = 1
        self.subject = None

    @property
    def ended_times(self) -> int:
        return self.lives - 1

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        port = 0
        while True:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            self._life = trio.CancelScope()
            if self.lives == 1:
                task_status.started()
            else:
                self.subject.tell([self.registration()])
            with self._life:
                await trio.serve_listeners(self._serve, listeners)
            self.lives += 1
            self.instance = f"{self._name}-{self.lives}"
            await trio.sleep(BACK_AFTER_S)

    async def _work(self, _, stream, request):
        if request.split(b" ")[1] in self._deadly:
            await trio.sleep(RUNS_FOR_S)
            self._life.cancel()
            await trio.sleep_forever()
        await stream.send_all(answer(request, header_of(request, NAMES.request_id)))


def reached(upstreams, path=DEADLY) -> int:
    """Count how often a path has reached an upstream."""
    return sum(r.split(b" ")[1] == path for u in upstreams for r in u.requests)


async def ask(subject, number: int, path: bytes = DEADLY, **fields):
    """Ask on a connection of its own; returns status and head."""
    caller = await subject.connect()
    try:
        status, head, _ = await caller.ask(path=path, request_id=b"id-%d" % number, **fields)
        return status, head
    finally:
        await caller.stream.aclose()


def play(check, deadly=(DEADLY,)) -> None:
    """Run a check of a gateway with mortal upstreams."""

    async def run():
        upstreams = [Mortal(f"i-{n}", deadly) for n in range(UPSTREAMS)]
        async with gateway(*upstreams) as subject:
            for upstream in upstreams:
                upstream.subject = subject
            await check(subject, upstreams)

    trio.run(run)


def test_a_request_that_has_ended_three_upstreams_gets_no_more_of_them():
    async def check(subject, upstreams):
        for number in range(TRIES):
            await ask(subject, number)
            # Meanwhile some are back: the request may not have them either.
            await trio.sleep(0.1)
        assert sum(u.ended_times for u in upstreams) >= MOST_ENDED
        assert reached(upstreams) <= MOST_ENDED + MOST_RETRIES
        status, head = await ask(subject, TRIES)
        assert status == 503
        assert float(header_of(head, b"retry-after")) > 1.0
        assert (await ask(subject, TRIES + 1, path=b"/x/other"))[0] == 200

    play(check)

"""Requests that crash each upstream that runs them, repeated by their caller.

The gateway must remember such a request across its repetitions and stop forwarding it.
"""

import trio

from finchway.catalog import RouteType
from finchway.gateway._http import BUFFERED_BODY_BYTES
from finchway.state import ReportRequests, RequestReport
from tests.gateway.harness import NAMES, Caller, Upstream, answer, gateway, header_of

CRASHING_PATH = b"/x/deadly/1"
UPSTREAMS = 8
CALLER_ATTEMPTS = 10
# Crashes after which a request is quarantined.
MAX_CRASHES = 3
# Further attempts of a quarantined request, in all.
MAX_FURTHER_ATTEMPTS = 3
RESTART_DELAY_S = 0.3
CRASH_DELAY_S = 0.02
# Time for which the listener of a crashing upstream still accepts connections.
LISTENER_LINGER_S = 0.03


class CrashingUpstream(Upstream):
    """An upstream that crashes on certain paths and restarts at its address as a new instance."""

    def __init__(self, name: str, crashing_paths=(CRASHING_PATH,)) -> None:
        super().__init__(name, self._handle)
        self._name = name
        self._crashing_paths = crashing_paths
        self._scope = trio.CancelScope()
        self.slow = (b"/x/slow",)
        self.incarnation = 1
        self.listener_linger_s = 0.0
        self.subject = None

    @property
    def crashes(self) -> int:
        return self.incarnation - 1

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        port = 0
        while True:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            self._scope = trio.CancelScope()
            if self.incarnation == 1:
                task_status.started()
            else:
                self.subject.apply_feed([self.registration()])
            with self._scope:
                await trio.serve_listeners(self._serve, listeners)
            self.incarnation += 1
            self.instance = f"{self._name}-{self.incarnation}"
            await trio.sleep(RESTART_DELAY_S)

    def crash(self) -> None:
        self._scope.cancel()

    async def _crash_in_steps(self, stream) -> None:
        if self.listener_linger_s:
            await trio.aclose_forcefully(stream)
            await trio.sleep(self.listener_linger_s)
        self.crash()
        await trio.sleep_forever()

    async def _handle(self, _, stream, request):
        if request.split(b" ")[1] in self.slow:
            await trio.sleep_forever()
        if request.split(b" ")[1] in self._crashing_paths:
            await trio.sleep(CRASH_DELAY_S)
            await self._crash_in_steps(stream)
        await stream.send_all(answer(request, header_of(request, NAMES.request_id)))


def count_received(upstreams, path=CRASHING_PATH) -> int:
    """Count how often requests for a path reached an upstream."""
    return sum(r.split(b" ")[1] == path for u in upstreams for r in u.requests)


async def connect_from(subject, source: str) -> Caller:
    """Connect from a loopback address."""
    sock = trio.socket.socket()
    await sock.bind((source, 0))
    await sock.connect(subject.address)
    return Caller(trio.SocketStream(sock))


async def send_request(
    subject, number: int, path: bytes = CRASHING_PATH, source: str = "127.0.0.1", **fields
):
    """Send a request on a new connection; returns status and head."""
    caller = await connect_from(subject, source)
    try:
        status, head, _ = await caller.request(path=path, request_id=b"id-%d" % number, **fields)
        return status, head
    finally:
        await caller.stream.aclose()


def run_check(check, crashing_paths=(CRASHING_PATH,), **route) -> None:
    """Run a check of a gateway with crashing upstreams."""

    async def run():
        upstreams = [CrashingUpstream(f"i-{n}", crashing_paths) for n in range(UPSTREAMS)]
        async with gateway(*upstreams, **route) as subject:
            for upstream in upstreams:
                upstream.subject = subject
            await check(subject, upstreams)

    trio.run(run)


def test_request_that_crashed_three_upstreams_is_quarantined():
    async def check(subject, upstreams):
        for number in range(CALLER_ATTEMPTS):
            await send_request(subject, number)
            # Some upstreams have restarted by then and must not get the request either.
            await trio.sleep(0.1)
        assert sum(u.crashes for u in upstreams) >= MAX_CRASHES
        assert count_received(upstreams) <= MAX_CRASHES + MAX_FURTHER_ATTEMPTS
        status, head = await send_request(subject, CALLER_ATTEMPTS)
        assert status == 503
        assert float(header_of(head, b"retry-after")) > 1.0
        assert (await send_request(subject, CALLER_ATTEMPTS + 1, path=b"/x/other"))[0] == 200

    run_check(check)


def test_quarantine_holds_when_the_caller_changes_its_address():
    """Callers on mobile networks repeat a request from changing addresses."""

    async def check(subject, upstreams):
        for number in range(CALLER_ATTEMPTS):
            await send_request(subject, number, source=f"127.0.0.{number + 1}")
            await trio.sleep(0.1)
        assert count_received(upstreams) <= MAX_CRASHES + MAX_FURTHER_ATTEMPTS
        assert (await send_request(subject, CALLER_ATTEMPTS, source="127.0.0.99"))[0] == 503

    run_check(check)


def test_crash_counts_when_the_listener_closes_last():
    """A crashing process closes its sockets one after the other, so its listener may close last."""

    async def check(subject, upstreams):
        for upstream in upstreams:
            upstream.listener_linger_s = LISTENER_LINGER_S
        for number in range(CALLER_ATTEMPTS):
            await send_request(subject, number)
            await trio.sleep(0.3)
        assert count_received(upstreams) <= MAX_CRASHES + MAX_FURTHER_ATTEMPTS

    run_check(check)


def test_simultaneous_crashes_do_not_count_against_requests_in_flight():
    """Only crashes of attempts that were sent after the previous crash was known count."""

    async def check(subject, upstreams):
        async def call(number):
            with trio.move_on_after(0.5):
                await send_request(subject, number, path=b"/x/slow", affinity_key=b"%d" % number)

        async with trio.open_nursery() as nursery:
            for number in range(4 * UPSTREAMS):
                nursery.start_soon(call, number)
            # Bounded so that the requests are still in flight when the upstreams crash.
            with trio.move_on_after(0.4):
                while sum(bool(u.requests) for u in upstreams) <= MAX_CRASHES:
                    await trio.sleep(0.01)
            assert sum(bool(u.requests) for u in upstreams) > MAX_CRASHES
            for upstream in upstreams:
                upstream.crash()
        await trio.sleep(RESTART_DELAY_S + 0.2)
        for upstream in upstreams:
            upstream.slow = ()
        assert (await send_request(subject, 100, path=b"/x/slow"))[0] == 200

    run_check(check)


def apply_reports(subject, *reports) -> None:
    """Apply reports of other gateways."""
    subject.steering.report_requests(ReportRequests(now_ms=0, reports=list(reports)), 0)
    image = subject.steering.image(subject.view.steering.revision)
    subject.apply_feed()
    subject.suspects.update(image.suspects)


def test_quarantine_does_not_affect_other_callers_or_bodies():
    async def check(subject, upstreams):
        for number in range(3):
            await send_request(subject, number, method=b"POST", body=b"deadly")
            await trio.sleep(0.1)
        assert (await send_request(subject, 3, method=b"POST", body=b"deadly"))[0] == 503
        before = count_received(upstreams)
        await send_request(subject, 4, method=b"POST", body=b"other")
        await send_request(subject, 5, method=b"POST", body=b"deadly", credential=b"Bearer other")
        assert count_received(upstreams) > before + 1

    run_check(check)


def test_crashes_and_later_answers_are_reported():
    async def check(subject, upstreams):
        await send_request(subject, 1)
        await trio.sleep(0.1)
        report = subject.reports[-1]
        assert report.crashes == 2
        assert report.crashed_upstream in {f"i-{n}" for n in range(UPSTREAMS)}
        apply_reports(subject, report)
        for upstream in upstreams:
            upstream._crashing_paths = ()
        assert (await send_request(subject, 2))[0] == 200
        assert subject.reports[-1] == RequestReport(report.request, answered=True)

    run_check(check)


def test_crash_is_not_reported_when_a_further_upstream_answers():
    async def check(subject, upstreams):
        first = next(u for u in upstreams if not u.requests)
        for upstream in upstreams:
            upstream._crashing_paths = (CRASHING_PATH,) if upstream is first else ()
        for number in range(CALLER_ATTEMPTS):
            assert (await send_request(subject, number, affinity_key=b"%d" % number))[0] == 200
            await trio.sleep(0.1)
        assert first.crashes > 0
        assert subject.reports == []

    run_check(check)


def test_reports_of_other_gateways_quarantine_and_release_requests():
    async def check(subject, upstreams):
        await send_request(subject, 1)
        await trio.sleep(0.1)
        digest = subject.reports[-1].request
        apply_reports(subject, RequestReport(digest, 3, "elsewhere"))
        before = count_received(upstreams)
        assert (await send_request(subject, 2))[0] == 503
        assert count_received(upstreams) == before
        apply_reports(subject, RequestReport(digest, answered=True))
        for upstream in upstreams:
            upstream._crashing_paths = ()
        assert (await send_request(subject, 3))[0] == 200

    run_check(check)


def test_suspect_request_is_sent_to_one_upstream_at_a_time():
    async def check(subject, upstreams):
        await send_request(subject, 1, path=b"/x/well")
        await send_request(subject, 2)
        await trio.sleep(0.1)
        before = count_received(upstreams)
        assert before == 2
        assert (await send_request(subject, 3))[0] == 502
        assert count_received(upstreams) == before + 1

    run_check(check)


def test_quarantine_cancels_requests_in_flight():
    async def wait(upstream, stream, request):
        started.set()
        assert await stream.receive_some(1) == b""
        return False

    started = trio.Event()

    async def run():
        upstream = Upstream("i-1", wait)
        async with gateway(upstream) as subject:
            answers = []

            async def call():
                answers.append(await send_request(subject, 1))

            subject.nursery.start_soon(call)
            await started.wait()
            (context,) = subject.suspects._in_progress
            apply_reports(subject, RequestReport(context.fingerprint, 3, "elsewhere"))
            with trio.fail_after(1.0):
                await upstream.ended.wait()
                while not answers:
                    await trio.sleep(0.01)
            # The request may have run, so the answer is 502 rather than 503.
            assert answers[0][0] == 502

    trio.run(run)


def test_broken_connection_to_a_running_upstream_is_not_a_crash():
    async def break_off(upstream, stream, request):
        return False

    async def run():
        upstreams = [Upstream(f"i-{n}", break_off) for n in range(UPSTREAMS)]
        async with gateway(*upstreams) as subject:
            for number in range(CALLER_ATTEMPTS):
                assert (await send_request(subject, number))[0] == 502
                await trio.sleep(0.12)
            assert subject.reports == []

    trio.run(run)


def test_requests_beside_a_crashing_one_are_served():
    async def check(subject, upstreams):
        statuses = []

        async def call(number):
            status, _ = await send_request(subject, number, path=b"/x/beside/%d" % number)
            statuses.append(status)

        async with trio.open_nursery() as nursery:
            for number in range(CALLER_ATTEMPTS):
                nursery.start_soon(send_request, subject, 100 + number)
                nursery.start_soon(call, number)
                await trio.sleep(0.05)
        assert statuses.count(200) >= CALLER_ATTEMPTS - 1
        assert (await send_request(subject, 200, path=b"/x/beside/1"))[0] == 200

    run_check(check)


def test_long_body_is_part_of_the_fingerprint():
    body = b"x" * (BUFFERED_BODY_BYTES + 10)

    async def check(subject, upstreams):
        for number in range(3):
            await send_request(subject, number, method=b"POST", body=body)
            await trio.sleep(0.1)
        before = count_received(upstreams)
        assert (await send_request(subject, 4, method=b"POST", body=body))[0] == 503
        assert count_received(upstreams) == before
        await send_request(subject, 5, method=b"POST", body=body + b"y")
        assert count_received(upstreams) == before + 1

    run_check(check, type=RouteType.UNSAFE)

"""What callers and upstreams see of a gateway whose upstreams fail in various ways."""

import functools
import struct

import pytest
import trio

from finchway.catalog import Limits, RouteType
from finchway.registry import MarkKind
from finchway.state import MarkUpstream, SetEvacuation
from tests.gateway.harness import NAMES, Upstream, answer, gateway, header_of, serve_ok


def on_trio(test):
    @functools.wraps(test)
    def runner(*args, **kwargs):
        trio.run(functools.partial(test, *args, **kwargs))

    return runner


async def refuse(upstream, stream, request):
    extra = NAMES.not_executed + b": 1\r\n"
    await stream.send_all(answer(request, b"", b"503 Full", extra))


def refuse_once_with(load):
    """Return a script that refuses the first request with a load report and serves the rest."""

    async def script(upstream, stream, request):
        if len(upstream.requests) > 1:
            await serve_ok(upstream, stream, request)
            return
        extra = NAMES.not_executed + b": 1\r\n" + NAMES.load + b": " + load + b"\r\n"
        await stream.send_all(answer(request, b"", b"503 Full", extra))

    return script


async def misdirect(upstream, stream, request):
    await stream.send_all(answer(request, b"", b"421 Misdirected"))


async def break_off(upstream, stream, request):
    await stream.send_all(answer(request, b"x" * 100)[:-50])
    return False


async def reset(upstream, stream, request):
    stream.setsockopt(1, 13, struct.pack("ii", 1, 0))
    return False


async def garbage(upstream, stream, request):
    await stream.send_all(b"\x00\x01 this is no answer\r\n\r\n")
    return False


async def silent(upstream, stream, request):
    await trio.sleep_forever()


async def unframed(upstream, stream, request):
    head = b"HTTP/1.1 200 OK\r\n" + NAMES.request_id + b": "
    head += header_of(request, NAMES.request_id) + b"\r\n\r\n"
    await stream.send_all(head + b"whole")
    return False


async def twice(upstream, stream, request):
    await stream.send_all(answer(request) * 2)


@on_trio
async def test_request_and_answer_are_forwarded_unaltered():
    upstream = Upstream("i-1", serve_ok)
    async with gateway(upstream) as subject:
        caller = await subject.connect()
        status, head, body = await caller.request(b"POST", b"/x/1?q=%20", b"payload")
        assert (status, body) == (200, b"i-1")
        assert header_of(head, NAMES.signature) == b"signed"
        request = upstream.requests[0]
        assert request.startswith(b"POST /x/1?q=%20 HTTP/1.1\r\n")
        assert request.endswith(b"\r\n\r\npayload")
        assert header_of(request, NAMES.request_id) == b"id-1"
        assert header_of(request, NAMES.expected_instance) == b"i-1"
        assert header_of(request, b"host") == b"a.example"
        assert 1500 < int(header_of(request, NAMES.deadline_ms)) <= 2000


@on_trio
async def test_connections_are_reused_on_both_sides():
    upstream = Upstream("i-1", serve_ok)
    async with gateway(upstream) as subject:
        caller = await subject.connect()
        for number in range(5):
            identity = str(number).encode()
            status, head, _ = await caller.request(request_id=identity)
            assert status == 200
            assert header_of(head, NAMES.request_id) == identity
        assert upstream.connections == 1


@on_trio
async def test_missing_configuration_is_503():
    async with gateway() as subject:
        subject.view.__init__()
        status, head, _ = await (await subject.connect()).request()
        assert status == 503
        assert float(header_of(head, b"retry-after")) > 0


@on_trio
async def test_retry_after_is_jittered():
    async with gateway() as subject:
        times = set()
        for _ in range(20):
            status, head, _ = await (await subject.connect()).request()
            assert status == 503
            times.add(float(header_of(head, b"retry-after")))
        assert len(times) > 10
        assert min(times) >= 0.4
        assert max(times) <= 1.0


@on_trio
async def test_path_without_a_route_is_404():
    async with gateway(Upstream("i-1", serve_ok)) as subject:
        assert (await (await subject.connect()).request(path=b"/other"))[0] == 404


@pytest.mark.parametrize(
    ("load", "status", "received"), [(b"1,0,4", 200, [0, 2]), (b"4,3,4", 503, [1, 1])]
)
@on_trio
async def test_refusal_with_free_slots_is_retried_at_the_same_upstream(load, status, received):
    # A retry elsewhere would reach an upstream for which the key is cold.
    upstreams = [Upstream(f"i-{n}", refuse_once_with(load)) for n in (1, 2)]
    async with gateway(*upstreams) as subject:
        caller = await subject.connect()
        assert (await caller.request(b"GET"))[0] == status
    assert sorted(len(upstream.requests) for upstream in upstreams) == received


@pytest.mark.parametrize("script", [refuse, misdirect])
@on_trio
async def test_refused_unsafe_request_goes_to_another_upstream(script):
    bad, good = Upstream("i-1", script), Upstream("i-2", serve_ok)
    async with gateway(bad, good, type=RouteType.UNSAFE) as subject:
        for number in range(20):
            key = str(number).encode()
            caller = await subject.connect()
            status, _, body = await caller.request(b"POST", body=b"x", affinity_key=key)
            assert (status, body) == (200, b"i-2")
        assert bad.requests


@pytest.mark.parametrize("script", [break_off, reset, garbage])
@on_trio
async def test_safe_request_is_retried_after_a_broken_answer(script):
    bad, good = Upstream("i-1", script), Upstream("i-2", serve_ok)
    async with gateway(bad, good) as subject:
        for number in range(8):
            caller = await subject.connect()
            status, _, body = await caller.request(affinity_key=str(number).encode())
            assert (status, body) == (200, b"i-2")
        assert bad.requests


@pytest.mark.parametrize("script", [break_off, reset, garbage])
@on_trio
async def test_refused_retry_does_not_hide_that_the_first_attempt_may_have_run(script):
    # A 503 would state that the request did not run.
    first, second = Upstream("i-1", script), Upstream("i-2", refuse)
    async with gateway(first, second) as subject:
        seen = set()
        for number in range(20):
            subject.table.get("i-1").record_success()
            subject.table.get("i-2").record_success()
            ran = len(first.requests)
            caller = await subject.connect()
            status, _, _ = await caller.request(affinity_key=str(number).encode())
            assert status == (502 if len(first.requests) > ran else 503)
            seen.add(status)
        assert 502 in seen


@pytest.mark.parametrize("script", [break_off, reset, garbage])
@on_trio
async def test_unsafe_request_that_may_have_run_is_not_retried(script):
    bad = [Upstream("i-1", script), Upstream("i-2", script)]
    async with gateway(*bad, type=RouteType.UNSAFE) as subject:
        status, head, _ = await (await subject.connect()).request(b"POST", body=b"x")
        assert status == 502
        assert header_of(head, NAMES.signature) is None
        assert sum(len(upstream.requests) for upstream in bad) == 1


@on_trio
async def test_attempts_stay_within_the_routes_maximum():
    bad = [Upstream(f"i-{n}", refuse) for n in range(4)]
    async with gateway(*bad) as subject:
        status, head, _ = await (await subject.connect()).request()
        assert status == 503
        assert header_of(head, b"retry-after") is not None
        assert sum(len(upstream.requests) for upstream in bad) == 2


@on_trio
async def test_route_timeout_is_504_and_cancels_the_request():
    upstream = Upstream("i-1", silent)
    async with gateway(upstream, timeout=0.2) as subject:
        status, _, _ = await (await subject.connect()).request()
        assert status == 504
        assert int(header_of(upstream.requests[0], NAMES.deadline_ms)) <= 200


@on_trio
async def test_caller_disconnect_cancels_the_request():
    seen = trio.Event()

    async def wait(upstream, stream, request):
        seen.set()
        assert await stream.receive_some(1) == b""
        return False

    upstream = Upstream("i-1", wait)
    async with gateway(upstream) as subject:
        caller = await subject.connect()
        await caller.send()
        await seen.wait()
        await caller.stream.aclose()
        await upstream.ended.wait()
        assert subject.forwarder.in_flight == 0 or await wait_until_idle(subject)


async def wait_until_idle(subject):
    while subject.forwarder.in_flight:
        await trio.sleep(0.01)
    return True


@on_trio
async def test_answer_without_a_length_ends_with_its_connection():
    async with gateway(Upstream("i-1", unframed)) as subject:
        status, head, body = await (await subject.connect()).request()
        assert (status, body) == (200, b"whole")
        assert header_of(head, b"content-length") == b"5"


@on_trio
async def test_surplus_answer_is_never_forwarded():
    upstream = Upstream("i-1", twice)
    async with gateway(upstream) as subject:
        caller = await subject.connect()
        for number in range(6):
            identity = f"id-{number}".encode()
            status, head, _ = await caller.request(request_id=identity)
            assert status == 200
            assert header_of(head, NAMES.request_id) == identity


@on_trio
async def test_stray_answer_is_skipped_by_its_request_id():
    async def stray_first(upstream, stream, request):
        stray = answer(request.replace(b"id-", b"other-"), b"stray")
        await stream.send_all(stray + answer(request, b"mine"))

    async with gateway(Upstream("i-1", stray_first), type=RouteType.UNSAFE) as subject:
        status, head, body = await (await subject.connect()).request(b"POST", body=b"x")
        assert (status, body) == (200, b"mine")
        assert header_of(head, NAMES.request_id) == b"id-1"


@on_trio
async def test_early_answer_closes_the_upstream_connection():
    async def early(upstream, stream, request):
        await stream.send_all(answer(request))

    class Early(Upstream):
        async def _serve(self, stream):
            self.connections += 1
            head = b""
            while b"\r\n\r\n" not in head:
                part = await stream.receive_some(65536)
                if not part:
                    return
                head += part
            self.requests.append(head)
            await stream.send_all(answer(head, b"", b"413 Too Large"))
            await trio.sleep(0.05)

    upstream = Early("i-1", early)
    async with gateway(upstream, type=RouteType.UPLOAD) as subject:
        body = b"y" * 900_000
        assert (await (await subject.connect()).request(b"POST", body=body))[0] == 413
        assert (await (await subject.connect()).request(b"POST", body=body))[0] == 413
        assert upstream.connections == 2


@on_trio
async def test_long_answer_is_streamed_and_a_truncated_one_ends_the_connection():
    async def answer_long(upstream, stream, request):
        await stream.send_all(answer(request, b"z" * 1_000_000))

    async def answer_truncated(upstream, stream, request):
        await stream.send_all(answer(request, b"z" * 1_000_000)[:-10])
        return False

    async with gateway(Upstream("i-1", answer_long)) as subject:
        status, _, body = await (await subject.connect()).request()
        assert (status, len(body)) == (200, 1_000_000)
    async with gateway(Upstream("i-1", answer_truncated)) as subject:
        assert await (await subject.connect()).request() is None


@on_trio
async def test_body_longer_than_the_buffer_is_streamed():
    upstream = Upstream("i-1", serve_ok)
    async with gateway(upstream, type=RouteType.UPLOAD) as subject:
        body = b"y" * 3_000_000
        status, _, _ = await (await subject.connect()).request(b"POST", body=body)
        assert status == 200
        assert upstream.requests[0].endswith(body)


@on_trio
async def test_body_over_the_limit_is_413():
    async with gateway(Upstream("i-1", serve_ok), limits=Limits(body_bytes=100)) as subject:
        assert (await (await subject.connect()).request(b"POST", body=b"x" * 101))[0] == 413


@pytest.mark.parametrize(
    "sent", [b"GET /x/1 HT", b"POST /x/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"]
)
@on_trio
async def test_stalled_request_is_408_and_closes_its_connection(sent):
    limits = Limits(header_timeout=0.2, idle_timeout=0.4)
    async with gateway(Upstream("i-1", serve_ok), limits=limits) as subject:
        caller = await subject.connect()
        await caller.stream.send_all(sent)
        assert (await caller.receive())[0] == 408
        assert await caller.receive() is None


@on_trio
async def test_draining_and_evacuated_upstreams_get_no_new_requests():
    leaving, far, good = (
        Upstream("i-1", serve_ok),
        Upstream("i-2", serve_ok, zone="south-a"),
        Upstream("i-3", serve_ok),
    )
    async with gateway(leaving, far, good) as subject:
        subject.steering.mark_upstream(
            MarkUpstream(now_ms=0, instance="i-1", kind=MarkKind.DRAINING)
        )
        subject.steering.set_evacuation(SetEvacuation(now_ms=0, zone="south-a", active=True))
        subject.apply_feed()
        for number in range(20):
            caller = await subject.connect()
            _, _, body = await caller.request(affinity_key=str(number).encode())
            assert body == b"i-3"


@on_trio
async def test_cold_upstream_gets_few_requests_from_one_gateway():
    cold = Upstream("i-1", serve_ok, cold_for=30.0)
    async with gateway(cold) as subject:
        subject.apply_feed(gateways=("g1",))
        statuses = [(await (await subject.connect()).request())[0] for _ in range(30)]
        assert 1 <= statuses.count(200) <= 5
        others = [f"h{n}" for n in range(40)]
        subject.apply_feed(gateways=("g1", *others))
        before = len(cold.requests)
        for _ in range(10):
            await (await subject.connect()).request()
        assert len(cold.requests) == before


@on_trio
async def test_weights_divide_requests_exactly():
    from finchway.catalog import Backend

    one, two = Upstream("i-1", serve_ok), Upstream("i-2", serve_ok, service="t")
    async with gateway(one, two) as subject:
        from finchway.catalog import Item, ItemKind, ServiceSpec
        from finchway.state import ChangeItems

        item = Item(kind=ItemKind.SERVICE, name="t", version=1, spec=ServiceSpec())
        subject.steering.change_items(ChangeItems(now_ms=0, items=[item]))
        subject.configure(2, backends=(Backend("s", 90), Backend("t", 10)))
        subject.apply_feed()
        caller = await subject.connect()
        for _ in range(100):
            await caller.request()
        assert (len(one.requests), len(two.requests)) == (90, 10)


@on_trio
async def test_slot_share_of_a_gateway_is_strict_until_answers_are_fast():
    held = trio.Event()

    async def hold(upstream, stream, request):
        if b"hold" in request:
            await held.wait()
        await stream.send_all(answer(request))

    async with gateway(Upstream("i-1", hold, slots=6)) as subject:
        subject.apply_feed(gateways=("g1", "h1", "h2"))

        async def third_status_while_two_run():
            first, second, third = [await subject.connect() for _ in range(3)]
            await first.send(path=b"/x/hold")
            await second.send(path=b"/x/hold")
            while subject.table.get("i-1").in_flight < 2:
                await trio.sleep(0.01)
            status, _, _ = await third.request()
            held.set()
            await first.receive()
            await second.receive()
            return status

        assert await third_status_while_two_run() == 503
        caller = await subject.connect()
        for _ in range(100):
            assert (await caller.request())[0] == 200
        held = trio.Event()
        assert await third_status_while_two_run() == 200


@on_trio
async def test_stop_finishes_running_requests_and_closes_idle_connections():
    release = trio.Event()

    async def wait(upstream, stream, request):
        await release.wait()
        await stream.send_all(answer(request))

    upstream = Upstream("i-1", wait)
    async with gateway(upstream) as subject:
        idle, busy = await subject.connect(), await subject.connect()
        await busy.send()
        while not upstream.requests:
            await trio.sleep(0.01)
        subject.nursery.start_soon(subject.server.stop)
        assert await idle.receive() is None
        release.set()
        status, head, _ = await busy.receive()
        assert status == 200
        assert header_of(head, b"connection") == b"close"
        with pytest.raises(OSError):
            await subject.connect()


@pytest.mark.parametrize("deadline", [b"nan", b"inf", b"-inf", b"soon"])
@on_trio
async def test_malformed_deadline_is_400(deadline):
    async with gateway(Upstream("i-1", serve_ok)) as subject:
        status, _, _ = await (await subject.connect()).request(deadline_ms=deadline)
        assert status == 400

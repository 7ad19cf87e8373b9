"""An upstream that is killed and starts again under its own id.

Once it had been silent for a while, it was not used again for as long as its first life had lasted.
Each heartbeat carries a count that tells late ones, and the count of the second life began anew, so
all of its heartbeats passed for late ones of the first: the replicas' lines said "heartbeat 1 came
late and is passed over", and so on up to the count that the first life had reached.
"""

import pytest
import trio

from tests.process.mortal import BEAT_S, play

pytestmark = pytest.mark.xdist_group("gateway")
# Heartbeats within which an upstream that is back gets requests again, and what a request takes.
MAX_HEARTBEATS = 2
REQUEST_TIME_S = 0.3
FIRST_RUN_HEARTBEATS = 20
# Seconds away, after which an upstream has long been taken for silent.
DOWN_S = 5.0


def test_an_upstream_that_starts_again_under_its_id_is_used_within_two_heartbeats(tmp_path):
    async def check(scene):
        upstream, _ = scene.upstreams
        upstream.back_after_s = DOWN_S
        await trio.sleep(FIRST_RUN_HEARTBEATS * BEAT_S)
        upstream.end()
        while upstream.lives == 1:
            await trio.sleep(0.01)
        await trio.sleep(DOWN_S)
        back_at = trio.current_time()
        while not upstream.served_at or upstream.served_at[-1] < back_at:
            assert await scene.ask("g1", "/safe/well") == 200
            assert trio.current_time() - back_at < MAX_HEARTBEATS * BEAT_S + REQUEST_TIME_S
            await trio.sleep(0.02)

    play(check, tmp_path, 2, keeps_instance=True)

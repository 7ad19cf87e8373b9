"""An upstream that is killed and restarts under its own id.

Guards against heartbeats of the new incarnation that are ignored as late, since its sequence starts
anew.
"""

import pytest
import trio

from tests.process.mortal import BEAT_S, play

pytestmark = pytest.mark.xdist_group("gateway")
# Heartbeats after which a restarted upstream must get requests again, and the time of a request.
MAX_HEARTBEATS = 2
REQUEST_TIME_S = 0.3
FIRST_RUN_HEARTBEATS = 20
# Down time, long enough for the upstream to count as silent.
DOWN_S = 5.0


def test_a_restarted_upstream_is_used_within_two_heartbeats(tmp_path):
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

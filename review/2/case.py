"""An engine answers one in fifty of its requests with a head and bytes without
end. Other requests are streamed by sound engines meanwhile."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

# A fraction of the daemon's link of 1,000 Mbit/s.
BYTES_PER_S = 40_000_000
# The share of the answers that a troubled replica spoils (garble, x 0.02).
SPOILED_ONE_IN = 50
# The engine is in trouble for 5.5 s (garble, for_s), and again after a pause.
TROUBLE_S = 5.5
PAUSE_S = 4.5
ENGINES = 4
CALLERS_PER_DAEMON = 12
RUN_S = 30


class TroubledEngine(s.Upstream):
    """Spoils some of its answers."""

    asked = 0
    began = None

    def is_in_trouble(self):
        if self.began is None:
            self.began = time.monotonic()
        since = (time.monotonic() - self.began) % (TROUBLE_S + PAUSE_S)
        return s.TROUBLE and since < TROUBLE_S

    async def answer(self, method, target, headers, body, reader, writer):
        if target.startswith("/check/") and self.is_in_trouble():
            self.asked += 1
            if self.asked % SPOILED_ONE_IN == 1:
                self.record.write("endless answer to", headers["x-attempt-id"],
                                  "by", self.identity)
                await s.write_without_end(self, writer, "text/event-stream",
                                          BYTES_PER_S)
        return await super().answer(method, target, headers, body, reader,
                                    writer)


async def main(record, work):
    troubled = TroubledEngine(record, "e0", "engines", "m0")
    engines = [troubled] + [s.Upstream(record, f"e{number}", "engines", "m0")
                            for number in range(1, ENGINES)]
    for engine in engines:
        engine.gap_s = 0.15
    apps = [s.Upstream(record, f"a{number}", "app") for number in range(2)]
    async with s.Deployment(record, work, s.configuration(), engines,
                            apps) as deployment:
        if not await deployment.is_serving():
            return s.NOT_RUN
        cut = await s.count_cut_streams(deployment, troubled, RUN_S,
                                        CALLERS_PER_DAEMON)
        return s.BROKEN if cut > s.CUT_ALLOWED else s.HELD


s.run_case(FOLDER, main)

"""An engine answers one request with a head and bytes without end. Another
request, on other connections, is streamed by sound engines meanwhile."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

# A fraction of the daemon's link of 1,000 Mbit/s.
BYTES_PER_S = 40_000_000
# PROTOCOL, garble: share of the answers that one troubled engine spoils.
SPOILED_ONE_IN = 50
ENGINES = 4
DAEMONS = 3
CALLERS_PER_DAEMON = 12
RUN_S = 30


async def spoil_without_end(engine, path, headers, writer):
    """The trouble: a head, and then bytes until the caller closes."""
    if not path.startswith("/check/") or not s.TROUBLE:
        return False
    engine.asked = getattr(engine, "asked", 0) + 1
    if engine.asked % SPOILED_ONE_IN != 1:
        return False
    engine.record.write("endless answer to", headers.get("x-attempt-id"), "by",
                        engine.identity)
    writer.write(s.response_head(200, {"Content-Type": "text/event-stream"}))
    sent, began = 0, time.monotonic()
    try:
        while True:
            writer.write(b"x" * 65536)
            await writer.drain()
            sent += 65536
            ahead = sent / BYTES_PER_S - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)
    finally:
        engine.record.write("closed by the caller after", sent, "bytes")


async def main(record, work):
    network = s.network()
    store = s.Store()
    await store.listen(f"{network}.200")
    ticking = asyncio.ensure_future(store.tick())
    store.put("op/config", s.configuration())
    upstreams = []
    for number in range(ENGINES):
        engine = s.Upstream(record, f"e{number}", "engines", "m0")
        engine.gap_s = 0.15
        await engine.register(store, f"{network}.{100 + number}")
        upstreams.append(engine)
    for number in range(2):
        app = s.Upstream(record, f"a{number}", "app")
        await app.register(store, f"{network}.{120 + number}")
    upstreams[0].spoil = spoil_without_end
    daemons = [s.Daemon(record, work, network, number, store, [1, 2, 3])
               for number in range(1, DAEMONS + 1)]
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            if not await s.wait_until(daemon.is_ready, 10):
                return s.NOT_RUN
        # Callers start later than the daemons.
        await asyncio.sleep(5)
        end = time.monotonic() + RUN_S
        watches = [asyncio.ensure_future(d.watch(end + 15)) for d in daemons]
        sound = {e.identity for e in upstreams[1:]}
        cut = []

        async def call(daemon, number):
            caller = s.Caller(record, f"c{daemon.name[-1]}-{number}", daemon)
            while time.monotonic() < end:
                kept = caller.writer is not None
                attempt, result, _, _ = await caller.ask("check", 5000)
                ran = [e.identity for e in upstreams if attempt in e.runs]
                if result == "closed" and kept and ran and set(ran) <= sound:
                    cut.append(attempt)
                    record.write("BROKEN:", attempt, "ran at", ran[0],
                                 "and its kept connection ended unanswered")
                await asyncio.sleep(0.2 if result == "complete" else 0.5)
            caller.close()

        await asyncio.gather(*[call(d, n) for d in daemons
                               for n in range(CALLERS_PER_DAEMON)])
        for watch in watches:
            watch.cancel()
        kills = sum(d.exceeded for d in daemons)
        ends = sum(len(d.ended) for d in daemons)
        record.write("ends of daemons:", ends, "above the memory limit:", kills,
                     "requests cut:", len(cut))
        # LOST allows three; a process that ends by itself counts as running.
        return s.BROKEN if len(cut) > 3 else s.HELD
    finally:
        for daemon in daemons:
            daemon.stop()
        ticking.cancel()


s.run_case(FOLDER, main)

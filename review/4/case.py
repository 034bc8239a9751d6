"""A replica's heartbeat gets no answer and is carried out 5.8 s later, after the
replica has reported that it is draining."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

DAEMONS = 3
APPS = 3
CALLERS_PER_DAEMON = 4
HEARTBEAT_S = 1.2
# kinds, platform_lost: "late (done 1 to 6 s later)".
LATE_S = 5.8
# After this much without disruption the store is stable (contact-ms).
STABLE_S = s.CONTACT_S + 0.1
DRAIN_S = 2.0
# PROTOCOL: the replica serves for drain-ms "and a little longer (at times many
# seconds)".
SERVES_ON_S = 6.0


async def main(record, work):
    network = s.network()
    store = s.Store()
    await store.listen(f"{network}.200")
    ticking = asyncio.ensure_future(store.tick())
    store.put("op/config", s.configuration())
    upstreams = []
    engine = s.Upstream(record, "e0", "engines", "m0")
    await engine.register(store, f"{network}.100")
    for number in range(APPS):
        app = s.Upstream(record, f"a{number}", "app")
        await app.register(store, f"{network}.{120 + number}")
        upstreams.append(app)
    leaving = upstreams[0]
    seq = {app.identity: 1 for app in upstreams}

    def heartbeat(app, state):
        """Returns the write of one heartbeat; `seq` increases with each."""
        seq[app.identity] += 1
        value = {**app.entry(state), "seq": seq[app.identity]}

        def write():
            record.write("heartbeat of", app.identity, "seq", value["seq"],
                         state, "done")
            store.put(f"servers/{app.identity}", value)
        return write

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
        start = time.monotonic()
        end = start + 18
        state = {app.identity: "ready" for app in upstreams}
        drained_at = []

        async def beat(app):
            while time.monotonic() < end and state[app.identity] != "gone":
                heartbeat(app, state[app.identity])()
                await asyncio.sleep(HEARTBEAT_S)

        async def leave():
            await asyncio.sleep(4)
            # The disruption: one write, whose answer is lost.
            write = heartbeat(leaving, "ready")
            if s.TROUBLE:
                record.write("heartbeat of a0 seq", seq["a0"],
                             "is sent and gets no answer")
                asyncio.get_running_loop().call_later(LATE_S, write)
            else:
                write()
            await asyncio.sleep(STABLE_S)
            state["a0"] = "draining"
            heartbeat(leaving, "draining")()
            drained_at.append(time.monotonic())
            record.write("the store acknowledges that a0 is draining")
            await asyncio.sleep(DRAIN_S + SERVES_ON_S)
            state["a0"] = "gone"
            store.remove("servers/a0")

        async def call(daemon, number):
            caller = s.Caller(record, f"c{daemon.name[-1]}-{number}", daemon)
            while time.monotonic() < end:
                route = ("order", "lookup")[number % 2]
                await caller.ask(route, 600)
                await asyncio.sleep(0.05)
            caller.close()

        late = []
        original = leaving.answer

        async def answer(method, target, headers, body, reader, writer):
            if (drained_at and time.monotonic() > drained_at[0] + DRAIN_S and
                    "x-attempt-id" in headers and
                    headers.get("x-expect-replica") == "a0"):
                late.append(headers["x-attempt-id"])
                record.write("BROKEN:", headers["x-attempt-id"], "reaches a0",
                             f"{time.monotonic() - drained_at[0]:.3f} s after "
                             "the acknowledgement")
            return await original(method, target, headers, body, reader, writer)
        leaving.answer = answer
        await asyncio.gather(leave(), *[beat(app) for app in upstreams],
                             *[call(d, n) for d in daemons
                               for n in range(CALLERS_PER_DAEMON)])
        ended = [d.name for d in daemons if d.process.poll() is not None]
        record.write("requests that reached a0 too late:", len(late),
                     "daemons that ended:", ended)
        return s.BROKEN if late else s.HELD
    finally:
        for daemon in daemons:
            daemon.stop()
        ticking.cancel()


s.run_case(FOLDER, main)

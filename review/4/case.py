"""A replica's heartbeat gets no answer and is carried out 5.8 s later, after the
replica has reported that it is draining."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

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
RUN_S = 18


class LeavingApp(s.Upstream):
    """Notes the requests that reach it later than drain-ms after the store
    acknowledged that it is draining."""

    def __init__(self, record, identity):
        super().__init__(record, identity, "app")
        self.drained_at = None
        self.late = []

    async def answer(self, method, target, headers, body, reader, writer):
        is_request = ("x-attempt-id" in headers and
                      headers.get("x-expect-replica") == self.identity)
        if is_request and self.drained_at is not None:
            since = time.monotonic() - self.drained_at
            if since > DRAIN_S:
                self.late.append(headers["x-attempt-id"])
                self.record.write("BROKEN:", headers["x-attempt-id"],
                                  "reaches", self.identity, f"{since:.3f} s",
                                  "after the acknowledgement")
        return await super().answer(method, target, headers, body, reader,
                                    writer)


async def main(record, work):
    leaving = LeavingApp(record, "a0")
    apps = [leaving] + [s.Upstream(record, f"a{number}", "app")
                        for number in range(1, APPS)]
    engines = [s.Upstream(record, "e0", "engines", "m0")]
    async with s.Deployment(record, work, s.configuration(), engines,
                            apps) as deployment:
        if not await deployment.is_serving():
            return s.NOT_RUN
        store = deployment.store
        end = time.monotonic() + RUN_S
        state = {app.identity: "ready" for app in apps}
        seq = {app.identity: 1 for app in apps}

        def heartbeat(app):
            """Returns the write of one heartbeat; `seq` increases with each."""
            seq[app.identity] += 1
            value = {**app.entry(state[app.identity]),
                     "seq": seq[app.identity]}

            def write():
                record.write("heartbeat of", app.identity, "seq", value["seq"],
                             value["state"], "done")
                store.put(f"servers/{app.identity}", value)
            return write

        async def beat(app):
            while time.monotonic() < end and state[app.identity] != "gone":
                heartbeat(app)()
                await asyncio.sleep(HEARTBEAT_S)

        async def leave():
            await asyncio.sleep(4)
            # The disruption: one write, whose answer is lost.
            write = heartbeat(leaving)
            if s.TROUBLE:
                record.write("heartbeat of a0 seq", seq["a0"],
                             "is sent and gets no answer")
                asyncio.get_running_loop().call_later(LATE_S, write)
            else:
                write()
            await asyncio.sleep(STABLE_S)
            state["a0"] = "draining"
            heartbeat(leaving)()
            leaving.drained_at = time.monotonic()
            record.write("the store acknowledges that a0 is draining")
            await asyncio.sleep(DRAIN_S + SERVES_ON_S)
            state["a0"] = "gone"
            store.remove("servers/a0")

        async def call(daemon, number):
            caller = s.Caller(record, f"c{daemon.name[-1]}-{number}", daemon)
            while time.monotonic() < end:
                await caller.ask(("order", "lookup")[number % 2], 600)
                await asyncio.sleep(0.05)
            caller.close()

        await asyncio.gather(leave(), *[beat(app) for app in apps],
                             *[call(daemon, number)
                               for daemon in deployment.daemons
                               for number in range(CALLERS_PER_DAEMON)])
        record.write("requests that reached a0 too late:", len(leaving.late))
        return s.BROKEN if leaving.late else s.HELD


s.run_case(FOLDER, main)

"""A service works near its capacity and one of its replicas sends some of its
refusals twice, the second time where the next answer is expected.

APPS=1 plays the same with one replica instead of two and fewer callers."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

DAEMONS = 3
APPS = int(os.environ.get("APPS", "2"))
# The daemon whose callers are few; the others carry most of the load.
QUIET = 0
QUIET_CALLERS = 7
BUSY_CALLERS = 14 if APPS > 1 else 5
SLOTS = 6
QUEUE = 6
WORK_S = 0.04
# A request and its answer cross between two zones: 0.9 ms each way.
ROUND_TRIP_S = 0.0018
# The site file: garble, "extra late", share 0.6, x 0.03.
SPOILED_SHARE = 0.03
RUN_S = 95


class App(s.Upstream):
    """A plain service with slots and a queue that refuses when it is full."""

    def __init__(self, record, identity):
        super().__init__(record, identity, "app")
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.answers = 0
        self.doubled = 0
        self.is_faulty = False
        self.extra = {}

    def load(self):
        return f"{self.running},{self.waiting},{SLOTS}"

    async def answer(self, method, target, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        if (not attempt or
                headers.get("x-expect-replica", self.identity) != self.identity):
            return await super().answer(method, target, headers, body, reader,
                                        writer)
        await asyncio.sleep(ROUND_TRIP_S)
        if extra := self.extra.pop(writer, None):
            self.record.write("second copy of a refusal of", extra[0], "by",
                              self.identity)
            writer.write(extra[1])
        fields = {"X-Attempt-Id": attempt, "Keep-Alive": "timeout=15",
                  "X-Replica-Load": self.load()}
        self.answers += 1
        if self.waiting >= QUEUE:
            self.record.write("refused", attempt, "by", self.identity)
            refusal = s.response_head(
                503, {**fields, "X-Not-Executed": "1"}, 2) + b"{}"
            writer.write(refusal)
            await writer.drain()
            if (self.is_faulty and
                    self.doubled < SPOILED_SHARE * self.answers):
                self.doubled += 1
                self.extra[writer] = (attempt, refusal)
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.record.write("run", attempt, "at", self.identity)
            await asyncio.sleep(WORK_S)
            self.running -= 1
        fields["X-Replica-Stamp"] = f"stamp.{self.identity}.{attempt}"
        fields["X-Replica-Load"] = self.load()
        await self.reply(writer, 200, attempt.encode() * 40, fields)
        return True


async def main(record, work):
    network = s.network()
    store = s.Store()
    await store.listen(f"{network}.200")
    ticking = asyncio.ensure_future(store.tick())
    config = s.configuration()
    for route in config["routes"]:
        if route["backend"] == "app":
            route.update({"timeout-ms": 1500, "goal-ms": 300})
    store.put("op/config", config)
    engine = s.Upstream(record, "e0", "engines", "m0")
    await engine.register(store, f"{network}.100")
    apps = [App(record, f"a{number}") for number in range(APPS)]
    for number, app in enumerate(apps):
        await app.register(store, f"{network}.{120 + number}")
    apps[0].is_faulty = s.TROUBLE
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
        refused, answered = {}, {}

        async def call(daemon, name, pause):
            caller = s.Caller(record, name, daemon)
            while time.monotonic() < end:
                attempt, result, status, _ = await caller.ask("order", 1500)
                if result == "complete" and status in (408, 421, 429, 503):
                    refused[attempt] = status
                answered[(result, status)] = answered.get((result, status),
                                                          0) + 1
                await asyncio.sleep(pause)
            caller.close()

        calls = []
        for index, daemon in enumerate(daemons):
            count = QUIET_CALLERS if index == QUIET else BUSY_CALLERS
            calls += [call(daemon, f"c{index + 1}-{number}",
                           0.03 if index == QUIET else 0.02)
                      for number in range(count)]
        await asyncio.gather(*calls)
        await asyncio.sleep(1)
        runs = {}
        for app in apps:
            for attempt, count in app.runs.items():
                runs[attempt] = runs.get(attempt, 0) + count
        broken = 0
        for attempt, status in refused.items():
            if attempt in runs:
                broken += 1
                record.write("BROKEN: REFUSED", attempt, "was answered", status,
                             "and has run", runs[attempt], "times")
        for attempt, count in runs.items():
            if count > 1:
                broken += 1
                record.write("BROKEN: TWICE", attempt, "has run", count, "times")
        record.write("answers", answered, "doubled refusals",
                     [app.doubled for app in apps], "of",
                     [app.answers for app in apps], "answers; broken:", broken)
        return s.BROKEN if broken else s.HELD
    finally:
        for daemon in daemons:
            daemon.stop()
        ticking.cancel()


s.run_case(FOLDER, main)

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

APPS = int(os.environ.get("APPS", "2"))
# The daemon whose callers are few; the others carry most of the load.
QUIET = 0
QUIET_CALLERS = 8
BUSY_CALLERS = 11 if APPS > 1 else 5
SLOTS = 6
QUEUE = 6
WORK_S = 0.04
# A request and its answer cross between two zones: 0.9 ms each way.
ROUND_TRIP_S = 0.0018
# The site file: garble, "extra late", share 0.6, x 0.03.
SPOILED_SHARE = 0.03
# "for_s 5.0"; it comes more than once.
TROUBLE_S = 5.0
PAUSE_S = 2.0
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
        self.extra = {}
        # Answers and refusals sent twice, in the present time of trouble.
        self.is_faulty = False
        self.spoilable = 0
        self.spoiled = 0

    async def be_faulty_by_turns(self):
        while True:
            self.is_faulty, self.spoilable, self.spoiled = True, 0, 0
            await asyncio.sleep(TROUBLE_S)
            self.is_faulty = False
            await asyncio.sleep(PAUSE_S)

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
        self.spoilable += 1
        if self.waiting >= QUEUE:
            self.record.write("refused", attempt, "by", self.identity)
            refusal = s.response_head(
                503, {**fields, "X-Not-Executed": "1"}, 2) + b"{}"
            writer.write(refusal)
            await writer.drain()
            if (self.is_faulty and
                    self.spoiled < SPOILED_SHARE * self.spoilable):
                self.spoiled += 1
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
    config = s.configuration()
    for route in config["routes"]:
        if route["backend"] == "app":
            route.update({"timeout-ms": 1500, "goal-ms": 300})
    engines = [s.Upstream(record, "e0", "engines", "m0")]
    apps = [App(record, f"a{number}") for number in range(APPS)]
    async with s.Deployment(record, work, config, engines,
                            apps) as deployment:
        if not await deployment.is_serving():
            return s.NOT_RUN
        if s.TROUBLE:
            trouble = asyncio.ensure_future(apps[0].be_faulty_by_turns())
        end = time.monotonic() + RUN_S
        promised, answered = {}, {}

        async def call(daemon, name, pause):
            caller = s.Caller(record, name, daemon)
            while time.monotonic() < end:
                attempt, result, status, _ = await caller.ask("order", 1500)
                if result == "complete" and status in (408, 421, 429, 503):
                    promised[attempt] = status
                answered[status] = answered.get(status, 0) + 1
                await asyncio.sleep(pause)
            caller.close()

        calls = []
        for index, daemon in enumerate(deployment.daemons):
            is_quiet = index == QUIET
            calls += [call(daemon, f"c{index + 1}-{number}",
                           0.03 if is_quiet else 0.02)
                      for number in range(QUIET_CALLERS if is_quiet
                                          else BUSY_CALLERS)]
        await asyncio.gather(*calls)
        if s.TROUBLE:
            trouble.cancel()
        # What still runs ends.
        await asyncio.sleep(1)
        runs = {}
        for app in apps:
            for attempt, count in app.runs.items():
                runs[attempt] = runs.get(attempt, 0) + count
        refused = [attempt for attempt in promised if attempt in runs]
        for attempt in refused:
            record.write("BROKEN: REFUSED", attempt, "was answered",
                         promised[attempt], "and has run", runs[attempt],
                         "times")
        twice = [attempt for attempt, count in runs.items() if count > 1]
        for attempt in twice:
            record.write("BROKEN: TWICE", attempt, "has run", runs[attempt],
                         "times")
        record.write("answers by status", answered, "doubled refusals",
                     [app.doubled for app in apps], "of",
                     [app.answers for app in apps], "answers; REFUSED:",
                     len(refused), "TWICE:", len(twice))
        return s.BROKEN if refused or twice else s.HELD


s.run_case(FOLDER, main)

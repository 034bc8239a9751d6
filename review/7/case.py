"""WALL: a tenant that becomes isolated leaves its cached prompts to the others."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

import harness_2 as h

# What was sent, answered and run.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
SERVICE = "engines"
MODEL = "model-1"
KEYS = {"tenant-a": "key-a", "tenant-b": "key-b"}
SHARED_PARTS = "5c1e07a2:800,91bd3f06:410"
EVENTS = 3


class Engine(h.Replica):
    """Streams events and keeps the parts of prompts under the salt of each
    request, with the tenant whose request made them."""

    def __init__(self, host, store, name, record):
        super().__init__(host, store, name, SERVICE, 64, MODEL)
        self.record = record
        self.kept = {}
        self.uses = []

    async def serve(self, reader, writer):
        while True:
            request = await h.read_message(reader)
            if request.target == "/report":
                writer.write(self.report())
            else:
                writer.write(self.misdirected(request) or self.run(request))
            await writer.drain()

    def run(self, request):
        attempt = request.header("X-Attempt-Id")
        tenant = request.header("X-Tenant")
        salt = request.header("X-Cache-Salt")
        # A part is found only if all parts before it are kept too.
        is_kept = True
        for part in request.header("X-Prompt-Prefix").split(","):
            part_id = part.split(":")[0]
            maker = self.kept.get((salt, part_id))
            is_kept = is_kept and maker is not None
            if is_kept:
                self.uses.append((attempt, tenant, maker, part_id))
                self.record.write(f"{self.name}: {attempt} of {tenant} uses part "
                                  f"{part_id}, made by a request of {maker}")
            else:
                self.kept[(salt, part_id)] = tenant
        self.record.write(f"{self.name}: runs {attempt} of {tenant}, salt {salt}")
        body = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1))
        return h.response(200, [("Content-Type", "text/event-stream"),
                                ("X-Attempt-Id", attempt),
                                ("X-Replica-Stamp", f"{self.name}.{attempt}"),
                                ("X-Weight-Versions", self.version),
                                ("X-Replica-Load", "1,0,64"),
                                ("Keep-Alive", "timeout=5")], body)


def configuration(version, isolated):
    return {"version": version,
            "routes": [{"name": "check", "host": "desk.example", "path-prefix": "/check/",
                        "kind": "stream", "timeout-ms": 5000, "goal-ms": 800,
                        "priority": 1, "backend": SERVICE, "attempts": 1,
                        "public": False, "sticky": True, "can-resume": False,
                        "gap-aim-ms": 500}],
            "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 370,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 64, "kv-capacity": 94571,
                                     "token-kv-bytes": 163840, "link-mbps": 530000.0,
                                     "pin-ms": 4000.0, "hold-ms": 2000.0,
                                     "models": [{"name": MODEL}]}}],
            "limits": h.limits(),
            "tenants": [{"name": name, "api-keys": [key], "priority": 1,
                         "isolated": name in isolated}
                        for name, key in KEYS.items()]}


async def case(record, scratch, processes):
    hosts = h.loopback_hosts(4)
    store = h.Store(hosts[0])
    await store.start()
    store.put("op/config", json.dumps(configuration(1, [])))
    engines = [Engine(hosts[1], store, "i-1", record), Engine(hosts[2], store, "i-2", record)]
    for engine in engines:
        await engine.start()
    daemon = h.Daemon(scratch, "front-1", hosts[3], store)
    processes.append(daemon)
    await daemon.start()
    if not await daemon.wait_ready():
        record.write("the daemon did not become ready")
        return h.NOT_RUN
    await asyncio.sleep(4)

    client = h.Client(daemon.front)
    statuses = []

    async def send(attempt, tenant):
        record.write(f"client: {tenant} sends {attempt}")
        answer = await client.ask("POST", "/check/contract", [
            ("Host", "desk.example"), ("X-Attempt-Id", attempt), ("X-Model", MODEL),
            ("X-Token-Usage", "1460,80"),
            ("X-Prompt-Prefix", f"{SHARED_PARTS},{attempt}:250"),
            ("X-Deadline-Ms", 5000), ("Authorization", f"Token {KEYS[tenant]}")], b"order")
        statuses.append(answer.status if answer else None)
        record.write(f"client: {attempt} is answered {statuses[-1]}")

    for number in range(4):
        await send(f"a{number:07}", "tenant-a")
    if h.has_trouble():
        store.put("op/config", json.dumps(configuration(2, ["tenant-a"])))
        record.write("operator: version 2 is acknowledged; tenant-a is isolated")
    await asyncio.sleep(h.CONVERGE_S + 1)
    before = {engine.name: len(engine.uses) for engine in engines}
    for number in range(4):
        await send(f"b{number:07}", "tenant-b")
    for number in range(4):
        await send(f"c{number:07}", "tenant-a")

    if statuses.count(200) != len(statuses):
        record.write("not all requests were served")
        return h.NOT_RUN
    isolated = {"tenant-a"} if h.has_trouble() else set()
    broken = [use for engine in engines for use in engine.uses[before[engine.name]:]
              if use[1] != use[2] and {use[1], use[2]} & isolated]
    for attempt, tenant, maker, part in broken:
        record.write(f"WALL: {attempt} of {tenant} used part {part} that a request of "
                     f"{maker} made; isolated: {', '.join(isolated)}")
    return h.BROKEN if broken else h.HELD


if __name__ == "__main__":
    sys.exit(h.run_case(case, RECORD))

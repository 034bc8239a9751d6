"""Small stand-ins for the environment of cuminswitchd: the platform's metadata
store, upstreams, callers, and the platform itself, which starts a daemon with
the command of the deploy file and ends it when it exceeds its memory limit.

Everything listens on loopback addresses. The scripts of the cases import this
module; it needs Python's standard library only.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The settings of one of the deployments.
MEMORY_MB = 110
CONTACT_S = 3.0
# Requests that LOST allows.
CUT_ALLOWED = 3


def network():
    """Returns the prefix of a loopback network on which nothing listens yet."""
    while True:
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{prefix}.1", 9100))
            return prefix
        except OSError:
            continue


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def write(self, *words):
        line = " ".join(str(word) for word in words)
        self.file.write(f"{time.monotonic() - self.start:8.3f} {line}\n")
        self.file.flush()


def response_head(status, headers, length=None):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_message(reader):
    """Reads a head and, with Content-Length, a body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; `answer` writes the response of one request."""

    async def listen(self, address, port=0):
        self.server = await asyncio.start_server(self.serve, address, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{address}:{self.port}"

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                if not await self.answer(method, target, headers, body, reader,
                                         writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def reply(writer, status, value, headers=None):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        fields = {"Content-Type": "application/json", **(headers or {})}
        writer.write(response_head(status, fields, len(body)) + body)
        await writer.drain()


class Store(Server):
    """The platform's metadata store, as PROTOCOL describes it."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def item(self, key):
        value, rev, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "rev": rev, "created": created, "lease": lease}

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, self.item(key)))
        self.wake_watches()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((self.revision, {
                "key": key, "rev": self.revision, "deleted": True}))
            self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        now = time.monotonic()
        for lease in [i for i, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self.remove(key)

    async def tick(self):
        while True:
            self.expire_leases()
            await asyncio.sleep(0.05)

    async def answer(self, method, target, headers, body, reader, writer):
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("path-prefix", "")
        path = url.path
        self.expire_leases()
        if path == "/kv-key":
            found = query["key"] in self.items
            value = self.item(query["key"]) if found else {}
            value["store-revision"] = self.revision
            await self.reply(writer, 200 if found else 404, value)
        elif path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and
                          k > query.get("after", ""))
            await self.reply(writer, 200, {
                "items": [self.item(k) for k in keys[:500]],
                "has-more": len(keys) > 500, "store-revision": self.revision})
        elif path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["wait-ms"]) / 1000

            def events():
                return [e for rev, e in self.events
                        if rev > after and e["key"].startswith(prefix)]
            while not events() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            await self.reply(writer, 200, {"events": events(),
                                           "store-revision": self.revision})
        elif path == "/kv-txn":
            call = json.loads(body)
            failed = [c["key"] for c in call.get("precondition", [])
                      if (self.items[c["key"]][1] if c["key"] in self.items
                          else 0) != c["rev"]]
            puts = call.get("puts", [])
            if failed:
                await self.reply(writer, 412, {"items": [
                    self.item(k) for k in failed if k in self.items]})
            elif any(p.get("lease", 0) not in (0, *self.leases) for p in puts):
                await self.reply(writer, 404, {})
            else:
                for p in puts:
                    self.put(p["key"], base64.b64decode(p["value"]),
                             p.get("lease", 0))
                for key in call.get("remove", []):
                    self.remove(key)
                await self.reply(writer, 200, {"rev": self.revision})
        elif path == "/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            await self.reply(writer, 200, {"lease": lease, "ttl-ms": ttl})
        elif path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                await self.reply(writer, 200, {"lease": lease, "ttl-ms": ttl})
            else:
                await self.reply(writer, 404, {})
        elif path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            await self.reply(writer, 200, {})
        else:
            await self.reply(writer, 404, {})
        return True


class Upstream(Server):
    """An engine (with a model) or a plain service."""

    def __init__(self, record, identity, service, model=None):
        self.record = record
        self.identity = identity
        self.service = service
        self.model = model
        self.version = 1
        self.named = 1
        self.orders = 0
        self.busy = False
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.work_s = 0.015
        self.events = 9
        self.gap_s = 0.05

    def entry(self, state="ready"):
        models = [] if self.model is None else [
            {"name": self.model, "version": self.version, "adapters": []}]
        return {"backend": self.service, "address": self.address,
                "zone": "z1", "version": "v1", "slots": 64, "state": state,
                "seq": 1, "cold-left-ms": 0, "born": self.born,
                "stage": "colocated", "models": models}

    def report(self):
        return {"stage": "colocated", "models": self.entry()["models"],
                "busy": self.busy, "seq": self.orders, "queued": 0,
                "running": 0, "kv-used": 0, "kv-total": 90000, "handles": 0,
                "born": self.born}

    async def answer(self, method, target, headers, body, reader, writer):
        path = urlsplit(target).path
        if headers.get("x-expect-replica", self.identity) != self.identity:
            await self.reply(writer, 421, {}, {"X-Not-Executed": "1"})
            return True
        if path == "/report":
            await self.reply(writer, 200, self.report())
            return True
        if path == "/health":
            await self.reply(writer, 200, {}, {"X-Replica-Id": self.identity})
            return True
        if path == "/order":
            await self.take_order(json.loads(body), writer)
            return True
        if path == "/hold-take":
            await self.reply(writer, 200, {"hold": "h1"})
            return True
        if path in ("/kv-events", "/kv-list"):
            await self.reply(writer, 200, {
                "epoch": 1, "next-token": 1, "lost": False, "events": [],
                "held": []})
            return True
        attempt = headers.get("x-attempt-id", "")
        fields = {"X-Attempt-Id": attempt, "Keep-Alive": "timeout=15"}
        wanted = headers.get("x-expect-version")
        if not attempt:
            await self.reply(writer, 400, {}, {"X-Not-Executed": "1"})
            return True
        if wanted is not None and wanted != str(self.version):
            await self.reply(writer, 421, {}, {**fields, "X-Not-Executed": "1"})
            return True
        if self.busy:
            await self.reply(writer, 503, {}, {**fields, "X-Not-Executed": "1"})
            return True
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write("run", attempt, "at", self.identity)
        fields["X-Replica-Stamp"] = f"stamp.{self.identity}.{attempt}"
        if self.model is None:
            await asyncio.sleep(self.work_s)
            await self.reply(writer, 200, attempt.encode() * 40, fields)
            return True
        fields["Content-Type"] = "text/event-stream"
        fields["X-Weight-Versions"] = str(self.version)
        fields["Transfer-Encoding"] = "chunked"
        writer.write(response_head(200, fields))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def take_order(self, order, writer):
        self.record.write("order at", self.identity, json.dumps(order))
        if "holder" not in order or "fence" not in order or (
                order.get("version", 0) > self.named):
            await self.reply(writer, 400, {})
        elif order.get("version") == self.version:
            await self.reply(writer, 200, {})
        elif self.busy or order.get("precondition", self.orders) != self.orders:
            await self.reply(writer, 409, {})
        else:
            self.orders += 1
            self.busy = True
            await self.reply(writer, 202, {})
            asyncio.ensure_future(self.load(order["version"]))

    async def load(self, version):
        await asyncio.sleep(0.32)
        self.version = version
        self.busy = False
        self.record.write("weights at", self.identity, version)
        self.store.put(f"servers/{self.identity}", self.entry())

    async def register(self, store, address):
        self.store = store
        await self.listen(address)
        store.put(f"servers/{self.identity}", self.entry())


class Daemon:
    """One process, started with the command of deploy/system.toml. As the
    platform does, `watch_memory` kills it above its memory limit."""

    def __init__(self, record, folder, network, number, store, seeds,
                 memory_mb=MEMORY_MB):
        self.record = record
        self.name = f"front-{number}"
        self.ip = f"{network}.{number}"
        self.memory_mb = memory_mb
        self.folder = folder
        self.peak_kb = 0
        self.exceeded = 0
        self.ended = []
        self.process = None
        self.settings = os.path.join(folder, f"{self.name}.toml")
        seeds = ", ".join(f'"{network}.{i}:8783"' for i in seeds)
        with open(self.settings, "w") as file:
            file.write(f'''node-name = "{self.name}"
role = "router"
instance-class = "front"
serves = ["front", "control", "directory"]
ip = "{self.ip}"
zone = "z1"
region = "r1"
port-range = [7340, 7355]
seeds = [{seeds}]
bootstrap = true
heartbeat-ms = 1200
policies = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"]
[zones]
z1 = "r1"
[listen]
front = "{self.ip}:8782"
ready = "{self.ip}:8789"
control = "{self.ip}:8783"
directory = "{self.ip}:8780"
[limits]
cpu-share = 0.25
cpus = 1
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
converge-ms = 2000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 56
lease-ms = 3000
unfreeze-slack-ms = 300
version-ms = 6000
version-all-ms = 8400
[provider]
address = "{store.address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
''')

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = next(line.split('"')[1] for line in file
                       if line.startswith("run = "))
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            run.split(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LANG": "C",
                 "CUMINSWITCH_CONFIG": self.settings})
        log.close()
        self.record.write("start", self.name, "pid", self.process.pid)

    def rss_kb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    async def watch(self, until):
        """Acts as the platform: ends the process above its memory limit, and
        starts an ended process again after a short delay."""
        while time.monotonic() < until:
            code = self.process.poll()
            if code is not None:
                self.ended.append(time.monotonic())
                self.record.write("end", self.name, "code", code,
                                  "peak_kb", self.peak_kb)
                await asyncio.sleep(0.5)
                self.peak_kb = 0
                self.start()
                continue
            size = self.rss_kb()
            self.peak_kb = max(self.peak_kb, size)
            if size > self.memory_mb * 1024:
                self.exceeded += 1
                self.record.write("platform kills", self.name, "at", size,
                                  "KB, limit", self.memory_mb * 1024)
                self.process.kill()
                self.process.wait()
                continue
            await asyncio.sleep(0.02)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8789)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


def configuration(version=1, tenants=None, extra_routes=()):
    """A configuration with the two services and four routes of the sheets."""
    def route(name, kind, timeout, goal, service, attempts, **more):
        return {"name": name, "host": "h.example", "path-prefix": f"/{name}/",
                "kind": kind, "timeout-ms": timeout, "goal-ms": goal,
                "backend": service, "attempts": attempts, **more}
    return {
        "version": version,
        "routes": [
            route("check", "stream", 5000, 800, "engines", 1, priority=1,
                  sticky=True, **{"gap-aim-ms": 500}),
            route("query", "stream", 12000, 500, "engines", 2, priority=0,
                  sticky=True, **{"gap-aim-ms": 500, "can-resume": True}),
            route("order", "non_idempotent", 600, 100, "app", 1, priority=2),
            route("lookup", "idempotent", 600, 100, "app", 2, priority=2),
            *extra_routes],
        "services": [
            {"name": "engines", "max-conns": 370, "health-path": "/health",
             "engine": {"slots": 64, "kv-capacity": 94571,
                        "token-kv-bytes": 163840, "link-mbps": 530000,
                        "hold-ms": 2000, "models": [{"name": "m0"}]}},
            {"name": "app", "max-conns": 110, "health-path": "/health"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": tenants or [{"name": "w1", "api-keys": ["key1"]}]}


class Caller:
    """A client with one kept connection to one daemon, or one that is opened
    anew after each failure."""

    def __init__(self, record, name, daemon):
        self.record = record
        self.name = name
        self.daemon = daemon
        self.reader = self.writer = None
        self.sent = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, route, deadline_ms, method="POST", body=b"{}",
                  more=None, key="key1"):
        """Sends one request and reads its answer. Returns (id, result, status,
        events): result is `complete`, `closed` (the connection ended without a
        complete answer), `refused` (no connection) or `late`."""
        self.sent += 1
        attempt = f"{self.name}-{self.sent}"
        reused = self.writer is not None
        try:
            if not reused:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.daemon.ip, 8782), 1)
        except (OSError, asyncio.TimeoutError):
            self.close()
            return attempt, "refused", 0, []
        headers = {"Host": "h.example", "X-Attempt-Id": attempt,
                   "X-Deadline-Ms": deadline_ms, "X-Model": "m0",
                   "X-Token-Usage": "400,9",
                   "X-Prompt-Prefix": f"aa:200,bb:100,{abs(hash(attempt)):x}:100",
                   "Authorization": f"Token {key}",
                   "Content-Length": len(body), **(more or {})}
        head = f"{method} /{route}/x HTTP/1.1\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in headers.items()) + "\r\n"
        self.record.write("sent", attempt, route, "to", self.daemon.name)
        try:
            self.writer.write(head.encode() + body)
            result = await asyncio.wait_for(self.read_answer(),
                                            deadline_ms / 1000 + 1.5)
        except asyncio.TimeoutError:
            result = ("late", 0, [])
        except (ConnectionError, asyncio.IncompleteReadError):
            result = ("closed", 0, [])
        self.record.write("answer", attempt, result[0], result[1],
                          f"{len(result[2])} bytes")
        if result[0] != "complete":
            self.close()
        return (attempt, *result)

    async def read_answer(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n"))[:-2], 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        if headers.get("connection") == "close":
            self.close()
        return "complete", status, body


class Deployment:
    """A store with a configuration, upstreams and daemons on one loopback
    network. Use it with `async with`."""

    def __init__(self, record, work, config, engines, apps, daemons=3):
        self.record = record
        self.work = work
        self.config = config
        self.engines = engines
        self.apps = apps
        self.daemon_count = daemons
        self.daemons = []

    async def __aenter__(self):
        prefix = network()
        self.store = Store()
        await self.store.listen(f"{prefix}.200")
        self.ticking = asyncio.ensure_future(self.store.tick())
        self.store.put("op/config", self.config)
        for number, upstream in enumerate(self.engines + self.apps):
            await upstream.register(self.store, f"{prefix}.{100 + number}")
        numbers = range(1, self.daemon_count + 1)
        self.daemons = [Daemon(self.record, self.work, prefix, number,
                               self.store, numbers) for number in numbers]
        for daemon in self.daemons:
            daemon.start()
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons:
            daemon.stop()
        self.ticking.cancel()

    async def is_serving(self):
        """Waits until the daemons are ready and the callers' traffic starts,
        some seconds later."""
        for daemon in self.daemons:
            if not await wait_until(daemon.is_ready, 5):
                return False
        await asyncio.sleep(5)
        return True


async def write_without_end(engine, writer, content_type, bytes_per_s):
    """Writes the head of a 200 and then bytes until the caller closes."""
    writer.write(response_head(200, {"Content-Type": content_type}))
    sent, began = 0, time.monotonic()
    try:
        while True:
            writer.write(b"x" * 65536)
            await writer.drain()
            sent += 65536
            ahead = sent / bytes_per_s - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)
    finally:
        engine.record.write("closed by the caller after", sent, "bytes")


async def count_cut_streams(deployment, troubled, run_s, callers_per_daemon,
                            meanwhile=None):
    """Sends streams through all daemons, which the platform watches, and returns
    how many LOST counts: those whose kept connection ended without an answer
    although they ran at an engine other than `troubled`."""
    record = deployment.record
    end = time.monotonic() + run_s
    watches = [asyncio.ensure_future(daemon.watch(end + 15))
               for daemon in deployment.daemons]
    cut = []

    async def call(daemon, number):
        caller = Caller(record, f"c{daemon.name[-1]}-{number}", daemon)
        while time.monotonic() < end:
            is_kept = caller.writer is not None
            attempt, result, _, _ = await caller.ask("check", 5000)
            ran = [engine for engine in deployment.engines
                   if attempt in engine.runs]
            if result == "closed" and is_kept and ran and troubled not in ran:
                cut.append(attempt)
                record.write("BROKEN:", attempt, "ran at", ran[0].identity,
                             "and its kept connection ended unanswered")
            await asyncio.sleep(0.2 if result == "complete" else 0.5)
        caller.close()

    await asyncio.gather(*[call(daemon, number)
                           for daemon in deployment.daemons
                           for number in range(callers_per_daemon)],
                         *([meanwhile] if meanwhile else []))
    for watch in watches:
        watch.cancel()
    record.write("ends of daemons:",
                 sum(len(daemon.ended) for daemon in deployment.daemons),
                 "above the memory limit:",
                 sum(daemon.exceeded for daemon in deployment.daemons),
                 "requests cut:", len(cut), "versions:",
                 [engine.version for engine in deployment.engines])
    return len(cut)


async def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(folder, main):
    """Runs the coroutine function `main(record, work)` and exits with its
    result; NOT_RUN if it fails or takes too long."""
    record = Record(folder)
    # The daemons are ended on this signal too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    # `main` has been cancelled by then, and has ended the daemons.
    signal.signal(signal.SIGALRM, lambda *_: os._exit(NOT_RUN))
    signal.alarm(119)
    random.seed(os.environ.get("SEED"))
    result = NOT_RUN

    async def bounded():
        with tempfile.TemporaryDirectory() as work:
            return await asyncio.wait_for(main(record, work), 116)
    try:
        result = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record.write("not run:", repr(error))
        print("not run:", repr(error), file=sys.stderr)
    record.write("exit", result)
    sys.exit(result)

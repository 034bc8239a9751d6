"""Stand-ins for the cases 6 to 10, on loopback addresses and the real clock.

A case runs a store, replicas and clients in one process and the daemons as
processes of their own, with the command of deploy/system.toml. Messages are
those of the pages PROTOCOL and DEPLOY. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
CONVERGE_S = 2.0


def deploy_command():
    """The words of the role's command in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split()


class Record:
    """Writes what was sent, answered and run to the file `path`, with the time."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Message:
    """A request or response: its first line, headers by lower-case name, body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body
        self.is_whole = True

    def header(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def target(self):
        return self.first.split()[1]


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a request or a response; a truncated body is marked as such."""
    first, headers = await read_head(reader)
    message = Message(first, headers, b"")
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size:
                    message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        else:
            size = int(headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False
    return message


def write_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, headers, body=b""):
    head = write_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                      list(headers) + [("Content-Length", len(body))])
    return head + body


def json_response(status, value):
    return response(status, [("Content-Type", "application/json")],
                    json.dumps(value).encode())


class Server:
    """Accepts connections on a loopback address; `serve` handles each one."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            # The peer has closed the connection, or the case ends.
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: items, watches, transactions, leases."""

    def __init__(self, host):
        super().__init__(host)
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes an item; `value` is text or bytes."""
        self.revision += 1
        data = value if isinstance(value, bytes) else value.encode()
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "rev": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append(dict(item))
        self.notify()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for number, lease in list(self.leases.items()):
                if time.monotonic() >= lease["until"]:
                    self.end_lease(number)

    def end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    async def start(self):
        await super().start()
        self.expiry = asyncio.ensure_future(self.expire_leases())

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            await asyncio.sleep(0.004)
            writer.write(await self.answer(request))
            await writer.drain()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-key":
            item = self.items.get(asked["key"])
            if item is None:
                return json_response(404, {"store-revision": self.revision})
            return json_response(200, dict(item, **{"store-revision": self.revision}))
        if path == "/kv-range":
            return self.range(asked)
        if path == "/kv-watch":
            return await self.watch(asked)
        if path == "/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/kv-lease":
            return self.grant(json.loads(request.body)["ttl-ms"])
        if path.startswith("/kv-keep/"):
            return self.keep(int(path.rsplit("/", 1)[1]))
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_response(200, {})
        return json_response(404, {})

    def range(self, asked):
        keys = sorted(key for key in self.items
                      if key.startswith(asked["path-prefix"])
                      and key > asked.get("after", ""))
        page = keys[:500]
        return json_response(200, {"items": [self.items[key] for key in page],
                                   "has-more": len(keys) > len(page),
                                   "store-revision": self.revision})

    async def watch(self, asked):
        until = time.monotonic() + int(asked["wait-ms"]) / 1000
        after = int(asked["after"])
        while True:
            found = [event for event in self.events if event["rev"] > after
                     and event["key"].startswith(asked["path-prefix"])]
            left = until - time.monotonic()
            if found or left <= 0:
                return json_response(200, {"events": found,
                                           "store-revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        failed = [row for row in body["precondition"]
                  if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]]
        if failed:
            return json_response(412, {"items": [
                self.items[row["key"]] for row in body["precondition"]
                if row["key"] in self.items]})
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return json_response(404, {})
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return json_response(200, {"rev": self.revision})

    def grant(self, ttl_ms):
        number = random.randrange(1, 1 << 40)
        self.leases[number] = {"ttl": ttl_ms, "until": time.monotonic() + ttl_ms / 1000}
        return json_response(200, {"lease": number, "ttl-ms": ttl_ms})

    def keep(self, number):
        lease = self.leases.get(number)
        if lease is None:
            return json_response(404, {})
        lease["until"] = time.monotonic() + lease["ttl"] / 1000
        return json_response(200, {"ttl-ms": lease["ttl"]})


class Replica(Server):
    """Registers itself in the store; subclasses serve its requests."""

    def __init__(self, host, store, name, service, slots, model=None, version=1):
        super().__init__(host)
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.model = model
        self.version = version
        self.sequence = 0

    def entry(self):
        value = {"backend": self.service, "address": self.address, "zone": "zone-a",
                 "version": "v1", "slots": self.slots, "state": "ready",
                 "cold-left-ms": 0, "seq": self.sequence}
        if self.model:
            value.update(stage="colocated", models=self.models())
        return value

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def start(self):
        await super().start()
        self.heartbeat = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put(f"servers/{self.name}", json.dumps(self.entry()))
            await asyncio.sleep(HEARTBEAT_S)

    def misdirected(self, request):
        """The 421 for a request that expects another replica or version."""
        expected = request.header("X-Expect-Replica")
        version = request.header("X-Expect-Version")
        if (expected and expected != self.name) or (
                version and version != str(self.version)):
            return response(421, [("X-Replica-Id", self.name)])
        return None

    def report(self):
        return json_response(200, {
            "stage": "colocated", "models": self.models() if self.model else [],
            "busy": False, "seq": 0, "queued": 0, "running": 0, "kv-used": 0,
            "kv-total": 90000, "handles": 0})


class Daemon:
    """A daemon as the platform starts it, on a loopback address of its own."""

    def __init__(self, folder, name, host, store, seeds=()):
        self.name = name
        self.host = host
        self.store = store
        self.folder = folder
        self.ports = free_ports(host, 4)
        self.seeds = list(seeds) or [f"{host}:{self.ports[2]}"]
        self.process = None

    @property
    def front(self):
        return self.host, self.ports[0]

    @property
    def control(self):
        return f"{self.host}:{self.ports[2]}"

    def settings(self):
        front, ready, control, directory = self.ports
        return f"""node-name = "{self.name}"
role = "router"
instance-class = "front"
serves = ["front","control","directory"]
ip = "{self.host}"
zone = "zone-a"
region = "region-a"
port-range = [7340,7355]
seeds = {json.dumps(self.seeds)}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
policies = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "{self.host}:{front}"
ready = "{self.host}:{ready}"
control = "{self.host}:{control}"
directory = "{self.host}:{directory}"
[limits]
cpu-share = 0.25
cpus = 1
memory-mb = 110
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-stale-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
sync-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
converge-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 56
recovery-s = 12
transit-ms = 120
retry-after-s = 10
require-fence = false
lease-ms = 3000
unfreeze-slack-ms = 300
version-ms = 6000
version-all-ms = 8400
ttl_max_s = 5
[provider]
address = "{self.store.address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

    async def start(self):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CUMINSWITCH_CONFIG"] = path
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()

    def log_lines(self, event):
        """The lines of its log with this event."""
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8") as file:
            return [line.rstrip() for line in file if f'"event":"{event}"' in line]

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.ports[1])
                writer.write(write_head("GET /ready HTTP/1.1", [("Host", self.name)]))
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer.status == 200:
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGKILL)
            except ProcessLookupError:
                pass
            await self.process.wait()


class Client:
    """One connection of a client, kept for many requests."""

    def __init__(self, front):
        self.front = front
        self.reader = None
        self.writer = None

    async def ask(self, method, target, headers, body=b"", timeout=10):
        """Sends a request and returns the response; None if there was none."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.front)
            fields = list(headers)
            if method != "GET":
                fields.append(("Content-Length", len(body)))
            self.writer.write(write_head(f"{method} {target} HTTP/1.1", fields) + body)
            answer = await asyncio.wait_for(read_message(self.reader), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return None
        if not answer.is_whole or answer.header("Connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def free_ports(host, count):
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def loopback_hosts(count):
    """Loopback addresses on which the port for metrics is free."""
    metrics_port = int(deploy_command()[-1])
    hosts = []
    while len(hosts) < count:
        host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.{random.randrange(1, 250)}"
        try:
            socket.create_server((host, metrics_port)).close()
        except OSError:
            continue
        hosts.append(host)
    return hosts


def limits():
    return {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, record_path, seconds=100):
    """Runs `case(record, scratch, processes)`; returns the exit status.

    A case that fails in another way than by a broken rule could not run."""
    record = Record(record_path)
    scratch = tempfile.mkdtemp(prefix="review-")
    processes = []

    async def body():
        running = asyncio.ensure_future(case(record, scratch, processes))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            return await asyncio.wait_for(running, seconds)
        except asyncio.TimeoutError:
            record.write("the case took too long")
            return NOT_RUN
        except asyncio.CancelledError:
            record.write("the case was told to stop")
            return NOT_RUN
        except Exception as error:  # pylint: disable=broad-except
            record.write(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            for item in processes:
                await item.stop()

    record.write("with the disruption" if has_trouble() else "without the disruption")
    status = asyncio.run(body())
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.write(f"result: {names[status]}")
    if os.environ.get("KEEP"):
        print("kept", scratch)
    else:
        shutil.rmtree(scratch, ignore_errors=True)
    return status

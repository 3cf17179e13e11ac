"""Stand-ins and helpers for the cases of this review.

A case runs nodes (the program of the deploy file) as separate processes on loopback addresses. The
platform's store, the workers and the requesters are stand-ins in this process. They speak HTTP/1.1
as the platform's pages describe it. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "crocusreel-node")

CALLER_PORT, READY_PORT, PEER_PORT, ADDRESS_PORT, METRICS_PORT = 8740, 8749, 8748, 8746, 9464
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7200, 7215

# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployment wspolne-lozka, which DEPLOY.md and the site file state.
CONTACT_S, DRAIN_S, GRACE_S, LOSS_SLACK_S, CONFIG_APPLY_S, REVOKE_S = 3.0, 2.0, 8.0, 0.2, 2.0, 5.0


class CannotRun(Exception):
    """The case could not be run, so that nothing is known of the rule."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, who, what, **details):
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self.lines.append(f"{self.now():8.3f} {who:<22} {what} {text}".rstrip())

    def write(self):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body=b"", complete=True, framed=True):
        self.first, self.headers, self.body, self.complete, self.framed = first, headers, body, complete, framed

    def get(self, name, default=""):
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_chunks(reader, on_data=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_data:
            on_data(data[:-2])


async def read_message(reader, on_data=None):
    """Reads one message; None if the channel ends before its head is complete."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(*head)
    is_answer = message.first.startswith("HTTP/")
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            message.body = await read_chunks(reader, on_data)
        elif message.get("Content-Length"):
            message.body = await reader.readexactly(int(message.get("Content-Length")))
        elif is_answer and " 204" not in message.first and " 304" not in message.first:
            message.framed = False
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, headers, body=b""):
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers + [("Content-Length", str(len(body)))], body)


class Server:
    """Accepts channels and passes each request to handle()."""

    def __init__(self):
        self.server, self.address, self.writers = None, "", set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.complete:
                    return
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends the server and its channels, as when its process dies."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's metadata store: rows, transactions and the feed of changes."""

    LATENCY_S = 0.004

    def __init__(self):
        super().__init__()
        self.rows, self.changes, self.version, self.era = {}, [], 0, 1
        self.changed = asyncio.Event()
        self.kept, self.away = None, False

    def commit(self, writes, removes=()):
        self.version += 1
        for table, key, data in writes:
            row = {"table_name": table, "part": "", "key": key, "data": base64.b64encode(data).decode(), "schema_version": self.version}
            self.rows[table, key] = row
            self.changes.append(row)
        for table, key in removes:
            if self.rows.pop((table, key), None) is not None:
                self.changes.append({"table_name": table, "part": "", "key": key, "schema_version": self.version, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def keep_copy(self):
        self.kept = dict(self.rows), list(self.changes), self.version

    def restore(self):
        """Comes back from the kept copy, in the next era. Its versions are given out again."""
        self.rows, self.changes, self.version = dict(self.kept[0]), list(self.kept[1]), self.kept[2]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        return self.commit([(table, key, json.dumps(value).encode())])

    def remove(self, table, key):
        return self.commit([], [(table, key)])

    async def handle(self, request, _reader, writer):
        method, target, _ = request.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(self.LATENCY_S)
        if self.away:
            writer.write(answer(503, [("Store-Era", str(self.era))]))
            return True
        status, body = 404, {}
        if url.path == "/rows-tx" and method == "POST":
            status, body = self.transact(json.loads(request.body))
        elif url.path == "/rows-get":
            status, body = self.list(query)
        elif url.path == "/rows-feed":
            status, body = await self.feed(query)
        body.update(schema_version=self.version, now_ms=int(time.monotonic() * 1000))
        writer.write(answer(status, [("Content-Type", "application/json"), ("Store-Era", str(self.era))], json.dumps(body).encode()))
        await writer.drain()
        return True

    def transact(self, body):
        expected = body.get("expected_revision") or []
        rows = [self.rows.get((c["table_name"], c["key"])) for c in expected]
        if any((row["schema_version"] if row else 0) != c["schema_version"] for row, c in zip(rows, expected)):
            return 412, {"rows": [row for row in rows if row]}
        writes = [(w["table_name"], w["key"], base64.b64decode(w.get("data") or "")) for w in body.get("write") or []]
        self.commit(writes, [(w["table_name"], w["key"]) for w in body.get("remove") or []])
        return 200, {}

    def list(self, query):
        table, low, high = query["table_name"], query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("max_items", 500)), 500)
        keys = sorted(k for t, k in self.rows if t == table and k >= low and (not high or k < high))
        return 200, {"rows": [self.rows[table, k] for k in keys[:limit]], "has_more": len(keys) > limit}

    async def feed(self, query):
        table, since = query["table_name"], int(query["since_revision"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            if self.away:
                return 503, {}
            if since > self.version:
                return 410, {}
            rows = [row for row in self.changes if row["table_name"] == table and row["schema_version"] > since]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker(Server):
    """A sound worker of a plain service. Subclasses change what it does with a request."""

    def __init__(self, record, name, work_s=0.02):
        super().__init__()
        self.record, self.name, self.work_s = record, name, work_s
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt ID) of each request that began to run

    def entry(self, service, zone="hala-a", phase="ready"):
        return {"service": service, "address": self.address, "zone": zone, "version": "v1", "batch_size": 24, "phase": phase,
                "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    def seal(self, attempt):
        return f"seal.{self.name}.{attempt}"

    def body(self, attempt):
        return f"answer of {self.name} to {attempt}".encode()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target == "/healthz":
            writer.write(answer(200, [("Crocusreel-Instance-Id", self.name)]))
            return True
        attempt = request.get("Crocusreel-Attempt-Id")
        expected = request.get("Crocusreel-Expect-Instance")
        if expected and expected != self.name:
            writer.write(answer(421, [("Crocusreel-Instance-Id", self.name), ("Crocusreel-Attempt-Id", attempt)]))
            return True
        self.runs.append((self.record.now(), attempt))
        self.record.add(self.name, "runs", attempt=attempt, request=f"{method} {target}", tenant=request.get("Crocusreel-Tenant"))
        return await self.run(request, attempt, reader, writer)

    async def run(self, request, attempt, reader, writer):
        await asyncio.sleep(self.work_s)
        body = self.body(attempt)
        writer.write(answer(200, [("Crocusreel-Attempt-Id", attempt), ("Crocusreel-Response-Seal", self.seal(attempt)),
                                  ("Content-Type", "text/plain"), ("Keep-Alive", "timeout=15")], body))
        await writer.drain()
        self.record.add(self.name, "answers", attempt=attempt, bytes=len(body))
        return True


class Engine(Worker):
    """A sound worker of a model service: streams of numbered events at a steady rate."""

    def __init__(self, record, name, events, interval_s):
        super().__init__(record, name)
        self.events, self.interval_s = events, interval_s

    async def handle(self, request, reader, writer):
        if request.first.split(" ")[1] == "/report":
            body = json.dumps({"phase_name": "unified", "born": self.born, "model_list": [{"name": "m", "version": 1, "loras": []}],
                               "busy": False, "sequence": 1, "waiting": 0, "running": 0, "kv_in_use": 0, "kv_size": 34360,
                               "cache_handles": 0, "runs": []}).encode()
            writer.write(answer(200, [("Content-Type", "application/json")], body))
            return True
        if request.first.split(" ")[1].startswith("/kv-"):
            writer.write(answer(404, []))
            return True
        return await super().handle(request, reader, writer)

    async def run(self, request, attempt, reader, writer):
        head = [("Crocusreel-Attempt-Id", attempt), ("Crocusreel-Response-Seal", self.seal(attempt)),
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.interval_s)
            event = f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write((encode("HTTP/1.1 200 OK", head) if number == 1 else b"") + chunk)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.add(self.name, "ends stream", attempt=attempt)
        return True


class Node:
    """One process of the deploy file's role on its own loopback address."""

    def __init__(self, record, folder, ip, zone, seeds, store):
        self.record, self.ip, self.process = record, ip, None
        self.settings = os.path.join(folder, f"{ip}.conf")
        self.log = open(os.path.join(folder, f"{ip}.log"), "ab")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(ip=ip, zone=zone, seeds=",".join(f"{s}:{PEER_PORT}" for s in seeds), store=store))

    async def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["CROCUSREEL_CONFIG"] = self.settings
        self.process = await asyncio.create_subprocess_exec(PROGRAM, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record.add(f"node {self.ip}", "starts", pid=self.process.pid)

    def signal(self, number):
        self.record.add(f"node {self.ip}", "gets " + signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()

    @property
    def address(self):
        return f"{self.ip}:{CALLER_PORT}"

    async def get(self, port, target):
        """Returns the status and body of a GET, or (0, b"") without an answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, port), 1)
            writer.write(encode(f"GET {target} HTTP/1.1", [("Host", self.ip), ("Connection", "close")]))
            got = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return (int(got.first.split(" ")[1]), got.body) if got else (0, b"")
        except (OSError, asyncio.TimeoutError):
            return 0, b""

    async def ready(self):
        return (await self.get(READY_PORT, "/readyz"))[0] == 200

    async def lookup(self, host):
        """Returns the addresses that the node names and their time to live in seconds; ([], 0) for a failure."""
        status, body = await self.get(ADDRESS_PORT, f"/lookup?name={host}&region=mazowsze&zone=hala-a")
        if status != 200:
            return [], 0.0
        got = json.loads(body)
        return got["addresses"], min(got["ttl_s"], 5.0)


SETTINGS = f"""node_name=edge-{{ip}}
role=node
machine_class=edge
serves=edge,controller,catalog
ip={{ip}}
zone={{zone}}
region=mazowsze
zones.hala-a=mazowsze
zones.hala-b=mazowsze
zones.hala-c=mazowsze
zones.hala-d=mazowsze
listen.frontend={{ip}}:{CALLER_PORT}
listen.ready={{ip}}:{READY_PORT}
listen.control_plane={{ip}}:{PEER_PORT}
listen.registry={{ip}}:{ADDRESS_PORT}
internal_ports={FIRST_INTERNAL_PORT},{LAST_INTERNAL_PORT}
seed_nodes={{seeds}}
bootstrap=true
limits.cpu_fraction=0.4
limits.cpu_cores=1
limits.memory_mb=134
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entrypoint=catalog
heartbeat_ms=1200
invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.partition_max_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=56
bounds.recover_s=12
bounds.event_delay_ms=120
bounds.reuse_window_s=4.7
bounds.ttl_max_s=5
platform.address={{store}}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.part_writes_per_s=300
platform.row_bytes=65536
platform.cross_partition=true
platform.history_s=20
"""

HOST, KEY = "ficu95.example", "xd9dnn2ctnfzs989anu6"


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts=1):
    return {"name": name, "host": HOST, "prefix": prefix, "type": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 1, "service": service, "max_attempts": attempts, "public": False, "sticky": False, "resumable": False}


def desired_state(version, keys=(KEY,), work_timeout_ms=2500):
    """A desired state: of the plain service's routes, /pule252/ must not be repeated and /puxa403/ may
    be; /lohu930/ is a streaming route to engines."""
    return {
        "version": version,
        "routes": [route("orders", "/pule252/", "non_idempotent", "rejestr-api", work_timeout_ms, 150),
                   route("quotes", "/puxa403/", "idempotent", "rejestr-api", work_timeout_ms, 150, attempts=2),
                   dict(route("drafts", "/lohu930/", "streaming", "crocus-pool", 39000, 1800), sticky=True, gap_target_ms=180)],
        "services": [{"name": "rejestr-api", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False},
                     {"name": "crocus-pool", "health_path": "/healthz", "max_connections": 252, "protocol": "h1", "tls": False,
                      "runtime": {"batch_size": 24, "kv_capacity": 34360, "kv_bytes": 18432, "link_mbps": 2700.0, "migrations": True,
                                  "backups": False, "stride": 4, "most": 12, "handle_ttl_s": 5.0, "model_list": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka270", "api_keys": list(keys), "priority": 1}],
    }


class Channel:
    """A requester's channel to a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.local = reader, writer, writer.get_extra_info("sockname")

    @classmethod
    async def open(cls, address):
        ip, port = address.split(":")
        return cls(*await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1))

    def send(self, attempt, method, path, deadline_ms, body=b"", key=KEY, headers=()):
        fields = [("Host", HOST), ("Crocusreel-Attempt-Id", attempt), ("Crocusreel-Deadline-Ms", str(deadline_ms)), *headers]
        if key:
            fields.append(("Authorization", "Bearer " + key))
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        self.writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))

    async def receive(self, timeout_s):
        """Returns the answer; None if the channel ended or the time was over before its head."""
        return await asyncio.wait_for(read_message(self.reader), timeout_s)

    def close(self):
        self.writer.close()


def status_of(message):
    return int(message.first.split(" ")[1])


class Lab:
    """A deployment: one store, workers and nodes, and the record of what happens."""

    def __init__(self, case_file):
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(self.folder)
        self.temp = tempfile.TemporaryDirectory(prefix="crocusreel-review-")
        self.network = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        self.nodes, self.servers, self.store, self.count = [], [], None, 0

    def ip(self, host):
        return f"{self.network}.{host}"

    def check_ports(self):
        for port in (CALLER_PORT, READY_PORT, PEER_PORT, ADDRESS_PORT, METRICS_PORT, FIRST_INTERNAL_PORT):
            with socket.socket() as probe:
                probe.bind((self.ip(1), port))

    async def start_store(self, state):
        self.store = await Store().start(self.ip(200))
        self.servers.append(self.store)
        self.store.put("op", "config", state)

    async def add_worker(self, worker, service="rejestr-api", host=100, port=0):
        await worker.start(self.ip(host), port)
        self.servers.append(worker)
        self.store.put("servers", worker.name, worker.entry(service))
        return worker

    async def start_nodes(self, count):
        ips = [self.ip(i + 1) for i in range(count)]
        for ip in ips:
            self.nodes.append(Node(self.record, self.temp.name, ip, "hala-a", ips[:3], self.store.address))
        await asyncio.gather(*(n.start() for n in self.nodes))
        await self.await_ready(self.nodes)

    async def await_ready(self, nodes, timeout_s=15):
        end = time.monotonic() + timeout_s
        for node in nodes:
            while not await node.ready():
                if time.monotonic() > end:
                    raise CannotRun(f"node {node.ip} is not ready")
                await asyncio.sleep(0.05)

    def attempt(self):
        self.count += 1
        return f"{os.getpid():08x}{self.count:08x}"

    async def close(self):
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            await server.stop()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {self.temp.name}/*.log {self.folder}/")
        self.temp.cleanup()


def main(case_file, case, limit_s=110):
    """Runs the case, writes the record and exits with its result."""

    async def run():
        lab = Lab(case_file)
        code = NOT_RUN
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            if not os.path.exists(PROGRAM):
                raise CannotRun(f"{PROGRAM} is not built")
            lab.check_ports()
            code = await asyncio.wait_for(case(lab), limit_s)
        except (Exception, asyncio.CancelledError) as err:  # a fault of the case says nothing of the rule
            lab.record.add("case", "could not run:", cause=repr(err))
        finally:
            await lab.close()
            result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
            lab.record.add("case", result, trouble=int(TROUBLE), exit=code)
            lab.record.write()
            print(lab.record.lines[-1])
        return code

    sys.exit(asyncio.run(run()))

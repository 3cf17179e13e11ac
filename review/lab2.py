"""Stand-ins for the scripts of review cases 6 to 10: the platform's store, workers, links that cut off single
nodes, and the nodes as real processes. Everything is on loopback addresses and the real clock."""

import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE_PROGRAM = "target/crocusreel-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
BEGAN = time.monotonic()


def now():
    return time.monotonic() - BEGAN


class Record:
    """The record of a run."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (now(), text))
            self.file.flush()


class Store:
    """The platform's metadata store: rows in tables, transactions, and the feed of changes."""

    def __init__(self, era=1):
        self.changed = threading.Condition()
        self.rows, self.log, self.version, self.era = {}, [], 1, era
        self.away = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
                if store.away:
                    self.answer(503, {})
                elif url.path == "/rows-get":
                    self.answer(200, store.read(query))
                elif url.path == "/rows-feed":
                    self.answer(*store.feed(query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
                if store.away:
                    self.answer(503, {})
                    return
                self.answer(*store.transact(body))

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stamp(self):
        return {"schema_version": self.version, "now_ms": int(time.monotonic() * 1000) + 1_000_000}

    def read(self, query):
        with self.changed:
            table, low, high = query.get("table_name", ""), query.get("from", ""), query.get("to", "")
            limit = min(int(query.get("max_items", 500)), 500)
            rows = [r for (t, k), r in sorted(self.rows.items()) if t == table and k >= low and (not high or k < high)]
            return {"rows": rows[:limit], "has_more": len(rows) > limit, **self.stamp()}

    def feed(self, query):
        table, since = query.get("table_name", ""), int(query.get("since_revision", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            era = self.era
            if since > self.version:
                return 410, {}
            while True:
                if self.era != era:
                    return 410, {}
                last = {}
                for row in self.log:
                    if row["schema_version"] > since and row["table_name"] == table:
                        last.pop(row["key"], None)
                        last[row["key"]] = row
                left = end - time.monotonic()
                if last or left <= 0:
                    return 200, {"rows": list(last.values()), **self.stamp()}
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            wanted = body.get("expected_revision") or []
            current = [self.rows.get((c["table_name"], c["key"])) for c in wanted]
            if any((r["schema_version"] if r else 0) != c["schema_version"] for c, r in zip(wanted, current)):
                return 412, {"rows": [r for r in current if r], **self.stamp()}
            self.version += 1
            for w in body.get("write") or []:
                self.put(w["table_name"], w["key"], w.get("data", ""))
            for w in body.get("remove") or []:
                self.rows.pop((w["table_name"], w["key"]), None)
                self.log.append({"table_name": w["table_name"], "part": "", "key": w["key"], "deleted": True, "schema_version": self.version})
            self.changed.notify_all()
            return 200, self.stamp()

    def put(self, table, key, data):
        row = {"table_name": table, "part": "", "key": key, "data": data, "schema_version": self.version}
        self.rows[(table, key)] = row
        self.log.append(row)

    def write(self, table, key, document):
        """Writes a row as the operator or a worker does."""
        with self.changed:
            self.version += 1
            self.put(table, key, base64.b64encode(json.dumps(document).encode()).decode())
            self.changed.notify_all()

    def copy(self):
        """Takes the copy from which the store may come back."""
        with self.changed:
            return dict(self.rows), list(self.log), self.version

    def restore(self, copy):
        """Comes back from a copy: what was acknowledged since is gone, and versions are given out again."""
        with self.changed:
            self.rows, self.log, self.version = dict(copy[0]), list(copy[1]), copy[2]
            self.era += 1
            self.away = False
            self.changed.notify_all()

    def remove(self, table, key):
        self.transact({"remove": [{"table_name": table, "key": key}]})


def owner_of(connection, nodes):
    """Returns the node whose process opened the connection, None if it is none of them."""
    for _ in range(20):
        owner = find_owner(connection, nodes)
        if owner is not None:
            return owner
        time.sleep(0.002)
    return None


def socket_name(address):
    """Returns an address as /proc/net/tcp writes it."""
    host, port = address
    return "%08X:%04X" % (struct.unpack("<I", socket.inet_aton(host))[0], port)


def find_owner(connection, nodes):
    ends, inode = [socket_name(connection.getpeername()), socket_name(connection.getsockname())], None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1:3] == ends and fields[9] != "0":
                inode = "socket:[%s]" % fields[9]
                break
    for node in nodes:
        if node.pid is None or inode is None:
            continue
        try:
            folder = "/proc/%d/fd" % node.pid
            for name in os.listdir(folder):
                try:
                    if os.readlink(os.path.join(folder, name)) == inode:
                        return node
                except OSError:
                    pass
        except OSError:
            pass
    return None


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


class Worker:
    """A worker: it reads requests from its connections and has `run` answer them.

    Connections of nodes in `cut` are reset and new ones too, as those of machines that are partitioned from
    the worker."""

    def __init__(self, name, run, site=None):
        self.name, self.run, self.site = name, run, site
        self.lock, self.cut, self.open, self.runs = threading.Lock(), set(), {}, []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def cut_off(self, node):
        with self.lock:
            self.cut.add(node)
            mine = [c for c, owner in self.open.items() if owner is node]
        for connection in mine:
            reset(connection)

    def heal(self):
        with self.lock:
            self.cut.clear()

    def stop(self):
        self.listener.close()
        with self.lock:
            all_open = list(self.open)
        for connection in all_open:
            connection.close()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            owner = owner_of(connection, self.site.nodes) if self.site else None
            with self.lock:
                refused = owner in self.cut
                if not refused:
                    self.open[connection] = owner
            if refused:
                reset(connection)
                return
            reader = connection.makefile("rb")
            while self.one(connection, reader, owner):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.open.pop(connection, None)
            connection.close()

    def one(self, connection, reader, owner):
        line = reader.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode().split(" ", 2)
        header = {}
        while True:
            field = reader.readline().decode().strip()
            if not field:
                break
            name, value = field.split(":", 1)
            header[name.strip().lower()] = value.strip()
        body = reader.read(int(header.get("content-length", 0)))
        wanted = header.get("crocusreel-expect-instance")
        if target == "/healthz":
            connection.sendall(("HTTP/1.1 200 OK\r\nCrocusreel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
            return True
        if wanted and wanted != self.name:
            connection.sendall(("HTTP/1.1 421 Misdirected Request\r\nCrocusreel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
            return True
        if target == "/report":
            data = b'{"phase_name":"unified","model_list":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_in_use":0,"kv_size":34419,"cache_handles":0,"runs":[]}'
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
            return True
        if target.startswith("/kv-"):
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        request = Request(method, target, header, body, owner)
        with self.lock:
            self.runs.append(request)
        return self.run(self, connection, request)

    def seal(self, request, number=1):
        return "seal.%s.%s.%d" % (self.name, request.id, number)

    def head(self, request, extra, number=1):
        return ("HTTP/1.1 200 OK\r\nCrocusreel-Attempt-Id: %s\r\nCrocusreel-Response-Seal: %s\r\n%s\r\n" % (request.id, self.seal(request, number), extra)).encode()


class Request:
    """A request as it has arrived at a worker."""

    def __init__(self, method, target, header, body, owner):
        self.method, self.target, self.header, self.body, self.owner = method, target, header, body, owner
        self.id = header.get("crocusreel-attempt-id", "")


class Node:
    """A process of the system."""

    def __init__(self, site, number, ip):
        self.site, self.name, self.ip, self.pid, self.process = site, "edge-%d" % number, ip, None, None
        self.settings = os.path.join(site.folder, self.name + ".conf")
        self.log_path = os.path.join(site.folder, self.name + ".log")

    def address(self, port):
        return "%s:%d" % (self.ip, self.site.ports[port])

    def get(self, target, request_id, key="key-1", deadline_ms=1500):
        """Sends a GET as a requester does."""
        return exchange(self.address("frontend"), "GET", target, request_header(request_id, deadline_ms, key), timeout=3)

    def start(self, max_fds=None):
        limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))) if max_fds else None
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CROCUSREEL_CONFIG"] = self.settings
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, NODE_PROGRAM)], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log, preexec_fn=limit)
        self.pid = self.process.pid

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def ready(self):
        try:
            return exchange(self.address("ready"), "GET", "/readyz", {}, timeout=1).status == 200
        except OSError:
            return False

    def lookup(self):
        try:
            answer = exchange(self.address("registry"), "GET", "/lookup?name=a.example&region=bayern&zone=muc-nord", {}, timeout=1)
            return json.loads(answer.body).get("addresses", []) if answer.status == 200 else []
        except (OSError, ValueError):
            return []

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Answer:
    """What a requester has received: `complete` is set if the protocol says that the answer is whole."""

    def __init__(self):
        self.status, self.header, self.body, self.complete, self.error, self.took = 0, {}, b"", False, "", 0.0


def exchange(address, method, target, header, body=b"", timeout=10, on_body=None):
    """Sends one request on a new channel and reads the answer. `on_body` is called with what has arrived of the body."""
    answer, began = Answer(), time.monotonic()
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=min(timeout, 1)) as connection:
        connection.settimeout(timeout)
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % item for item in header.items()]
        if "Host" not in header:
            lines.append("Host: a.example")
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        reader = connection.makefile("rb")
        try:
            read_answer(reader, answer, on_body)
        except (OSError, ValueError) as error:
            answer.error = "%s: %s" % (type(error).__name__, error)
    answer.took = time.monotonic() - began
    return answer


def read_answer(reader, answer, on_body):
    line = reader.readline()
    if not line:
        answer.error = "closed without an answer"
        return
    answer.status = int(line.split()[1])
    while True:
        field = reader.readline().decode("latin-1").strip()
        if not field:
            break
        name, value = field.split(":", 1)
        answer.header[name.strip().lower()] = value.strip()

    def add(piece):
        answer.body += piece
        if on_body:
            on_body(answer.body)

    if answer.header.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(reader.readline().split(b";")[0].strip() or b"-1", 16)
            if size < 0:
                answer.error = "cut between two chunks"
                return
            if size == 0:
                reader.readline()
                answer.complete = True
                return
            piece = reader.read(size)
            add(piece)
            if len(piece) < size:
                answer.error = "cut in a chunk"
                return
            reader.readline()
    elif "content-length" in answer.header:
        left = int(answer.header["content-length"])
        while left > 0:
            piece = reader.read1(min(left, 65536))
            if not piece:
                answer.error = "cut %d bytes before the end" % left
                return
            left -= len(piece)
            add(piece)
        answer.complete = True
    else:
        while True:
            piece = reader.read1(65536)
            if not piece:
                break
            add(piece)
        answer.complete = True


class Site:
    """A small deployment of `count` machines in one zone, with the settings of postwerk-muc."""

    def __init__(self, record, count, extra=""):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="crocusreel-review-")
        self.store, self.nodes, self.workers, self.version = Store(), [], [], 0
        self.keys = ["key-1"]
        self.ports = dict(zip(("frontend", "ready", "control_plane", "registry", "internal"), self.free_ports(5)))
        network = self.free_network(count)
        for i in range(count):
            self.nodes.append(Node(self, i + 1, "%s.%d" % (network, i + 1)))
        seeds = ",".join(n.address("control_plane") for n in self.nodes[:3])
        for node in self.nodes:
            self.write_settings(node, seeds, extra)

    @staticmethod
    def free_ports(count):
        first = random.randrange(21000, 28000)
        return range(first, first + count)

    def free_network(self, count):
        for _ in range(100):
            network = "127.%d.%d" % (random.randrange(2, 250), random.randrange(1, 250))
            try:
                for i in range(count):
                    for port in list(self.ports.values()) + [9464]:
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (network, i + 1), port))
                return network
            except OSError:
                continue
        raise OSError("no free addresses")

    def write_settings(self, node, seeds, extra):
        lines = {
            "node_name": node.name, "role": "node", "machine_class": "edge", "serves": "edge,controller,catalog", "ip": node.ip,
            "zone": "muc-nord", "region": "bayern", "zones.muc-nord": "bayern", "zones.muc-sued": "bayern",
            "listen.frontend": node.address("frontend"), "listen.ready": node.address("ready"),
            "listen.control_plane": node.address("control_plane"), "listen.registry": node.address("registry"),
            "internal_ports": "%d,%d" % (self.ports["internal"], self.ports["internal"]), "seed_nodes": seeds, "bootstrap": "true",
            "limits.cpu_fraction": "0.4", "limits.cpu_cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0", "limits.disk_mb": "0", "discovery": "platform", "entrypoint": "catalog", "heartbeat_ms": "1200",
            "bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.contact_ms": "3000", "bounds.ack_timeout_ms": "4000",
            "bounds.catch_up_s": "4", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000", "bounds.downgrade_slack_ms": "250", "bounds.partition_max_ms": "5000",
            "bounds.revoke_strict": "true", "bounds.revoke_ms": "5000", "bounds.retry_budget_ratio": "0.2", "bounds.retry_window_s": "10",
            "bounds.retry_slack": "54", "bounds.recover_s": "12", "bounds.event_delay_ms": "120", "bounds.reuse_window_s": "8.3",
            "bounds.ttl_max_s": "5", "platform.address": self.store.address, "platform.form": "table", "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000", "platform.tx_ms": "3.0", "platform.history_s": "20",
        }
        with open(node.settings, "w", encoding="utf-8") as settings:
            settings.write("".join("%s=%s\n" % item for item in lines.items()) + extra)

    def configure(self, routes, services, keys=None):
        """Writes the next desired state. Its acknowledgement is this call's return."""
        self.version += 3
        self.keys = keys or self.keys
        self.store.write("op", "config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "ws", "api_keys": self.keys, "priority": 1}],
        })
        self.record("desired state %d acknowledged, keys %s" % (self.version, self.keys))

    def add_worker(self, name, service, run, owners=True):
        """Starts a worker and registers it. Without `owners` it does not look up which node has connected."""
        worker = Worker(name, run, self if owners else None)
        self.workers.append(worker)
        self.store.write("servers", name, {
            "service": service, "address": worker.address, "zone": "muc-nord", "version": "v1", "batch_size": 24, "phase": "ready",
            "cold_remaining_ms": 0, "phase_name": "unified", "model_list": [{"name": "m"}], "sequence": 1, "born": int(time.time() * 1000),
        })
        return worker

    def start(self, max_fds=None):
        for node in self.nodes:
            node.start(max_fds)
        self.await_ready()

    def await_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(len(n.lookup()) == len(self.nodes) and n.ready() for n in self.nodes):
                self.record("all nodes are ready and know each other")
                return
            time.sleep(0.1)
        raise NotRun("the nodes were not ready within %d s" % seconds)

    def close(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.kill()
        for worker in self.workers:
            worker.stop()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# The settings in which a small machine of coopnor-porta-grown differs from one of postwerk-muc.
COOPNOR = """limits.cpu_fraction=0.144
limits.memory_mb=120
limits.max_fds=3075
limits.link_mbps=10
bounds.contact_ms=4000
bounds.ack_timeout_ms=6000
bounds.catch_up_s=6
bounds.drain_ms=3000
bounds.config_apply_ms=3000
bounds.partition_max_ms=6000
bounds.retry_slack=206
bounds.recover_s=15
bounds.event_delay_ms=200
platform.writes_per_s=1200
platform.reads_per_s=6000
"""


class NotRun(Exception):
    """The case could not be run."""


def request_header(request_id, deadline_ms, key="key-1", **more):
    header = {"Crocusreel-Attempt-Id": request_id, "Crocusreel-Deadline-Ms": str(deadline_ms), "Authorization": "Bearer " + key}
    header.update({name.replace("_", "-"): value for name, value in more.items()})
    return header


def route(name, kind, service, timeout_ms, **more):
    return {"name": name, "host": "a.example", "prefix": "/%s/" % name, "type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 1800,
            "priority": 1, "service": service, "max_attempts": 1, "public": False, "sticky": False, "resumable": False, **more}


PLAIN = {"name": "app", "health_path": "/healthz", "max_connections": 272, "protocol": "h1", "tls": False}
ENGINE = {**PLAIN, "name": "pool", "runtime": {
    "batch_size": 24, "kv_capacity": 34419, "kv_bytes": 18432, "link_mbps": 2700.0, "migrations": True, "backups": True, "stride": 4,
    "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "model_list": [{"name": "m"}]}}


def out_of_time(*_):
    raise NotRun("out of time")


def main(record, play):
    """Plays a case: `play` gets the path of the record, returns the broken promises, and closes what it started."""
    code = NOT_RUN
    signal.signal(signal.SIGTERM, out_of_time)
    try:
        if not os.path.exists(os.path.join(ROOT, NODE_PROGRAM)):
            raise NotRun("%s is not built" % NODE_PROGRAM)
        broken = play(record)
        code = BROKEN if broken else HELD
        print("%s: %s" % ("BROKEN" if broken else "held", "; ".join(broken) or "no rule broken"))
    except NotRun as cause:
        print("not run:", cause)
    sys.stdout.flush()
    os._exit(code)

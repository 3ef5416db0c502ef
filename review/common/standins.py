"""Small stand-ins for the platform's store, its servers and its clients, and a launcher
of `briarbank gateway`. Standard library only; all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "briarbank")
KEY = "key-of-alpha"
TENANT = "alpha"
HOST = "desk.example"

# A standard library may pick a port in use by a short-lived connection; 127.0.0.x addresses
# of their own keep the nodes of one test apart.
_next_ip = [10 + os.getpid() % 200]


def now_ms():
    return int(time.time() * 1000)


def fresh_ip():
    _next_ip[0] += 1
    return "127.%d.%d.%d" % (40 + os.getpid() % 150, _next_ip[0] % 250, 2 + _next_ip[0] % 240)


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, in order, with seconds since the start."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


# ---- HTTP ----------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (lower case names), None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


# ---- store ---------------------------------------------------------------------------


class Store:
    """The platform's store: items with revisions, range reads and watches."""

    def __init__(self):
        self.ip = fresh_ip()
        self.items = {}
        self.events = []
        self.revision = 100
        self.era = 0
        self.changed = asyncio.Event()
        self.page_items = 500

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdAt": self.items.get(key, {}).get("createdAt", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self._event(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                status, answer = await self.answer(head[0].split(" ")[1])
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, self.era, len(body))
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[: self.page_items]]
            return 200, {"items": page, "hasMore": len(keys) > len(page), "at": self.revision}
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {}) if item is None else (200, dict(item, at=self.revision))
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- servers -------------------------------------------------------------------------


class Server:
    """A server of a service. `handle(self, request, writer)` may replace the answer."""

    def __init__(self, record, service, zone="recife-hall", slots=8, version="v1", handle=None):
        self.record, self.service, self.zone = record, service, zone
        self.slots, self.version, self.handle = slots, version, handle
        self.ip = fresh_ip()
        self.id = "i-%08x" % (int.from_bytes(os.urandom(4), "big"))
        self.born = now_ms()
        self.sequence = 1
        self.state = "ready"
        self.runs = []
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 22, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }

    def publish(self, store):
        self.sequence += 1
        store.put("servers/" + self.id, self.entry())

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, path = line.split(" ")[:2]
                request = {"method": method, "path": path, "headers": headers, "body": body,
                           "id": headers.get("x-request-id"), "at": time.monotonic()}
                expected = headers.get("x-expect-instance")
                if expected is not None and expected != self.id:
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                                  "Content-Length: 0\r\n\r\n" % self.id).encode())
                    await writer.drain()
                    continue
                if self.handle is not None:
                    if await self.handle(self, request, writer) is False:
                        return
                    continue
                self.run(request)
                writer.write(self.answer_bytes(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, request):
        self.runs.append(request)
        self.record("server %s (%s) runs %s %s id=%s tenant=%s body=%r" % (
            self.id, self.service, request["method"], request["path"], request["id"],
            request["headers"].get("x-tenant"), request["body"][:60]))

    def answer_bytes(self, request, status=200, body=None, seal=True, extra=""):
        body = b"done " + (request["id"] or "").encode() if body is None else body
        head = "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n" % (status, request["id"])
        if seal:
            head += "X-Server-Seal: s.%s.%s\r\n" % (self.id, request["id"])
        head += "Keep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n" % (extra, len(body))
        return head.encode() + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ---- configuration and nodes ---------------------------------------------------------


def route(name, prefix, kind, service, **more):
    out = {"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 3000,
           "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 1,
           "public": False, "sticky": False}
    out.update(more)
    return out


def config(version, routes, services, keys=(KEY,)):
    return {
        "version": version, "routes": routes,
        "services": [s if isinstance(s, dict) else
                     {"name": s, "healthCheck": "/health", "maxConnections": 110,
                      "protocol": "h1", "tls": False} for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}],
    }


class Node:
    """A process of `briarbank gateway`, started as the deploy file says."""

    def __init__(self, folder, store, ports, zone="recife-hall", ip=None, grace_s=8, drain_ms=2000):
        self.folder, self.store, self.ports, self.zone = folder, store, ports, zone
        self.ip = ip or fresh_ip()
        self.grace_s, self.drain_ms = grace_s, drain_ms
        self.memory_mb = 260
        self.process = None
        self.store_address = None

    def settings(self, seeds, bootstrap):
        front, ready, control, internal = self.ports
        zones = ["recife-hall", "salvador-hall", "fortaleza-hall"]
        address = self.store_address or "%s:%d" % (self.store.ip, self.store.port)
        return "\n".join([
            'node = "edge-%s"' % self.ip, 'role = "router"', 'machineClass = "edge"',
            'serves = ["edge","control_plane"]', 'ip = "%s"' % self.ip, 'zone = "%s"' % self.zone,
            'region = "nordeste"', "internalPorts = [%d,%d]" % (internal, internal + 15),
            "seeds = %s" % json.dumps(["%s:%d" % (s, control) for s in seeds]),
            "bootstrap = %s" % ("true" if bootstrap else "false"), "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]',
            "[zones]"] + ['%s = "nordeste"' % z for z in zones] + [
            "[listen]", 'front = "%s:%d"' % (self.ip, front),
            'readiness = "%s:%d"' % (self.ip, ready), 'control = "%s:%d"' % (self.ip, control),
            "[limits]", "cpuShare = 0.25", "cores = 1", "memoryMb = %d" % self.memory_mb, "maxFds = 4100",
            "linkMbps = 1000.0", "diskMb = 0",
            "[faultTolerance]", "machines = 1", "zones = 0", "regions = 0",
            "[bounds]", "seedLagS = 3", "reuseAfterS = 2", "contactMs = 3000", "ackMs = 4000",
            "catchUpS = 4", "drainMs = %d" % self.drain_ms, "graceS = %d" % self.grace_s, "lossSlackMs = 200",
            "configApplyMs = 2000", "rollbackSlackMs = 250", "maxStretchMs = 5000",
            "strictRevoke = false", "revokeMs = 5000", "retryBudgetRatio = 0.2",
            "budgetWindowS = 10", "budgetExtra = 56", "recoveryS = 12", "passMs = 120",
            "reuseWindowS = 8.7",
            "[platform]", 'address = "%s"' % address, 'form = "read"',
            "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "maxValueBytes = 1048576",
            "minTtlMs = 1000", ""])

    def start(self, seeds=None, bootstrap=True):
        self.path = os.path.join(self.folder, "node-%s.toml" % self.ip)
        self.seeds = seeds or [self.ip]
        with open(self.path, "w") as file:
            file.write(self.settings(self.seeds, bootstrap))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BRIARBANK_NODE_FILE"] = self.path
        self.log_path = os.path.join(self.folder, "node-%s.log" % self.ip)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway", "--operator-port", str(self.ports[3] + 40)], env=env, cwd=ROOT,
                stdout=log, stderr=log)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except OSError:
                pass
            self.process.wait()

    def front(self):
        return self.ip, self.ports[0]

    async def is_ready(self):
        try:
            answer = await call_raw((self.ip, self.ports[1]), b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0)
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def common_ports(ip):
    """Four ports that are free at an address: clients, readiness, control, nodes."""
    ports = [free_port(ip) for _ in range(3)]
    return (*ports, 20000 + free_port(ip) % 9000)


# ---- clients -------------------------------------------------------------------------


def request_bytes(method, path, id, body=b"", key=KEY, more="", deadline=2000):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
        method, path, HOST, id, deadline)
    if key:
        head += "Authorization: Bearer %s\r\n" % key
    head += more
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


async def call_raw(address, data, timeout=4.0):
    """Sends bytes and returns all that comes until the end or the timeout."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 2.0)
    received = b""
    try:
        writer.write(data)
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            piece = await asyncio.wait_for(reader.read(65536), until - time.monotonic())
            if not piece:
                break
            received += piece
    except (asyncio.TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return received


class Client:
    """A kept channel to a node."""

    def __init__(self, address):
        self.address = address

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=1 << 22), 2.0)
        return self

    async def call(self, data, timeout=5.0):
        """Returns status, headers and body; status None when the channel ends."""
        self.writer.write(data)
        try:
            return await asyncio.wait_for(self.answer(), timeout)
        except asyncio.TimeoutError:
            return "timeout", {}, b""
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return None, {}, b""

    async def answer(self):
        head = await read_head(self.reader)
        if head is None:
            return None, {}, b""
        body = await read_body(self.reader, head[1])
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        self.writer.close()


def run_case(main, folder, lines):
    """Runs a case, prints the end of its record, and exits with 2 if it can't run."""
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(main(temporary))
        except Exception as error:  # noqa: BLE001
            print("the case could not run: %r" % error)
            code = 2
    path = os.path.join(folder, "record.txt")
    if os.path.exists(path):
        with open(path) as file:
            print("\n".join(file.read().splitlines()[-lines:]))
    sys.exit(code)

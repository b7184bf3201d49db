"""Stand-ins for the review's scripts: the platform's store, replicas, clients, and ferry-relay processes.

They speak what PROTOCOL.md, DEPLOY.md and the news pages say, on loopback addresses and the real clock.
Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RELAY = os.path.join(ROOT, "target", "release", "ferry-relay")
ID = "Chestnutferry-Attempt-Id"

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Output:
    """Standard output or error; that nobody reads it changes no exit code."""

    def __init__(self, stream):
        self.stream = stream

    def write(self, text):
        try:
            return os.write(self.stream.fileno(), text.encode())
        except OSError:
            return len(text)

    def flush(self):
        pass


sys.stdout, sys.stderr = Output(sys.stdout), Output(sys.stderr)


class CannotRun(Exception):
    """The case could not be run: exit code 2."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_close else b""


def encode_head(first, headers):
    return (first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode("latin-1")


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def encode_answer(status, headers, body):
    head = list(headers) + [("Content-Length", str(len(body)))]
    return encode_head(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}", head) + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ---------------------------------------------------------------- the platform's store


class Log:
    """One partition: offsets from 0 without gaps."""

    def __init__(self, first=0, records=()):
        self.first = first
        self.records = list(records)

    @property
    def end(self):
        return self.first + len(self.records)

    def copy(self):
        return Log(self.first, self.records)


def keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Store:
    """The platform's metadata store (`form` = log)."""

    def __init__(self, record):
        self.record = record
        self.logs = {}
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = None
        self.address = None
        self.refuse = lambda peer, path: False  # a condition under which a caller is turned away with 503

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    def put(self, topic, key, value):
        """A write of the operator or a replica; the return is the store's acknowledgement. Fails while the store is away."""
        if self.away:
            return None
        log = self.log(topic)
        log.records.append(keyed(key, value))
        self.wake()
        return log.end - 1

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self):
        return {name: log.copy() for name, log in self.logs.items()}

    def leave(self):
        """The store is away: connections are reset, new ones too."""
        self.away = True
        for writer in list(self.connections):
            reset(writer)

    def come_back(self, snapshot=None):
        """The store is back; with `snapshot`, from an older copy, so that Store-Era rises."""
        if snapshot is not None:
            self.logs = {name: log.copy() for name, log in snapshot.items()}
            self.era += 1
        self.away = False
        self.wake()

    async def serve(self, reader, writer):
        if self.away:
            reset(writer)
            return
        self.connections.add(writer)
        peer = writer.get_extra_info("peername")
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                await asyncio.sleep(0.004)
                if self.away:
                    return
                if self.refuse(peer, target):
                    answer = encode_answer(503, [("Store-Era", str(self.era))], b"{}")
                else:
                    status, content = await self.call(method, target, body)
                    if self.away:
                        return
                    kind = "application/json" if content[:1] in (b"{", b"[") else "application/octet-stream"
                    answer = encode_answer(status, [("Store-Era", str(self.era)), ("Content-Type", kind)], content)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        topic, part = query.get("topic", ""), int(query.get("part", 0))
        path = (method, url.path)
        if path == ("POST", "/api/log-append"):
            return self.append(topic, part, query, body)
        if path == ("GET", "/api/log-read"):
            return await self.read(topic, part, query)
        if path == ("GET", "/api/log-newest"):
            return self.newest(topic, part, query)
        if path == ("POST", "/api/log-trim"):
            log = self.log(topic, part)
            gone = min(max(int(query["before"]) - log.first, 0), len(log.records))
            del log.records[:gone]
            log.first += gone
            return 200, b"{}"
        return 404, b"{}"

    def append(self, topic, part, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        log = self.log(topic, part)
        if "at" in query and int(query["at"]) != log.end:
            return 412, json.dumps({"endOffset": log.end}).encode()
        offset = log.end
        while body:
            length = struct.unpack(">I", body[:4])[0]
            log.records.append(body[4:4 + length])
            body = body[4 + length:]
        self.wake()
        return 200, json.dumps({"offset": offset, "endOffset": log.end}).encode()

    async def read(self, topic, part, query):
        start, most = int(query["from"]), int(query.get("maxKb", 1024)) * 1024
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            log = self.log(topic, part)
            if start < log.first or start > log.end:
                return 410, json.dumps({"firstOffset": log.first}).encode()
            left = until - time.monotonic()
            if start < log.end or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        content = b""
        for raw in log.records[start - log.first:]:
            if content and len(content) + len(raw) + 4 > most:
                break
            content += struct.pack(">I", len(raw)) + raw
        return 200, struct.pack(">QQ", log.end, log.first) + content

    def newest(self, topic, part, query):
        log = self.log(topic, part)
        newest = {}
        for index, raw in enumerate(log.records):
            key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
            newest[key] = (value, log.first + index)
        keys = sorted(k for k, (v, _) in newest.items() if v and k > query.get("after", ""))
        page = [{"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
                for k in keys[:500]]
        return 200, json.dumps({"entries": page, "hasMore": len(keys) > 500, "endOffset": log.end}).encode()


class Operator:
    """Writes configurations; the newest one is written again after the store has come back from an older copy."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.newest = {}

    def write(self, key, content):
        value = json.dumps(content).encode()
        offset = self.store.put("keyed.op", key, value)
        if offset is None:
            return None
        self.newest[key] = value
        version = content.get("version", content.get("target"))
        self.record.line(f"operator: op/{key} {version} acknowledged at offset {offset}")
        return self.record.now()

    def write_again(self):
        for key, value in self.newest.items():
            offset = self.store.put("keyed.op", key, value)
            self.record.line(f"operator: op/{key} {json.loads(value).get('version')} written again at offset {offset}")


def route(name, prefix, service, kind="idempotent", timeout_ms=2500, **more):
    content = {"name": name, "host": "ficu95.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout_ms,
               "targetLatencyMs": 300, "priority": 1, "service": service, "attempts": 2, "public": False, "sticky": False,
               "resumable": False}
    content.update(more)
    return content


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": keys, "priority": 1} for name, keys in tenants.items()]}


# ---------------------------------------------------------------- replicas


class Replica:
    """A replica: registers itself, runs requests after `work_s`, and records each run.

    `answer`, if set, is called with (replica, request) and returns (status, headers, body) without a run, or None to run it.
    """

    def __init__(self, store, record, ident, service, zone="zone-a", version="v1", slots=8, work_s=0.02, beat_s=1.2):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.version, self.slots = ident, service, zone, version, slots
        self.work_s, self.beat_s = work_s, beat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cut = False  # cut off from the store
        self.leaving = False
        self.answer = None
        self.confidence = None  # if set: called with the model of a run; the confidence in its answer
        self.runs = []  # (time, attempt id, caller's address)
        self.arrivals = []  # the same for all requests that reached it and expected it
        self.running = 0
        self.heard_at = None
        self.task = None
        self.connections = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()
        self.task = asyncio.ensure_future(self.beat())

    def write_entry(self):
        if self.cut:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                 "sequence": self.sequence, "born": self.born}
        offset = self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
        if offset is not None:
            self.heard_at = time.monotonic()
        return offset

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.beat_s)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                answer = await self.handle(peer, first, headers, body)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, peer, first, headers, body):
        ident = headers.get(ID.lower(), "")
        base = [(ID, ident), ("Chestnutferry-Replica-Id", self.id), ("Keep-Alive", "timeout=30"),
                ("Chestnutferry-Replica-Load", f"{self.running},0,{self.slots}")]
        if self.leaving:
            base.append(("Server-Leaving", "1"))
        if first.startswith("GET /healthz"):
            return encode_answer(200, base, b"")
        expected = headers.get("chestnutferry-expect-replica")
        if expected is not None and expected != self.id:
            return encode_answer(421, base + [("Chestnutferry-Not-Executed", "1")], b"")
        self.arrivals.append((self.record.now(), ident, peer))
        own = self.answer(self, headers) if self.answer else None
        if own is not None:
            status, more, content = own
            self.record.line(f"replica {self.id}: {ident} from {peer} answered {status} {dict(more)}, not run")
            return encode_answer(status, base + more, content)
        self.running += 1
        self.runs.append((self.record.now(), ident, peer))
        self.record.line(f"replica {self.id}: runs {ident} from {peer} tenant {headers.get('chestnutferry-tenant')}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        base.append(("Chestnutferry-Replica-Signature", f"sig.{self.id}.{ident}"))
        if self.confidence is not None:
            model = headers.get("chestnutferry-model", "")
            base.append(("Chestnutferry-Confidence", str(self.confidence(model))))
            self.record.line(f"replica {self.id}: {ident} ran on {model}, confidence {self.confidence(model)}")
        if "/stream/" in first:
            base.append(("Content-Type", "text/event-stream"))
            return encode_answer(200, base, f"id: 1\ndata: {self.id} {ident}\n\n".encode())
        return encode_answer(200, base, f"{self.id} {ident}".encode())

    def stop(self):
        if self.task:
            self.task.cancel()
        self.server.close()


class StreamReplica(Replica):
    """A replica whose answers are streams of `events` events, one each `gap_s`; `framed` says whether they come in chunks or end
    with their connection."""

    events, gap_s, framed = 10, 0.2, True

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if first.startswith("GET /healthz") or headers.get("chestnutferry-expect-replica", self.id) != self.id:
                    writer.write(await self.handle(peer, first, headers, body))
                    await writer.drain()
                    continue
                await self.stream(peer, headers, writer)
                if not self.framed:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def event(self, number, ident):
        return f"id: {number}\ndata: {self.id} {ident} {number}\n\n".encode()

    async def stream(self, peer, headers, writer):
        ident = headers.get(ID.lower(), "")
        after = int(headers.get("last-event-id", 0))
        self.runs.append((self.record.now(), ident, peer))
        self.arrivals.append((self.record.now(), ident, peer))
        self.record.line(f"replica {self.id}: runs {ident} from {peer} after event {after}")
        head = [(ID, ident), ("Chestnutferry-Replica-Id", self.id), ("Chestnutferry-Replica-Signature", f"sig.{self.id}.{ident}"),
                ("Chestnutferry-Replica-Load", f"{self.running},0,{self.slots}"), ("Content-Type", "text/event-stream")]
        head.append(("Transfer-Encoding", "chunked") if self.framed else ("Connection", "close"))
        self.running += 1
        try:
            writer.write(encode_head("HTTP/1.1 200 OK", head))
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = self.event(number, ident)
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if self.framed else event)
                await writer.drain()
            if self.framed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.record.line(f"replica {self.id}: {ident} complete")
        finally:
            self.running -= 1


async def expire_entries(store, replicas, record, beats=3):
    """Removes the entries of replicas that were silent for three heartbeat intervals."""
    while True:
        await asyncio.sleep(0.05)
        for replica in replicas:
            if replica.heard_at is not None and time.monotonic() - replica.heard_at > beats * replica.beat_s and not store.away:
                replica.heard_at = None
                store.put("keyed.servers", replica.id, b"")
                record.line(f"store: the entry of {replica.id} lapsed after {beats} heartbeat intervals of silence")


# ---------------------------------------------------------------- ferry-relay


SETTINGS = """nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
portRange = [{peer},{peer_end}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
{zones}
[listen]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
controlPlane = "{ip}:{control}"
[limits]
cpuQuota = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
nodes = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retryBurst = 54
exposureShare = 0.15
exposureTolerance = 30
rollbackMs = 5000
recoveryS = 12
eventDelayMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Relay:
    """One ferry-relay process, started as deploy/system.toml says, on a loopback address of its own."""

    def __init__(self, folder, name, ip, zone, zones, store):
        self.folder, self.name, self.ip, self.zone = folder, name, ip, zone
        front, ready, control, peer, metrics = free_ports(ip, 5)
        self.front, self.ready, self.metrics = (ip, front), (ip, ready), metrics
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, ip=ip, zone=zone, peer=peer, peer_end=peer, front=front, ready=ready,
                                       control=control, store=f"{store[0]}:{store[1]}",
                                       zones="\n".join(f'{z} = "region-1"' for z in zones)))
        self.process = None

    async def start(self):
        if not os.access(RELAY, os.X_OK):
            raise CannotRun("target/release/ferry-relay is not built")
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CHESTNUTFERRY_SETTINGS"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            RELAY, "--metrics-port", str(self.metrics), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(encode_head("GET /api/readyz HTTP/1.1", [("Host", "ready"), ("Connection", "close")]))
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first + " "
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def resident_mb(relay):
    """Resident memory of a relay's process."""
    try:
        with open(f"/proc/{relay.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


# ---------------------------------------------------------------- clients


class Result:
    """What a client got: `status` is None if the connection ended without an answer."""

    def __init__(self, ident, status=None, headers=None, body=None, complete=False):
        self.ident, self.status, self.headers, self.body, self.complete = ident, status, headers or {}, body, complete


def new_id():
    return f"{random.getrandbits(64):016x}"


async def request(record, relay, path, key=None, method="GET", body=b"", deadline_ms=2500, ident=None, headers=(), name=None):
    """One client attempt on a connection of its own."""
    ident = ident or new_id()
    head = [("Host", "ficu95.example"), (ID, ident), ("Chestnutferry-Deadline-Ms", str(deadline_ms)), ("Connection", "close")]
    if key:
        head.append(("Authorization", f"Bearer {key}"))
    head += list(headers)
    if body:
        head.append(("Content-Length", str(len(body))))
    result = Result(ident)
    record.line(f"client: {ident} {method} {path} {name or ''} -> {relay.name}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.front, limit=1 << 22), 1)
        writer.write(encode_head(f"{method} {path} HTTP/1.1", head) + body)

        async def answer():
            first, got = await read_head(reader)
            result.status, result.headers = int(first.split(" ")[1]), got
            result.body = b""
            if "content-length" in got or "chunked" in got.get("transfer-encoding", "").lower():
                result.body = await read_body(reader, got)
            else:
                # The body ends with the connection; a reset raises an error.
                while chunk := await reader.read(65536):
                    result.body += chunk
            result.complete = True

        await asyncio.wait_for(answer(), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record.line(f"client: {ident} no whole answer: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
    record.line(f"client: {ident} answered {result.status}")
    return result


# ---------------------------------------------------------------- a case


class Case:
    """Runs `play(case)` within 120 seconds, ends all processes, and exits as the issue says: `play` returns whether the rule was broken."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.relays, self.replicas, self.tasks = [], [], []

    async def deploy(self, relays, zones=("zone-a",)):
        """A store, and `relays` relays spread over `zones`, not started yet."""
        block = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        self.block = block
        self.store = Store(self.record)
        await self.store.start(f"{block}.1")
        self.operator = Operator(self.store, self.record)
        for number in range(relays):
            relay = Relay(self.folder, f"edge-{number + 1}", f"{block}.{number + 10}", zones[number % len(zones)], zones,
                          self.store.address)
            self.relays.append(relay)

    async def replica(self, *words, **more):
        replica = Replica(self.store, self.record, *words, **more)
        await replica.start(f"{self.block}.{100 + len(self.replicas)}")
        self.replicas.append(replica)
        return replica

    async def start_relays(self):
        for relay in self.relays:
            await relay.start()
        for relay in self.relays:
            await relay.wait_ready()
        self.record.line("all relays are ready")

    def task(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            await relay.end()
        for replica in self.replicas:
            replica.stop()
        if os.environ.get("REVIEW_KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, limit=105):
    async def run():
        case = Case(folder)
        try:
            return await asyncio.wait_for(play(case), limit)
        finally:
            await case.close()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    except Exception:  # a fault of the script is no broken rule
        traceback.print_exc()
        print("the case could not run")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)

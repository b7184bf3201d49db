"""Stand-ins of the review's second part: the platform's store, the operator, clients, and a small deployment of relays.

Python of the standard library only. Everything listens on loopback addresses, in a range that each run draws for itself.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
ZONE = "hall-a"
HEARTBEAT_MS = 1200
SYSTEM_TOPICS = ("keyed.op", "keyed.servers")


class CannotRun(Exception):
    """The case could not be run; says nothing of the rule."""


class Record:
    """What was sent, answered and run; one line each, also written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        line = "%8.3f s  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Start line and headers (names in lower case, a list of pairs); None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name):
    return next((value for known, value in headers if known == name), None)


async def read_body(reader, headers):
    """A request's body, with a length or in chunks."""
    length = header(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if (header(headers, "transfer-encoding") or "").lower() != "chunked":
        return b""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


# ---------------------------------------------------------------- store


class Topic:
    def __init__(self):
        self.records = []
        self.changed = asyncio.Event()

    def append(self, contents):
        first = len(self.records)
        self.records.extend(contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def newest(self):
        entries = {}
        for offset, content in enumerate(self.records):
            length = content[0]
            key = content[1 : 1 + length].decode()
            value = content[1 + length :]
            entries.pop(key, None)
            if value:
                entries[key] = (value, offset)
        return entries


class Store:
    """The platform's log service, as PROTOCOL.md and the news pages describe it.

    Records of replicas and of the operator come in by `put`; the replicas' processes call log-append with the header
    `Standin-Writer`, the operator is part of this process. Entries of replicas that are silent for three heartbeats are removed.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.server = None
        self.connections = set()
        self.beats = {}
        self.calls = 0

    def topic(self, name, part=0):
        return self.topics.setdefault((name, part), Topic())

    def put(self, name, key, value):
        content = bytes([len(key)]) + key.encode() + value
        return self.topic(name).append([content])

    def newest(self, name, key):
        entry = self.topic(name).newest().get(key)
        return entry and entry[0]

    async def open(self, address):
        self.address = address
        self.server = await asyncio.start_server(self.serve, *address)

    async def close(self):
        """The store is away: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    def copy(self):
        return {key: list(topic.records) for key, topic in self.topics.items()}

    def restore(self, copy):
        """Comes back from an older copy, in a new era."""
        self.era += 1
        for key, topic in self.topics.items():
            topic.records = list(copy.get(key, []))

    async def expire(self):
        """Removes entries of replicas that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            if not self.server.is_serving():
                continue
            for key in list(self.topic("keyed.servers").newest()):
                silent = time.monotonic() - self.beats.setdefault(key, time.monotonic())
                if silent > 3 * HEARTBEAT_MS / 1000:
                    self.put("keyed.servers", key, b"")
                    self.beats.pop(key)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                start, headers = head
                body = await read_body(reader, headers)
                self.calls += 1
                status, kind, answer = await self.answer(start, headers, body)
                writer.write(
                    (
                        "HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                        % (status, self.era, kind, len(answer))
                    ).encode()
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, start, headers, body):
        method, target, _ = start.split(" ", 2)
        path, _, text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        if not self.server.is_serving():
            return 503, "application/json", b"{}"
        name = query.get("topic")
        topic = self.topic(name, int(query.get("part", 0)))

        def reply(status, value):
            return status, "application/json", json.dumps(value).encode()

        if path == "/api/log-append" and method == "POST":
            await asyncio.sleep(0.002)
            is_replica = header(headers, "standin-writer") == "replica"
            if name in SYSTEM_TOPICS and not (is_replica and name == "keyed.servers"):
                return reply(403, {})
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return reply(412, {"endOffset": end})
            contents = []
            while body:
                (length,) = struct.unpack(">I", body[:4])
                contents.append(body[4 : 4 + length])
                body = body[4 + length :]
            if name == "keyed.servers":
                for content in contents:
                    self.beats[content[1 : 1 + content[0]].decode()] = time.monotonic()
            first = topic.append(contents)
            return reply(200, {"offset": first, "endOffset": len(topic.records)})
        if path == "/api/log-read" and method == "GET":
            offset = int(query["from"])
            if offset > len(topic.records):
                return reply(410, {"firstOffset": 0})
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while offset >= len(topic.records) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            if offset > len(topic.records):
                return reply(410, {"firstOffset": 0})
            most = int(query.get("maxKb", 1024)) * 1024
            answer, size = b"", 0
            for content in topic.records[offset:]:
                if size and size + len(content) > most:
                    break
                answer += struct.pack(">I", len(content)) + content
                size += len(content)
            answer = struct.pack(">QQ", len(topic.records), 0) + answer
            return 200, "application/octet-stream", answer
        if path == "/api/log-newest" and method == "GET":
            after = query.get("after", "")
            entries = sorted(topic.newest().items())
            entries = [entry for entry in entries if entry[0] > after]
            page = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in entries[:500]
            ]
            return reply(
                200,
                {"entries": page, "hasMore": len(entries) > 500, "endOffset": len(topic.records)},
            )
        return reply(404, {})


# ---------------------------------------------------------------- clients


class Answer:
    """What a client saw of one attempt."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        # whole: by its length or last chunk; closed: ended with its connection, in order; reset; cut: ended early; none
        self.end = "none"

    @property
    def signature(self):
        return header(self.headers, "chestnutferry-replica-signature")


class Connection:
    """A client's connection, which may carry many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address), 1.0
        )

    def close(self):
        if self.writer:
            self.writer.close()

    async def send(self, method, target, headers, body=b"", on_data=None):
        lines = ["%s %s HTTP/1.1" % (method, target)]
        lines += ["%s: %s" % pair for pair in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = Answer()
        try:
            head = await read_head(self.reader)
            if head is None:
                answer.end = "closed"
                return answer
            start, answer.headers = head
            answer.status = int(start.split(" ")[1])
            await self.read_answer(answer, on_data)
        except ConnectionError:
            answer.end = "reset"
        return answer

    async def read_answer(self, answer, on_data):
        def add(data):
            answer.body += data
            if on_data:
                on_data(answer)

        length = header(answer.headers, "content-length")
        chunked = (header(answer.headers, "transfer-encoding") or "").lower() == "chunked"
        try:
            if length is not None:
                add(await self.reader.readexactly(int(length)))
                answer.end = "whole"
            elif chunked:
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                    add(await self.reader.readexactly(size))
                    await self.reader.readexactly(2)
                    if size == 0:
                        answer.end = "whole"
                        return
            else:
                while True:
                    data = await self.reader.read(65536)
                    if not data:
                        answer.end = "closed"
                        return
                    add(data)
        except asyncio.IncompleteReadError as error:
            add(error.partial)
            answer.end = "cut"


def request_headers(attempt, deadline_ms, key=None, **more):
    headers = [
        ("Host", "legal.example"),
        ("Chestnutferry-Attempt-Id", attempt),
        ("Chestnutferry-Deadline-Ms", str(deadline_ms)),
    ]
    if key:
        headers.append(("Authorization", "Bearer " + key))
    return headers + [(name.replace("_", "-"), value) for name, value in more.items()]


def new_attempt():
    return "%016x" % random.getrandbits(64)


# ---------------------------------------------------------------- deployment


class Lab:
    """A small deployment: store, operator, replicas and relays."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = "127.%d.%d." % (random.randint(64, 250), random.randint(1, 250))
        self.store = Store(self.record)
        self.processes = []
        self.runs_path = self.temporary / "runs"
        self.runs_path.touch()
        self.version = 0
        self.started = set()
        program = os.environ.get("FERRY_RELAY", str(ROOT / "target/release/ferry-relay"))
        self.program = pathlib.Path(program)
        if not self.program.exists():
            raise CannotRun("build first: %s is missing" % program)

    async def start_store(self):
        await self.store.open((self.net + "5", 8223))
        asyncio.ensure_future(self.store.expire())

    def configure(self, routes, services, tenants=None):
        """The operator writes a configuration; the store's answer is its acknowledgement."""
        self.version += random.randint(1, 3)
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        if tenants is not None:
            config["tenants"] = tenants
        value = json.dumps(config).encode()
        self.store.put("keyed.op", "config", value)
        self.record.line("operator: configuration %d acknowledged" % self.version)
        return value

    def start_replica(self, number, service, **options):
        address = "%s%d:8100" % (self.net, 100 + number)
        name = "i-%08x" % random.getrandbits(32)
        options = {
            "listen": address,
            "id": name,
            "service": service,
            "store": "%s5:8223" % self.net,
            "zone": ZONE,
            "heartbeat_ms": HEARTBEAT_MS,
            "runs": str(self.runs_path),
            **options,
        }
        command = [sys.executable, str(HERE / "replica.py"), json.dumps(options)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self.processes.append(process)
        self.record.line("replica %s of %s starts at %s" % (name, service, address))
        process.replica = name
        process.address = address
        return process

    def settings(self, number, is_first):
        ip = "%s%d" % (self.net, 10 + number)
        text = """
nodeName = "edge-hall-a-{n}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "hall-a"
region = "north"
portRange = [7340,7355]
seeds = []
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
hall-a = "north"
[listen]
frontend = "{ip}:8227"
ready = "{ip}:8220"
controlPlane = "{ip}:8229"
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
address = "{net}5:8223"
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
""".format(n=number, ip=ip, net=self.net, bootstrap=str(is_first).lower())
        path = self.temporary / ("relay-%d.toml" % number)
        path.write_text(text)
        return path

    def start_relay(self, number):
        """Starts a relay with the command of deploy/system.toml."""
        is_first = number not in self.started
        self.started.add(number)
        path = self.settings(number, is_first)
        log = open(self.temporary / ("relay-%d.log" % number), "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "CHESTNUTFERRY_SETTINGS": str(path),
        }
        command = [str(self.program), "--metrics-port", "9464"]
        process = subprocess.Popen(command, stdout=log, stderr=log, env=environment, cwd=ROOT)
        self.processes.append(process)
        self.record.line("relay %d starts" % number)
        return process

    def relay_address(self, number):
        return ("%s%d" % (self.net, 10 + number), 8227)

    async def is_ready(self, number):
        connection = Connection(("%s%d" % (self.net, 10 + number), 8220))
        try:
            await connection.open()
            answer = await asyncio.wait_for(
                connection.send("GET", "/api/readyz", [("Host", "ready")]), 1.0
            )
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            connection.close()

    async def await_ready(self, numbers, limit=10.0):
        end = time.monotonic() + limit
        for number in numbers:
            while not await self.is_ready(number):
                if time.monotonic() > end:
                    raise CannotRun("relay %d is not ready" % number)
                await asyncio.sleep(0.05)

    async def await_entries(self, count, limit=10.0):
        end = time.monotonic() + limit
        while len(self.store.topic("keyed.servers").newest()) < count:
            if time.monotonic() > end:
                raise CannotRun("the replicas did not register")
            await asyncio.sleep(0.05)

    def runs(self):
        """What the replicas' processes wrote of their runs."""
        lines = self.runs_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def log_of(self, number):
        return (self.temporary / ("relay-%d.log" % number)).read_text(errors="replace")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, case):
    """Runs `case(lab)`, which returns whether the rule held; exits as the issue asks."""
    lab = None
    try:
        lab = Lab(folder)
        held = asyncio.run(asyncio.wait_for(case(lab), 115))
        for run in lab.runs():
            lab.record.line("from the replicas: %s" % json.dumps(run))
        lab.record.say("the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else 1
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("the case could not run: %r" % error, file=sys.stderr)
        if lab:
            lab.record.line("the case could not run: %r" % error)
        code = 2
    finally:
        if lab:
            lab.stop()
    sys.exit(code)

"""Stand-in of one replica: a process of its own, which the cases kill, stop or drain by signals.

Usage: replica.py '{"listen": "IP:PORT", "id": ..., "service": ..., "store": "IP:PORT", ...}'

SIGUSR1 makes it report `draining`. Options beside the addresses:
  events, gap_ms    number of events of an answer to a stream, and the pause between them
  framing           chunked, length (whole answers only) or close: neither length nor chunks, ended with the connection
  keep_alive        seconds stated in Keep-Alive
  work_ms           time of an answer that is no stream
  size              bytes of such an answer
A path with /stream/ in it is answered with a stream of events.
"""

import asyncio
import hashlib
import json
import signal
import struct
import sys
import time

from lab import header, read_body, read_head

OPTIONS = {
    "events": 30,
    "gap_ms": 100,
    "framing": "chunked",
    "keep_alive": None,
    "work_ms": 30,
    "size": 800,
    "version": "v1",
    "slots": 64,
    **json.loads(sys.argv[1]),
}


class Replica:
    def __init__(self):
        self.id = OPTIONS["id"]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        self.beat_now = asyncio.Event()
        self.runs = open(OPTIONS["runs"], "a", encoding="utf-8")

    def note(self, event, attempt, **more):
        line = {"event": event, "attempt": attempt, "replica": self.id, **more}
        self.runs.write(json.dumps(line) + "\n")
        self.runs.flush()

    def drain(self):
        self.state = "draining"
        self.beat_now.set()

    async def beat(self):
        """Writes this replica's entry into the store, once a heartbeat and at each change."""
        host, port = OPTIONS["store"].split(":")
        while True:
            self.sequence += 1
            entry = {
                "service": OPTIONS["service"],
                "address": OPTIONS["listen"],
                "zone": OPTIONS["zone"],
                "version": OPTIONS["version"],
                "slots": OPTIONS["slots"],
                "state": self.state,
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            key, value = self.id.encode(), json.dumps(entry).encode()
            content = bytes([len(key)]) + key + value
            body = struct.pack(">I", len(content)) + content
            pause = OPTIONS["heartbeat_ms"] / 1000
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                writer.write(
                    (
                        "POST /api/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n"
                        "Standin-Writer: replica\r\nContent-Length: %d\r\n\r\n" % len(body)
                    ).encode()
                    + body
                )
                await asyncio.wait_for(read_head(reader), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pause = 0.2
            try:
                await asyncio.wait_for(self.beat_now.wait(), pause)
                self.beat_now.clear()
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if not await self.answer(head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def head(self, attempt, status, framing, more):
        lines = [
            "HTTP/1.1 %d X" % status,
            "Chestnutferry-Attempt-Id: %s" % attempt,
            "Chestnutferry-Replica-Load: %d,0,%d" % (self.running, OPTIONS["slots"]),
        ]
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        if framing == "close" or self.state == "draining":
            lines.append("Connection: close")
        elif OPTIONS["keep_alive"] is not None:
            lines.append("Keep-Alive: timeout=%s" % OPTIONS["keep_alive"])
        if framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        return ("\r\n".join(lines + more) + "\r\n\r\n").encode()

    async def answer(self, head, reader, writer):
        start, headers = head
        method, target, _ = start.split(" ", 2)
        body = await read_body(reader, headers)
        attempt = header(headers, "chestnutferry-attempt-id") or ""
        expected = header(headers, "chestnutferry-expect-replica")
        if expected not in (None, self.id):
            writer.write(
                b"HTTP/1.1 421 X\r\nChestnutferry-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % self.id.encode()
            )
            return True
        self.note(
            "runs",
            attempt,
            target=target,
            tenant=header(headers, "chestnutferry-tenant"),
            last_event=header(headers, "last-event-id"),
            digest=hashlib.sha256(body).hexdigest()[:12],
            at=time.time(),
        )
        self.running += 1
        try:
            if "/stream/" in target:
                return await self.stream(attempt, headers, reader, writer)
            return await self.whole(attempt, target, reader, writer)
        finally:
            self.running -= 1

    async def whole(self, attempt, target, reader, writer):
        framing = OPTIONS["framing"]
        await asyncio.sleep(OPTIONS["work_ms"] / 1000)
        line = ("%s %s\n" % (attempt, target)).encode()
        body = (line * (OPTIONS["size"] // len(line) + 1))[: OPTIONS["size"]]
        digest = hashlib.sha256(body).hexdigest()[:12]
        signature = "Chestnutferry-Replica-Signature: %s.%s.%s" % (self.id, attempt, digest)
        more = [signature]
        if framing in ("length", "chunked"):
            more.append("Content-Length: %d" % len(body))
            framing = "length"
        writer.write(self.head(attempt, 200, framing, more) + body)
        await writer.drain()
        self.note("ends", attempt, status=200, digest=digest)
        return framing != "close" and self.state == "ready"

    async def stream(self, attempt, headers, reader, writer):
        framing = "close" if OPTIONS["framing"] == "close" else "chunked"
        first = int(header(headers, "last-event-id") or 0) + 1
        count = OPTIONS["events"]
        more = [
            "Content-Type: text/event-stream",
            "Chestnutferry-Replica-Signature: %s.%s.%d" % (self.id, attempt, count),
        ]
        writer.write(self.head(attempt, 200, framing, more))
        for number in range(first, count + 1):
            event = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, attempt.encode())
            if framing == "chunked":
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            if reader.at_eof():
                self.note("left", attempt, made=number)
                return False
            if number < count:
                await asyncio.sleep(OPTIONS["gap_ms"] / 1000)
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("ends", attempt, status=200, made=count)
        return framing != "close" and self.state == "ready"


async def main():
    replica = Replica()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, replica.drain)
    host, port = OPTIONS["listen"].split(":")
    await asyncio.start_server(replica.serve, host, int(port))
    await replica.beat()


asyncio.run(main())

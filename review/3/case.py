"""One relay is killed while it forwards streams that end with their connection."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import TROUBLE, CannotRun, StreamReplica, config, main, request, route  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("zone-a", "zone-b", "zone-c")
EVENTS, STREAMS = 15, 8


async def play(case):
    record = case.record
    await case.deploy(3, ZONES)
    streaming = route("r-1", "/lohu930/", "huvo11a", kind="streaming", timeout_ms=25000, resumable=True, attempts=3,
                      targetLatencyMs=4000, itlTargetMs=800)
    case.operator.write("config", config(10, [streaming], ["huvo11a"], {"hule930": [KEY]}))
    for number, zone in enumerate(ZONES):
        replica = StreamReplica(case.store, record, f"i-{number + 1}", "huvo11a", zone=zone, slots=64)
        # The answers have neither a length nor chunks, and end with their connection, as PROTOCOL.md allows.
        replica.framed, replica.events, replica.gap_s = False, EVENTS, 0.2
        await replica.start(f"{case.block}.{100 + number}")
        case.replicas.append(replica)
    await asyncio.sleep(0.5)
    await case.start_relays()

    sent = []
    for relay in case.relays:
        for _ in range(STREAMS):
            sent.append((relay, asyncio.ensure_future(
                request(record, relay, "/lohu930/a", KEY, method="POST", body=b"x" * 800, deadline_ms=25000))))
            await asyncio.sleep(0.02)
    await asyncio.sleep(1.3)
    if TROUBLE:
        case.relays[0].process.kill()
        record.line(f"{case.relays[0].name}: killed")
    broken = 0
    for relay, call in sent:
        result = await call
        whole = [f"id: {n}\n".encode() in (result.body or b"") for n in range(1, EVENTS + 1)]
        looks_complete = result.status == 200 and result.complete and (result.body or b"").endswith(b"\n\n")
        record.line(f"client: {result.ident} at {relay.name}: {sum(whole)} of {EVENTS} events, "
                    + ("ended as complete" if looks_complete else "broken off or refused"))
        if looks_complete and not all(whole):
            broken += 1
        if relay is not case.relays[0] and not all(whole):
            raise CannotRun("a stream at a relay that was not killed is not whole")
    print(f"streams that ended as complete before their last event: {broken} of {STREAMS} at the killed relay")
    return broken > 0


main(HERE, play)

"""Models with little confidence in their answers, on routes whose requests may run once at most."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import TROUBLE, CannotRun, config, main, request, route  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("zone-a", "zone-b", "zone-c")
SIZES = ["daka510000", "rada7437b5", "ravo486f6a"]  # the smallest first
REQUESTS = 10


async def play(case):
    record = case.record
    await case.deploy(3, ZONES)
    more = {"sizes": SIZES, "attempts": 3, "targetLatencyMs": 4000, "timeout_ms": 25000}
    routes = [route("r-1", "/once/", "huvo11a", kind="non_idempotent", **more),
              route("r-2", "/stream/", "huvo11a", kind="streaming", resumable=False, itlTargetMs=800, **more)]
    case.operator.write("config", config(10, routes, ["huvo11a"], {"hule930": [KEY]}))
    for number, zone in enumerate(ZONES):
        replica = await case.replica(f"i-{number + 1}", "huvo11a", zone=zone, slots=64, work_s=0.05)
        replica.confidence = lambda model: 20 if TROUBLE and model == SIZES[0] else 90
    await asyncio.sleep(0.5)
    await case.start_relays()

    head = [("Chestnutferry-Model", "*"), ("Chestnutferry-Token-Usage", "600,80"),
            ("Chestnutferry-Prefix-Hash", "5c1e07a2:400,e4402b7d:200")]
    sent = {}
    for number in range(REQUESTS):
        for path in ("/once/a", "/stream/a"):
            for relay in case.relays:
                result = await request(record, relay, path, KEY, method="POST", body=f"question {number}".encode(),
                                       deadline_ms=25000, headers=head)
                sent[result.ident] = path
                if result.status != 200:
                    raise CannotRun(f"a request was answered {result.status}")
    runs = {}
    for replica in case.replicas:
        for _, ident, _ in replica.runs:
            runs[ident] = runs.get(ident, 0) + 1
    twice = {path: sum(runs.get(ident, 0) > 1 for ident in sent if sent[ident] == path) for path in ("/once/a", "/stream/a")}
    print(f"requests that ran more than once: non_idempotent {twice['/once/a']} of {3 * REQUESTS}, "
          f"streams that may not be resumed {twice['/stream/a']} of {3 * REQUESTS}")
    record.line(f"verdict: {twice}")
    return any(twice.values())


main(HERE, play)

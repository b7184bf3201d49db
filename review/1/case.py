"""The keys of the only tenant are taken away."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import TROUBLE, CannotRun, config, main, request, route  # noqa: E402

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER = "zzzzzzzzzzzzzzzzzzzz"  # a key that no configuration ever held
ZONES = ("zone-a", "zone-b", "zone-c")
REVOKE_S = 5.0


# With OTHER=1 another tenant holds a key all the time, for comparison.
OTHERS = {"rado512": ["k3kq2zv7m0c4t8w1x5yb"]} if os.environ.get("OTHER") == "1" else {}


def rules(version, keys):
    return config(version, [route("r-1", "/lohu930/", "huvo11a")], ["huvo11a"], {"hule930": keys, **OTHERS})


async def play(case):
    record = case.record
    await case.deploy(3, ZONES)
    case.operator.write("config", rules(10, KEYS))
    for number, zone in enumerate(ZONES):
        await case.replica(f"i-{number + 1}", "huvo11a", zone=zone)
    await asyncio.sleep(0.5)
    await case.start_relays()
    for relay in case.relays:
        for key in KEYS:
            if (await request(record, relay, "/lohu930/a", key)).status != 200:
                raise CannotRun("the deployment does not serve")
        if (await request(record, relay, "/lohu930/a", NEVER)).status != 401:
            raise CannotRun("a key that no configuration holds is not refused at the beginning")

    # The keys are taken away one after the other, 1.5 s apart; the tenant stays.
    if TROUBLE:
        case.operator.write("config", rules(13, KEYS[1:]))
        await asyncio.sleep(1.5)
        case.operator.write("config", rules(14, []))
    await asyncio.sleep(REVOKE_S + 1)
    sent = {}
    for _ in range(10):
        for relay in case.relays:
            for key in (KEYS[0], KEYS[1], NEVER):
                sent[(await request(record, relay, "/lohu930/a", key, name=key[:4])).ident] = key
        await asyncio.sleep(0.3)
    ran = {ident for replica in case.replicas for _, ident, _ in replica.runs}
    taken = sum(ident in ran for ident, key in sent.items() if key != NEVER)
    never = sum(ident in ran for ident, key in sent.items() if key == NEVER)
    when = f"over {REVOKE_S:g} s after the last key was taken away" if TROUBLE else "while both keys are held"
    verdict = f"{when}: {taken} of 60 requests with the two keys ran, {never} of 30 with a key that no configuration ever held"
    print(verdict)
    record.line(f"verdict: {verdict}")
    return never > 0 or (TROUBLE and taken > 0)


main(HERE, play)

"""A key is taken away after the store has come back from an older copy."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import TROUBLE, CannotRun, config, main, request, route  # noqa: E402

KEPT, TAKEN = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
REVOKE_S = 5.0
ZONES = ("zone-a", "zone-b", "zone-c")


def rules(version, keys, more=0):
    routes = [route("r-1", "/lohu930/", "huvo11a")]
    routes += [route(f"r-{n + 2}", f"/new{n}/", "huvo11a") for n in range(more)]
    return config(version, routes, ["huvo11a"], {"hule930": keys})


async def play(case):
    record = case.record
    await case.deploy(3, ZONES)
    store, operator = case.store, case.operator
    operator.write("config", rules(10, [KEPT, TAKEN]))
    for number, zone in enumerate(ZONES):
        await case.replica(f"i-{number + 1}", "huvo11a", zone=zone)
    await asyncio.sleep(0.5)
    await case.start_relays()
    for relay in case.relays:
        for key in (KEPT, TAKEN):
            if (await request(record, relay, "/lohu930/a", key, name=key[:4])).status != 200:
                raise CannotRun("the deployment does not serve")

    # The copy from which the store comes back is taken now: about 3 s before the drill.
    copy = store.snapshot()
    await asyncio.sleep(1)
    # Three configurations in quick succession, 0.33 s apart; both keys stay.
    for step in range(3):
        operator.write("config", rules(12 + 2 * step, [KEPT, TAKEN], more=step + 1))
        await asyncio.sleep(0.33)
    await asyncio.sleep(1)
    if TROUBLE:
        store.leave()
        record.line("store: away")
        await asyncio.sleep(1)
        store.come_back(copy)
        record.line(f"store: back from a copy about 3 s old, Store-Era {store.era}")
        # What the operator wrote is written again; the replicas write again with their next heartbeat.
        operator.write_again()
    else:
        await asyncio.sleep(1)
    await asyncio.sleep(6)

    # Calm for twice contactMs. Now the key is taken away.
    taken_at = operator.write("config", rules(21, [KEPT], more=3))
    runs_after = []
    sent = {}
    while record.now() < taken_at + 15:
        for relay in case.relays:
            sent_at = record.now()
            result = await request(record, relay, "/lohu930/a", TAKEN, name="key that was taken away")
            sent[result.ident] = sent_at - taken_at
        await asyncio.sleep(0.5)
    for replica in case.replicas:
        for _, ident, _ in replica.runs:
            if sent.get(ident, 0) > REVOKE_S:
                runs_after.append(sent[ident])
    late = [at for at in sent.values() if at > REVOKE_S]
    print(f"requests with the key, sent later than {REVOKE_S} s after it was taken away: {len(late)}, of which ran: {len(runs_after)}"
          + (f", the last one {max(runs_after):.1f} s after" if runs_after else ""))
    record.line(f"verdict: {len(runs_after)} of {len(late)} requests ran with a key taken away over {REVOKE_S} s before")
    return bool(runs_after)


main(HERE, play)

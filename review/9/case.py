"""Replicas that keep idle connections for good state the longest time that fits into 64 bits; those of another service state 5 s."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import lab as standins
from lab import Connection, new_attempt, request_headers

KEY = "key-of-one"
USUAL_S = 5
LONGEST_S = 2**63 - 1
CLIENTS = 4
ROUNDS = 3


async def send(lab, relay, connection, path, results):
    attempt = new_attempt()
    answer = await connection.send(
        "POST", "/%s/%s" % (path, attempt[:4]), request_headers(attempt, 2500, KEY), b"{}"
    )
    lab.record.line(
        "client: %s for /%s/ at relay %d: answer %s, end %s" % (attempt, path, relay, answer.status, answer.end)
    )
    results.append((attempt, path, answer))


async def client(lab, relay, results):
    """Sends on one kept connection, first to the service whose replicas state a usual time."""
    for _ in range(ROUNDS):
        connection = Connection(lab.relay_address(relay))
        await connection.open()
        await send(lab, relay, connection, "usual", results)
        await send(lab, relay, connection, "app", results)
        connection.close()


def route(service):
    return {
        "name": "r-" + service,
        "host": "legal.example",
        "pathPrefix": "/%s/" % service,
        "routeKind": "non_idempotent",
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
    }


def service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": False}


async def case(lab):
    await lab.start_store()
    names = ("usual", "app")
    lab.configure(
        [route(name) for name in names],
        [service(name) for name in names],
        [{"name": "one", "apiKeys": [KEY]}],
    )
    stated = LONGEST_S if lab.trouble else USUAL_S
    for number in range(2):
        lab.start_replica(number, "usual", framing="length", keep_alive=USUAL_S)
        lab.start_replica(2 + number, "app", framing="length", keep_alive=stated)
    await lab.await_entries(4)
    for relay in (1, 2):
        lab.start_relay(relay)
    await lab.await_ready((1, 2))
    # From here on the relays are in touch for contactMs.
    await asyncio.sleep(3.5)
    results = []
    await asyncio.gather(*(client(lab, 1 + number % 2, results) for number in range(CLIENTS)))
    ended = {run["attempt"] for run in lab.runs() if run["event"] == "ends"}
    lost = [attempt for attempt, _, answer in results if attempt in ended and answer.status is None]
    answered = [attempt for attempt, _, answer in results if answer.status == 200]
    lab.record.say(
        "%d requests, %d answered; %d were answered in full by their replica, and the relay closed their kept connection without an answer"
        % (len(results), len(answered), len(lost))
    )
    return len(lost) <= 3


standins.main(HERE, case)

"""A router gives up sound streams that pause, though no other replica may go on with them: see claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet
from fleet import CannotRun, Client, Replica, Router, Store, TROUBLE, configuration, now, route

EVENTS, GAP_S = 30, 0.1
STREAMS_PER_ROUTER = 8
# A batch of more urgent long prompts preempts the streams, which are read in again after it.
PAUSE_S = 1.6
# That is shorter than any gap after which a client leaves: two seconds, four times the objective (400 ms)
# or eight times the longest pause for which an answer is in time (400 ms), whichever is longest.

pause = {"from": 0.0, "to": 0.0}


async def work(request):
    after = int(request["headers"].get("last-event-id", "0"))
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        is_paused = request["replica"].name == "i-e0" and pause["from"] <= now() < pause["to"]
        if is_paused:
            await asyncio.sleep(pause["to"] - now())
        yield number, "verse"


async def case(record, folder, routers):
    store = Store()
    await store.start()
    routes = [route("/gloss/", "streaming", "engines", resumable=True, max_attempts=2)]
    await store.put("op/config", configuration(routes, {"engines": {}}))
    engines = [Replica(store, record, f"i-e{n}", "engines", "a", work) for n in range(2)]
    for engine in engines:
        await engine.start()
    for name in ("a1", "a2"):
        routers.append(Router(record, folder, name, "a", store,
                              seeds=[r.address("peers") for r in routers]))
        routers[-1].start()
    for router in routers:
        await router.wait_until_ready()
    clients = [Client(record, r) for r in routers for _ in range(STREAMS_PER_ROUTER)]
    outcomes = []

    async def streams(prefix):
        sent = []
        for number, client in enumerate(clients):
            sent.append(client.send(f"{prefix}-{number}", "POST", "/gloss/x", deadline_ms=12000))
        return await asyncio.gather(*sent)

    # Four rounds of streams on kept connections, without a pause.
    for number in range(4):
        whole = await streams(f"calm{number}")
        if not all(seen["complete"] and len(seen["events"]) == EVENTS for seen in whole):
            raise CannotRun("the first streams were not answered")
        await asyncio.sleep(0.5)

    # A release replaces one of the two replicas: the new one starts first, the old one drains.
    if TROUBLE:
        new = Replica(store, record, "i-e2", "engines", "a", work, version="v2")
        await new.start()
        engines.append(new)
        await asyncio.sleep(1.0)
        await engines[1].drain()
    await asyncio.sleep(1.5)
    sending = asyncio.create_task(streams("late"))
    await asyncio.sleep(1.0)
    pause["from"], pause["to"] = now(), now() + PAUSE_S
    record("pause", "i-e0 preempts its streams for", PAUSE_S, "s")
    outcomes = await sending
    for client in clients:
        client.close()
    return check(record, engines, outcomes)


def check(record, engines, outcomes):
    """LOST: a machine in touch passes a request from a kept connection on to a sound replica and closes
    that connection without an answer, more than three times. A replica's silence is no reason to end an
    answer sooner."""
    runs = {}
    for engine in engines:
        for request in engine.arrivals:
            runs.setdefault(request["id"], []).append(request)
    cut, whole = [], 0
    for seen in outcomes:
        events = seen["events"]
        if events != list(range(1, len(events) + 1)):
            raise CannotRun(f"{seen['id']}: the events are {events}")
        if seen["complete"] and len(events) == EVENTS:
            whole += 1
            continue
        took = seen["ended"] - seen["sent"]
        ran = [run["replica"].name for run in runs.get(seen["id"], [])]
        if not ran or seen["status"] == 503 or took >= 12:
            continue
        cut.append(f"LOST: {seen['id']} ran at {','.join(ran)} and was cut by {seen['router']} after "
                   f"{len(events)} of {EVENTS} events and {took:.2f}s of its 12s")
    moved = sum(len(runs[seen["id"]]) > 1 for seen in outcomes)
    record("summary", f"{whole} whole, {moved} of them run at two replicas, {len(cut)} cut")
    print(f"{whole} whole, {moved} run at two replicas, {len(cut)} cut")
    return cut if len(cut) > 3 else []


if __name__ == "__main__":
    fleet.main(__file__, case)

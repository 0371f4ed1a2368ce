"""A planned stop cuts requests that the stopping router has accepted: see claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet
from fleet import Client, Replica, Rotation, Router, Store, TROUBLE, configuration, fresh, now, route

GAP_S = 0.025
LONG_EVENTS, LONG_GAP_S = 52, 0.1
SHORT_CLIENTS = 30
WARM_UP_S = 28.0


async def work(request):
    """Generates the events of an answer; clients of long ones ask for more tokens."""
    is_long = request["headers"].get("x-token-usage", "").endswith(",400")
    events, gap = (LONG_EVENTS, LONG_GAP_S) if is_long else (8, GAP_S)
    for number in range(1, events + 1):
        await asyncio.sleep(gap)
        yield number, "verse"


async def case(record, folder, routers):
    store = Store()
    await store.start()
    await store.put("op/config", configuration([route("/chat/", "streaming", "engines")],
                                               {"engines": {}}))
    engines = [Replica(store, record, f"i-e{n}", "engines", "a", work) for n in range(6)]
    for engine in engines:
        await engine.start()
    for name in ("a1", "a2", "a3"):
        routers.append(Router(record, folder, name, "a", store,
                              seeds=[r.address("peers") for r in routers]))
        routers[-1].start()
    for router in routers:
        await router.wait_until_ready()
    rotation = Rotation(record, routers)
    outcomes, is_over = [], asyncio.Event()

    async def short_chats(number):
        """One client with a kept connection, which sends one short chat after the other."""
        client, count = None, 0
        while not is_over.is_set():
            if client is None or client.writer is None:
                nodes = rotation.nodes()
                client = Client(record, nodes[number % len(nodes)])
            count += 1
            seen = await client.send(f"s{number}-{count}", "POST", "/chat/s",
                                     headers=["X-Token-Usage: 100,56"], body=b"short")
            outcomes.append(seen)
            await asyncio.sleep(0.02)
        client.close()

    async def long_chat(name, number):
        nodes = rotation.nodes()
        outcomes.append(await fresh(record, nodes[number % len(nodes)], name, "POST", "/chat/l",
                                    headers=["X-Token-Usage: 100,400"], body=b"long"))

    # Long chats are usual: some come in the first second, and are answered whole.
    shorts = [asyncio.create_task(short_chats(n)) for n in range(SHORT_CLIENTS)]
    early = [asyncio.create_task(long_chat(f"early-{n}", n)) for n in range(6)]
    await asyncio.sleep(WARM_UP_S)
    await asyncio.gather(*early)

    # The machines of the zone are stopped in turn, as in a release of the system.
    stopped = {}
    if TROUBLE:
        for router in routers[:2]:
            router.signal(signal.SIGTERM)
            stopped[router.name] = now()
            await asyncio.sleep(1.3)
    else:
        await asyncio.sleep(2.6)
    await asyncio.sleep(0.9)
    late = []
    for number in range(36):
        late.append(asyncio.create_task(long_chat(f"late-{number}", number)))
        await asyncio.sleep(0.06)
    await asyncio.gather(*late)
    await asyncio.sleep(1.0)
    is_over.set()
    await asyncio.gather(*shorts)
    return check(record, engines, outcomes, stopped)


def check(record, engines, outcomes, stopped):
    """LOST around a SIGTERM: a request that was passed on ends without a complete answer. Not counted
    is one whose replica was still at work in the last sixth of the grace period if it was sent no
    later than 3 s after the SIGTERM, or whose deadline was reached."""
    grace_s = fleet.BOUNDS["grace_s"]
    runs = {}
    for engine in engines:
        for request in engine.arrivals:
            runs.setdefault(request["id"], []).append(request)
    broken, refused, whole = [], 0, 0
    for seen in outcomes:
        if seen["complete"]:
            whole += seen["status"] == 200
            refused += seen["status"] == 503
            continue
        if seen["status"] is None and seen["id"] not in runs:
            continue
        stopped_at = stopped.get(seen["router"])
        ran = runs.get(seen["id"], [])
        if not ran or ran[0]["complete"]:
            continue
        in_window = stopped_at is not None and stopped_at <= seen["ended"] <= stopped_at + grace_s + 1
        since = seen["sent"] - stopped_at if stopped_at else -1
        is_deadline = seen["ended"] - seen["sent"] >= 12
        if stopped and (not in_window or is_deadline or since <= 3.0):
            continue
        broken.append(f"LOST: {seen['id']} was sent to {seen['router']} {since:.2f}s after its SIGTERM, "
                      f"ran at {ran[0]['replica'].name}, and was cut after {len(seen['events'])} events "
                      f"and {seen['ended'] - seen['sent']:.2f}s of its 12s")
    record("summary", f"{whole} answered whole, {refused} refused with 503, {len(broken)} cut")
    print(f"{whole} answered whole, {refused} refused with 503, {len(broken)} cut")
    return broken


if __name__ == "__main__":
    fleet.main(__file__, case)

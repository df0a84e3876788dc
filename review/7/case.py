"""Entries of another writer in the store, and then a kill of all daemons."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import kit

# Bytes that can't be read, under names that need escapes in a query; each is shorter than `value_bytes`.
ODD_ENTRIES = {"servers/rack 7": b"\xff" * 700_000, "servers/rack 8": b"\xff" * 700_000}
CALM_S = 4.0
RESTART_S = 1.0
# `recovery_s`.
RECOVERY_S = 12.0
MEASURED_S = 6.0


async def lookup(replica, request, writer):
    replica.begin(request)
    await asyncio.sleep(0.01)
    writer.write(kit.response(200, replica.sealed(request), b"found"))
    await writer.drain()
    return True


async def case(site, record):
    for number in range(2):
        await kit.Replica(site.store, record, f"i-{number}", "orders", lookup).start()
    routes = [kit.route("lookups", "/lookups/", "safe", "orders", attempts=2)]
    config = kit.configuration(1, routes, [kit.service("orders")])
    await site.store.put("op/config", config)
    await site.start_daemons(["zone-a", "zone-a"])
    await asyncio.sleep(1)
    sent = []

    async def look_up(number):
        at = kit.now()
        port = site.daemons[number % 2].callers
        reply = await kit.send(port, f"lookup-{number}", f"/lookups/{number}", method="GET", deadline_ms=3000)
        record.note(f"client lookup-{number} status={reply.status} refusal={reply.headers.get('x-refusal', '-')}")
        sent.append((at, reply.status == 200 and reply.complete))

    async def clients():
        number = 0
        while True:
            asyncio.create_task(look_up(number))
            number += 1
            await asyncio.sleep(0.1)

    load, begun = asyncio.create_task(clients()), kit.now()
    await asyncio.sleep(CALM_S)
    if kit.TROUBLE:
        for key, value in ODD_ENTRIES.items():
            await site.store.put(key, value)
        record.note("another writer has written its entries")
    await asyncio.sleep(1)
    # The final fault comes right after a configuration is acknowledged.
    await site.store.put("op/config", dict(config, version=2))
    fault = kit.now()
    record.note("version 2 is acknowledged; all daemons are killed")
    for daemon in site.daemons:
        daemon.process.kill()
        daemon.process.wait()
    await asyncio.sleep(RESTART_S)
    seeds = [daemon.peers for daemon in site.daemons]
    for daemon in site.daemons:
        daemon.start(seeds)
    back = kit.now()
    record.note("the machines are back")
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    load.cancel()
    await asyncio.sleep(0.5)

    def share(first, end):
        chosen = [served for at, served in sent if first <= at < end]
        return sum(chosen) / max(1, len(chosen)), len(chosen)

    before, after = share(begun, fault - 0.2), share(back + RECOVERY_S, back + RECOVERY_S + MEASURED_S - 0.2)
    print(f"served before the fault {before[0]:.2f} of {before[1]}, after it {after[0]:.2f} of {after[1]}")
    record.note(f"served before the fault {before}, after it {after}")
    if before[0] < 0.9 or after[1] < 20:
        raise kit.CannotRun("too few requests or answers")
    return after[0] >= 0.25


kit.play(case, os.path.dirname(os.path.abspath(__file__)))

"""The store comes back from a copy some seconds old, and all daemons are killed at that moment."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import kit

# The store is away so long, and comes back from a copy so old at least.
AWAY_S = 1.0
COPY_S = 2.5
# Processes that are killed are started again after so long.
RESTART_S = 0.5
PLAYED_S = 25.0


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
    await site.store.put("op/config", kit.configuration(1, routes, [kit.service("orders")]))
    await site.start_daemons(["zone-a", "zone-a"])
    reports = lambda: [call for call in site.cloud.calls if call[1] == "/usage" and call[5] == 200]

    async def clients():
        number = 0
        while True:
            daemon = site.daemons[number % 2]
            asyncio.create_task(kit.send(daemon.callers, f"lookup-{number}", "/lookups/a", method="GET"))
            number += 1
            await asyncio.sleep(0.05)

    load = asyncio.create_task(clients())
    copies = []

    async def copying():
        while True:
            copies.append((kit.now(), site.store.copy()))
            await asyncio.sleep(0.1)

    copier = asyncio.create_task(copying())
    # The third report is that of a window with the full load.
    while len({call[4]["window"] for call in reports()}) < 3:
        await asyncio.sleep(0.02)
    copier.cancel()
    if kit.TROUBLE:
        at = kit.now()
        copy = [copy for taken, copy in copies if taken <= at - COPY_S][-1]
        record.note("the store goes away; all daemons are killed")
        await site.store.stop()
        for daemon in site.daemons:
            daemon.process.kill()
            daemon.process.wait()
        await asyncio.sleep(RESTART_S)
        seeds = [daemon.peers for daemon in site.daemons]
        for daemon in site.daemons:
            daemon.start(seeds)
        await asyncio.sleep(AWAY_S - RESTART_S)
        await site.store.restore(copy)
        await site.store.listen()
        record.note(f"the store is back from a copy of {kit.now() - at + COPY_S:.1f} s ago, era {site.store.era}")
    await asyncio.sleep(PLAYED_S)
    load.cancel()

    held, counts = True, {}
    for _, _, holder, fence, call, _ in reports():
        known = counts.setdefault(call["window"], call["counts"])
        if known != call["counts"]:
            held = False
            record.note(f"window {call['window']} was reported with {known} and with {call['counts']} by {holder}")
    print(f"{len(reports())} reports of {len(counts)} windows")
    if len(counts) < 4:
        raise kit.CannotRun("too few reports")
    return held


kit.play(case, os.path.dirname(os.path.abspath(__file__)))

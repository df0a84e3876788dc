"""The open connections between the daemons fall silent for good, while new ones and datagrams pass. A daemon that does not read
the store itself then goes on with the old configuration: a key that was withdrawn is in use, one that another tenant has now
counts for the tenant that had it, and a new route is unknown."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import (KEY, TROUBLE, Connection, answer, client_headers, configuration, listen, now,  # noqa: E402
                      plain_service, read_request, route, run_case)

DAEMONS = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"]
OTHER_KEY = "a-key-that-is-withdrawn"
MOVED_KEY = "a-key-that-another-tenant-gets"
CONTACT_S, CONFIG_APPLY_S = 4.0, 2.5
# Configurations in quick succession, before the connections fall silent.
STORM, STORM_GAP_S = 12, 0.33
# How long the daemons are watched after the last change.
WATCH_S = 30
INTERVAL_S = 0.25


class Replica:
    """Runs all requests."""

    def __init__(self, name, record):
        self.name, self.record, self.runs = name, record, {}

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            head, _ = request
            request_id = head.get("x-request-id")
            if head.get("x-expect-instance") != self.name:
                writer.write(answer(421, [("X-Request-Id", request_id), ("X-Instance-Id", self.name)]))
                continue
            self.runs[request_id] = head.get("x-tenant")
            self.record.line("run", replica=self.name, id=request_id, tenant=head.get("x-tenant"))
            await asyncio.sleep(0.01)
            writer.write(answer(200, [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{request_id}")], b"done"))
            await writer.drain()


async def case(site):
    replica = Replica("i-0", site.record)
    replica.server, address = await listen(replica.serve)
    site.store.put(f"servers/{replica.name}", {
        "service": "booking-app", "address": address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
        "cold_ms": 0, "seq": 1, "born": 1700000000000})
    old = [route("look", "safe", "booking-app", 1500, 200, 2)]
    new = [*old, route("new", "safe", "booking-app", 1500, 200, 2)]

    def configure(version, routes, keys):
        site.store.put("op/config", configuration(version, routes, [plain_service("booking-app")], keys))
        site.record.line("acknowledged", version=version, keys="/".join(map(str, map(len, keys))), routes=len(routes))

    before = ((KEY, OTHER_KEY, MOVED_KEY), ())
    configure(1, old, before)
    await site.start(DAEMONS, with_proxies=True)
    await asyncio.sleep(3)
    for number in range(STORM):
        configure(2 + number, old, before)
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(1)
    if TROUBLE:
        for proxy in site.proxies:
            proxy.silence()
        site.record.line("silenced", connections=sum(proxy.silenced for proxy in site.proxies))
    # From now on the connections that were reset excuse nothing.
    await asyncio.sleep(CONTACT_S + 2)
    configure(100, new, ((KEY,), (MOVED_KEY,)))
    changed = now()
    breaks, wrong_tenant, stale_until = [], [], {}

    async def ask(daemon, count, path, key):
        request_id = f"{daemon.name}-{path[1:-2]}-{key[-4:]}-{count}"
        sent = now() - changed
        site.record.line("sent", id=request_id, to=daemon.name, path=path)
        status, *_ = await Connection(daemon.callers).request("GET", path, client_headers(request_id, 1500, key=key))
        site.record.line("answered", id=request_id, status=status)
        withdrawn = key == OTHER_KEY and request_id in replica.runs
        unknown = path == "/new/x" and status == 404
        wrong = key == MOVED_KEY and replica.runs.get(request_id) == "tenant-1"
        if withdrawn or unknown or wrong:
            stale_until[daemon.name] = sent
        if sent > CONFIG_APPLY_S and withdrawn:
            breaks.append(f"CONFIG: {request_id}, sent {sent:.2f} s after the acknowledgement, ran with a withdrawn key")
        if sent > CONFIG_APPLY_S and unknown:
            breaks.append(f"CONFIG: {request_id}, sent {sent:.2f} s after the acknowledgement, was refused with 404")
        if sent > CONFIG_APPLY_S and wrong:
            wrong_tenant.append(f"UNASKED: {request_id}, sent {sent:.2f} s after the acknowledgement, ran for the tenant that had its key")

    async def watch(daemon):
        count = 0
        while now() < changed + WATCH_S:
            await asyncio.gather(ask(daemon, count, "/look/x", OTHER_KEY), ask(daemon, count, "/look/x", MOVED_KEY),
                                 ask(daemon, count, "/new/x", KEY))
            count += 1
            await asyncio.sleep(INTERVAL_S)

    await asyncio.gather(*(watch(daemon) for daemon in site.daemons))
    late = {name: round(until, 1) for name, until in stale_until.items() if until > CONFIG_APPLY_S}
    silenced = sum(proxy.silenced for proxy in site.proxies)
    # The result goes by CONFIG alone.
    summary = f"wrong_tenant={len(wrong_tenant)} silenced={silenced} breaks={len(breaks)} stale_after_bound={late} of {len(site.daemons)} daemons, watched {WATCH_S} s"
    print(summary)
    for line in [*breaks, *wrong_tenant, summary]:
        site.record.line("result", text=line)
    return breaks


run_case(__file__, case)

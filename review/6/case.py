"""Sound requests that are alike, beside requests with a part of a prompt that crashes replicas."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import kit

DAEMONS = 4
REPLICAS = 6
CALM_S = 6.0
SOUND_GAP_S = 0.03
DEADLY_GAP_S = 0.7
# Twice `contact_ms`.
SETTLE_S = 8.0
MEASURED_S = 6.0
BACK_S = 3.0
FIRST_EVENT_S = 0.45
DEADLY = "dead"


class Fleet:
    def __init__(self, site, record):
        self.site, self.record, self.started, self.crashes = site, record, 0, []

    async def add(self):
        self.started += 1
        replica = kit.Replica(self.site.store, self.record, f"i-{self.started}", "engines", self.run, slots=48)
        await replica.start()

    async def run(self, replica, request, writer):
        replica.begin(request)
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(replica.stream_head(request))
        if f"{DEADLY}:" in request["headers"].get("x-prompt-prefix", ""):
            await writer.drain()
            self.crashes.append(kit.now())
            await replica.crash()
            asyncio.create_task(self.back())
            return False
        for number in range(6):
            writer.write(kit.event(number, f"{request['id']}-{number}"))
            await writer.drain()
            await asyncio.sleep(0.015)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def back(self):
        await asyncio.sleep(BACK_S)
        await self.add()


async def case(site, record):
    fleet = Fleet(site, record)
    for _ in range(REPLICAS):
        await fleet.add()
    routes = [kit.route("plans", "/plans/", "streaming", "engines", attempts=2, resumable=True)]
    await site.store.put("op/config", kit.configuration(1, routes, [kit.service("engines", engine=kit.ENGINE)]))
    await site.start_daemons(["zone-a"] * DAEMONS)
    await asyncio.sleep(2)
    sent = []

    async def sound(number):
        ident, at = f"sound-{number}", kit.now()
        port = site.daemons[number % DAEMONS].callers
        headers = [("X-Model", "m"), ("X-Token-Counts", "350,18"), ("X-Prompt-Prefix", "aa:300,c1:50")]
        reply = await kit.send(port, ident, "/plans/weekly", headers=headers, body=b'{"plan":"weekly"}')
        record.note(f"client {ident} status={reply.status} complete={reply.complete} "
                    f"refusal={reply.headers.get('x-refusal', '-')}")
        sent.append((at, ident, reply.status))

    async def deadly(number):
        ident = f"deadly-{number}"
        port = site.daemons[number % DAEMONS].callers
        headers = [("X-Model", "m"), ("X-Token-Counts", "550,18"),
                   ("X-Prompt-Prefix", f"aa:300,{DEADLY}:200,d{number:x}:50")]
        reply = await kit.send(port, ident, f"/plans/d{number}", headers=headers, body=ident.encode())
        record.note(f"client {ident} status={reply.status} refusal={reply.headers.get('x-refusal', '-')}")

    tasks, begun, number, next_deadly, deadlies = [], kit.now(), 0, CALM_S, 0
    while True:
        at = kit.now() - begun
        last = fleet.crashes[:5][-1] - begun if fleet.crashes else CALM_S + 5
        if at > last + SETTLE_S + MEASURED_S:
            break
        if kit.TROUBLE and at >= next_deadly:
            tasks.append(asyncio.create_task(deadly(deadlies)))
            deadlies, next_deadly = deadlies + 1, next_deadly + DEADLY_GAP_S
        tasks.append(asyncio.create_task(sound(number)))
        number += 1
        await asyncio.sleep(SOUND_GAP_S)
    await asyncio.gather(*tasks)

    ran = {ident for line in open(record.file.name) if " runs id=" in line for ident in [line.split("id=")[1].strip()]}

    def share(first, end):
        chosen = [ident for at, ident, status in sent if first <= at - begun < end and status != 429]
        return len(chosen), sum(ident in ran for ident in chosen) / max(1, len(chosen))

    calm, after = share(1.0, CALM_S), share(last + SETTLE_S, last + SETTLE_S + MEASURED_S)
    record.note(f"crashes={len(fleet.crashes)} deadly={deadlies} sound calm={calm} after={after}")
    print(f"{len(fleet.crashes)} crashes; sound requests that began: {calm[1]:.2f} of {calm[0]} in the calm, "
          f"{after[1]:.2f} of {after[0]} from {SETTLE_S:.0f} s after the crashes")
    if calm[0] < 20 or after[0] < 20 or calm[1] < 0.9 or (kit.TROUBLE and len(fleet.crashes) < 2):
        raise kit.CannotRun("too few requests or crashes")
    return after[1] >= 0.5 * calm[1]


kit.play(case, os.path.dirname(os.path.abspath(__file__)))

"""A faulty replica rejects part of its requests, and sends second copies of a few of its answers late, at the point where the
answer to the next request is expected."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import (TROUBLE, Connection, answer, client_headers, configuration, listen, now, plain_service,  # noqa: E402
                      read_request, route, run_case)

REPLICAS = 3
SLOTS, QUEUE = 6, 24
WORK_S = 0.015
DAEMONS = ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"]
PER_SECOND = 70
SECONDS = 60
# The first replica is faulty for 5 of each 8 seconds. Then it rejects this share of its requests,
SHED = 0.45
# and gives this share of its answers a second time.
COPIES = 0.03


def in_trouble():
    return TROUBLE and now() % 8 < 5


class Replica:
    """Runs SLOTS requests at once and queues a few more; rejects the others with X-Not-Executed. Echoes X-Request-Id."""

    def __init__(self, number, record, runs):
        self.name, self.record, self.runs, self.is_faulty = f"i-{number}", record, runs, number == 0
        self.slots, self.inside, self.random = asyncio.Semaphore(SLOTS), 0, random.Random(number)
        self.copies = 0

    async def serve(self, reader, writer):
        late = None
        while (request := await read_request(reader)) is not None:
            head, _ = request
            request_id = head.get("x-request-id")
            if late is not None and in_trouble():
                self.copies += 1
                self.record.line("second-copy", replica=self.name, of=late[0], status=late[1][9:12].decode(),
                                 before=request_id)
                writer.write(late[1])
            reply = await self.reply(head, request_id)
            writer.write(reply)
            await writer.drain()
            is_copied = self.is_faulty and in_trouble() and self.random.random() < COPIES
            late = (request_id, reply) if is_copied else None

    async def reply(self, head, request_id):
        headers = [("X-Request-Id", request_id)]
        if head.get("x-expect-instance") != self.name:
            return answer(421, [*headers, ("X-Instance-Id", self.name)])
        sheds = self.is_faulty and in_trouble() and self.random.random() < SHED
        if sheds or self.inside >= SLOTS + QUEUE:
            self.record.line("rejected", replica=self.name, id=request_id)
            return answer(503, [*headers, ("X-Not-Executed", "1")])
        self.inside += 1
        try:
            async with self.slots:
                self.runs.setdefault(request_id, []).append(self.name)
                self.record.line("run", replica=self.name, id=request_id)
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * WORK_S)
        finally:
            self.inside -= 1
        return answer(200, [*headers, ("X-Response-Seal", f"seal.{request_id}")], f"done {request_id}".encode())


async def case(site):
    runs, answers, replicas = {}, {}, []
    for number in range(REPLICAS):
        replica = Replica(number, site.record, runs)
        server, address = await listen(replica.serve)
        replicas.append((replica, server))
        site.store.put(f"servers/{replica.name}", {
            "service": "booking-app", "address": address, "zone": f"zone-{'abc'[number]}", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_ms": 0, "seq": 1, "born": 1700000000000 + number})
    # The second route allows an attempt at another replica, after a replica has stated that it has not run the request.
    routes = [route("book", "unsafe", "booking-app", 1500, 200, 1), route("cut", "unsafe", "booking-app", 1500, 200, 2)]
    site.store.put("op/config", configuration(1, routes, [plain_service("booking-app")]))
    await site.start(DAEMONS)
    await asyncio.sleep(2)
    until = now() + SECONDS
    choice = random.Random(7)

    async def client(daemon, path, prefix):
        """Sends one request after the other on a kept connection."""
        connection, count = Connection(daemon.callers), 0
        while now() < until:
            await asyncio.sleep(choice.expovariate(PER_SECOND / (2 * len(site.daemons))))
            request_id = f"{prefix}-{count}"
            count += 1
            site.record.line("sent", id=request_id, path=path, to=daemon.name)
            status, headers, body, _ = await connection.request("POST", path, client_headers(request_id, 3000), b"order")
            foreign = status == 200 and body != f"done {request_id}".encode()
            answers[request_id] = "foreign" if foreign else status
            site.record.line("answered", id=request_id, status=answers[request_id], state=headers.get("x-run-state"))

    clients = [client(daemon, path, f"{number}{path[1]}") for number, daemon in enumerate(site.daemons)
               for path in ("/book/x", "/cut/x")]
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    breaks = [f"REFUSED: {request_id} was answered {status} and ran at {runs[request_id]}"
              for request_id, status in answers.items() if status in (503, 429, 408, 421) and request_id in runs]
    breaks += [f"TWICE: {request_id} ran at {places}, answered {answers.get(request_id)}"
               for request_id, places in runs.items() if len(places) > 1]
    breaks += [f"MIXED: {request_id} got a foreign answer" for request_id, status in answers.items() if status == "foreign"]
    tally = {}
    for status in answers.values():
        tally[status] = tally.get(status, 0) + 1
    copies = sum(replica.copies for replica, _ in replicas)
    summary = f"answers={tally} runs={len(runs)} second_copies={copies}"
    print(summary)
    for line in [*breaks, summary]:
        site.record.line("result", text=line)
    return breaks


run_case(__file__, case)

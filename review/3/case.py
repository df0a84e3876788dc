"""A faulty server spoils one byte in a few of its streams. If that byte lies in the first bytes that the daemon reads, the
sound events before it are dropped, and the stream goes on at another server after them."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import (TROUBLE, Connection, answer, client_headers, configuration, engine_service, listen,  # noqa: E402
                      now, read_request, route, run_case)

SLOTS = 48
EVENTS = 8
# Events that an engine writes at once.
FLUSH = 3
GAP_S = 0.02
PER_SECOND = 250
SECONDS = 60
# Share of its answers that the faulty server, one of two, spoils, for 5 of each 8 seconds.
SPOILED = 0.02


def in_trouble():
    return TROUBLE and now() % 8 < 5


class Engine:
    """Streams events with chunks; resumes after Last-Event-Id."""

    def __init__(self, number, record):
        self.name, self.record, self.is_faulty = f"i-{number}", record, number == 0
        self.random, self.spoiled, self.resumed = random.Random(number), 0, 0

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            head, _ = request
            if head.get("x-expect-instance") == self.name:
                await self.stream(head, writer)
            else:
                writer.write(answer(421, [("X-Instance-Id", self.name)]))

    async def stream(self, head, writer):
        request_id, first = head.get("x-request-id"), int(head.get("last-event-id", "0"))
        self.record.line("run", server=self.name, id=request_id, after=first)
        self.resumed += first > 0
        is_spoiled = self.is_faulty and in_trouble() and self.random.random() < SPOILED
        wrong = self.random.randrange(first + 1, EVENTS + 1) if is_spoiled else None
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                     f"X-Request-Id: {request_id}\r\nX-Response-Seal: seal.{request_id}\r\nX-Weight-Versions: 1\r\n\r\n".encode())
        made = first
        while made < EVENTS:
            await asyncio.sleep(GAP_S)
            piece = b""
            for number in range(made + 1, min(made + FLUSH, EVENTS) + 1):
                text = "?" if number == wrong else str(number)
                piece += f"id: {text}\ndata: piece {number} of {request_id}\n\n".encode()
                made = number
                if number == wrong:
                    self.spoiled += 1
                    self.record.line("spoiled", server=self.name, id=request_id, number=number)
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(site):
    answers, engines = {}, []
    for number in range(2):
        engine = Engine(number, site.record)
        engine.server, address = await listen(engine.serve)
        engines.append(engine)
        site.store.put(f"servers/{engine.name}", {
            "service": "language", "address": address, "zone": f"zone-{'ab'[number]}", "version": "v1", "slots": SLOTS,
            "state": "ready", "cold_ms": 0, "stage": "unified", "seq": 1, "born": 1700000000000,
            "models": [{"name": "m", "version": 1, "adapters": []}]})
    routes = [route("notes", "streaming", "language", 4000, 500, 2, resumable=True)]
    site.store.put("op/config", configuration(1, routes, [engine_service("language", SLOTS)]))
    await site.start(["zone-a", "zone-b", "zone-c"])
    await asyncio.sleep(2)
    until = now() + SECONDS
    choice = random.Random(5)

    async def client(number):
        daemon = site.daemons[number % len(site.daemons)]
        connection, count = Connection(daemon.callers), 0
        while now() < until:
            await asyncio.sleep(choice.expovariate(PER_SECOND / 24))
            request_id = f"{number}-{count}"
            count += 1
            headers = client_headers(request_id, 4000, ("X-Model", "m"), ("X-Token-Counts", "600,24"),
                                     ("X-Prompt-Prefix", f"a1:100,{number:x}{count:x}:500"))
            site.record.line("sent", id=request_id, to=daemon.name)
            status, _, body, whole = await connection.request("POST", "/notes/x", headers, b"prompt")
            ids = [line[4:] for line in body.decode().split("\n") if line.startswith("id:")]
            answers[request_id] = (status, whole, ids)
            site.record.line("answered", id=request_id, status=status, whole=whole, events=",".join(ids))

    await asyncio.gather(*(client(number) for number in range(24)))
    sound = [str(number) for number in range(1, EVENTS + 1)]
    # A caller that got the spoiled event itself got the server's bytes, which isn't judged.
    breaks = [f"ORDER: {request_id} ended as complete with the events {','.join(ids)} of 1 to {EVENTS}"
              for request_id, (status, whole, ids) in answers.items()
              if status == 200 and whole and "?" not in ids and ids != sound]
    sound_count = sum(status == 200 and whole and ids == sound for status, whole, ids in answers.values())
    summary = (f"answers={len(answers)} whole={sound_count} events_missing={len(breaks)} "
               f"spoiled={sum(engine.spoiled for engine in engines)} resumed={sum(engine.resumed for engine in engines)}")
    print(summary)
    for line in [*breaks, summary]:
        site.record.line("result", text=line)
    return breaks


run_case(__file__, case)

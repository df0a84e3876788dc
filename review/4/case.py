"""A daemon is stopped as planned while one sound server falls silent, once and for a little over a second. Streams whose server
is only silent are cut."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import (TROUBLE, CannotRun, Connection, answer, client_headers, configuration, engine_service,  # noqa: E402
                      listen, now, read_request, route, run_case)

SLOTS = 48
EVENTS = 70
GAP_S = 0.05
PER_SECOND = 27
TIMEOUT_MS = 8000
# Requests are sent until this time after the SIGTERM, so that all end before the last sixth of the grace.
LAST_SENT_S = 0.5
# The rule doesn't judge what a server was still working on in the last sixth of the grace.
GRACE_S = 8
# When servers fall silent, after the SIGTERM, and for how long: one of three, once.
SILENT_FROM = (0.3,)
SILENT_S = 1.3


class Engine:
    """Streams events with chunks; resumes after Last-Event-Id. While it is silent it writes nothing, and then goes on."""

    def __init__(self, number, record):
        self.name, self.record, self.silent_until, self.runs = f"i-{number}", record, 0.0, set()

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            head, _ = request
            if head.get("x-expect-instance") != self.name:
                writer.write(answer(421, [("X-Instance-Id", self.name)]))
                continue
            # A run whose connection closes is dropped.
            run = asyncio.create_task(self.stream(head, writer))
            closed = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
            if run not in done:
                run.cancel()
                self.record.line("dropped", server=self.name, id=head.get("x-request-id"))
                return
            closed.cancel()
            writer.write(b"0\r\n\r\n")
            return

    async def stream(self, head, writer):
        request_id, made = head.get("x-request-id"), int(head.get("last-event-id", "0"))
        self.record.line("run", server=self.name, id=request_id, after=made)
        self.runs.add(request_id)
        await self.speak()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
                     f"X-Request-Id: {request_id}\r\nX-Response-Seal: seal.{request_id}\r\nX-Weight-Versions: 1\r\n\r\n".encode())
        while made < EVENTS:
            await asyncio.sleep(GAP_S)
            await self.speak()
            made += 1
            piece = f"id: {made}\ndata: piece {made} of {request_id}\n\n".encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        self.record.line("ran", server=self.name, id=request_id)

    async def speak(self):
        while (left := self.silent_until - now()) > 0:
            await asyncio.sleep(left)

    async def fall_silent(self, at):
        await asyncio.sleep(at - now())
        self.silent_until = now() + SILENT_S
        self.record.line("silent", server=self.name, until=f"{self.silent_until:.3f}")


async def case(site):
    answers, engines = {}, []
    for number, zone in enumerate(["zone-a", "zone-b", "zone-c"]):
        engine = Engine(number, site.record)
        engine.server, address = await listen(engine.serve)
        engines.append(engine)
        site.store.put(f"servers/{engine.name}", {
            "service": "language", "address": address, "zone": zone, "version": "v1", "slots": SLOTS, "state": "ready",
            "cold_ms": 0, "stage": "unified", "seq": 1, "born": 1700000000000,
            "models": [{"name": "m", "version": 1, "adapters": []}]})
    routes = [route("notes", "streaming", "language", TIMEOUT_MS, 400, 2, resumable=True)]
    site.store.put("op/config", configuration(1, routes, [engine_service("language", SLOTS)]))
    await site.start(["zone-a", "zone-b", "zone-c"])
    await asyncio.sleep(2)
    stopped, choice = site.daemons[0], random.Random(11)
    # Requests begin contact_ms and more before the SIGTERM.
    term_at = now() + 6

    async def request(request_id, daemon):
        headers = client_headers(request_id, TIMEOUT_MS, ("X-Model", "m"), ("X-Token-Counts", "300,210"),
                                 ("X-Prompt-Prefix", f"a1:100,{abs(hash(request_id)) % 2**32:x}:200"))
        sent = now()
        site.record.line("sent", id=request_id, to=daemon.name)
        status, _, body, whole = await Connection(daemon.callers).request("POST", "/notes/x", headers, b"prompt")
        ids = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
        answers[request_id] = (daemon, sent, now(), status, whole, ids)
        site.record.line("answered", id=request_id, status=status, whole=whole, events=len(ids))

    async def clients(daemon):
        tasks, count = [], 0
        while now() < term_at + LAST_SENT_S:
            await asyncio.sleep(choice.expovariate(PER_SECOND / len(site.daemons)))
            tasks.append(asyncio.create_task(request(f"{daemon.name}-{count}", daemon)))
            count += 1
        await asyncio.gather(*tasks)

    async def stop():
        await asyncio.sleep(term_at - now())
        site.record.line("sigterm", daemon=stopped.name)
        stopped.signal(signal.SIGTERM)

    tasks = [clients(daemon) for daemon in site.daemons] + [stop()]
    if TROUBLE:
        tasks += [engine.fall_silent(term_at + at) for engine, at in zip(engines, SILENT_FROM)]
    await asyncio.gather(*tasks)
    breaks, count = [], 0
    for request_id, (daemon, sent, ended, status, whole, ids) in answers.items():
        if daemon is not stopped or ended < term_at:
            continue
        count += 1
        is_cut = status in (0, 200) and not whole and any(request_id in engine.runs for engine in engines)
        in_time = ended - sent < TIMEOUT_MS / 1000 and ended - term_at < GRACE_S * 5 / 6
        if is_cut and in_time:
            breaks.append(f"LOST: {request_id}, sent {sent - term_at:+.2f} s from the SIGTERM, was cut at {ended - term_at:+.2f} s "
                          f"after {len(ids)} of {EVENTS} events")
    if not count:
        raise CannotRun("no request ran during the stop")
    summary = f"answers={len(answers)} open_at_the_stop={count} cut={len(breaks)}"
    print(summary)
    for line in [*breaks, summary]:
        site.record.line("result", text=line)
    return breaks


run_case(__file__, case)

"""Stand-ins of the users' platform for the cases of the review: metadata store, cloud, HTTP helpers, a client, and daemons
that run as separate processes with the command and the settings template of deploy/.

Only the standard library is used. Everything listens on loopback addresses."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


class Record:
    """Writes record.txt, one line for each event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():8.3f} {event} {text}\n")
        self.file.flush()


class Head:
    """A request's or an answer's first line and headers."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head; None if the connection ends before one."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_request(reader):
    """Reads a request: head and body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if "chunked" in head.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        else:
            body = await reader.readexactly(int(head.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head, body


def answer(status, headers=(), body=b""):
    """An answer with a length."""
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_answer(status, value, headers=()):
    return answer(status, [("Content-Type", "application/json"), *headers], json.dumps(value).encode())


async def listen(handler, ip="127.0.0.1"):
    """Serves connections on a free port; returns the server and its address."""
    async def guarded(reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(guarded, ip, 0, limit=1 << 20, backlog=512)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


class Store:
    """The platform's metadata store."""

    def __init__(self, era=1):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.era, self.oldest = 10, era, 0
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        self.server, self.address = await listen(self.serve)
        self.task = asyncio.create_task(self.expire())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "create_rev": created,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.notify()
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self.notify()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [lease for lease, (_, until) in self.leases.items() if until < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def before_call(self, peer, head, body):
        """Hook of a case: may delay a call. Returning False closes the connection without an answer."""
        return True

    async def before_answer(self, peer, head, body, status):
        """Hook of a case, after a call was carried out. Returning False loses its answer."""
        return True

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        while (request := await read_request(reader)) is not None:
            head, body = request
            await asyncio.sleep(0.004)
            if not await self.before_call(peer, head, body):
                return
            status, value = await self.call(head, body)
            if not await self.before_answer(peer, head, body, status):
                return
            writer.write(json_answer(status, value, [("Store-Era", str(self.era))]))
            await writer.drain()

    async def call(self, head, body):
        method, target, _ = head.first.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        body = json.loads(body) if body else {}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as_of": self.revision})
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "truncated": len(keys) > 500, "as_of": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(query.get("prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000)
        if url.path == "/v1/kv-txn":
            return self.txn(body)
        if url.path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl, _ = self.leases[lease]
        if url.path.startswith("/v1/kv-keep/"):
            self.leases[lease] = (ttl, now() + ttl)
        else:
            self.end_lease(lease)
        return 200, {"ttl_ms": int(ttl * 1000)}

    async def watch(self, prefix, after, wait):
        until = now() + wait
        while True:
            if after < self.oldest or after > self.revision:
                return 410, {}
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        rows = body.get("expected_revision", [])
        current = {row["key"]: self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows}
        if any(current[row["key"]]["revision"] != row["revision"] for row in rows):
            return 412, {"items": list(current.values())}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Cloud:
    """The platform's API for the duties of one daemon. It refuses a fencing token lower than one that it has seen."""

    def __init__(self, record):
        self.record, self.calls, self.highest = record, [], {}

    async def start(self):
        self.server, self.address = await listen(self.serve)

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            head, body = request
            writer.write(await self.call(head, json.loads(body)))
            await writer.drain()

    async def call(self, head, body):
        path = head.first.split(" ")[1]
        holder, fence = head.get("x-duty-holder"), int(head.get("x-fence-token"))
        subject = "usage" if path == "/usage" else f"{body['service']}/{body['zone']}"
        accepted = fence >= self.highest.get(subject, 0)
        if accepted:
            self.highest[subject] = fence
        self.calls.append({"at": now(), "path": path, "holder": holder, "fence": fence, "subject": subject, "body": body,
                           "accepted": accepted})
        self.record.line("duty", path=path, holder=holder, fence=fence, accepted=accepted, body=json.dumps(body))
        return json_answer(200 if accepted else 409, {})


class Daemon:
    """A daemon as a separate process, with the command of deploy/system.toml and the settings of its template."""

    def __init__(self, number, zone, store, cloud, zones):
        self.ip = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.{number + 1}"
        self.name, self.zone = f"front-{zone}-{number + 1}", zone
        ports = [free_port(self.ip) for _ in range(3)]
        self.callers, self.ready, self.peers = (f"{self.ip}:{port}" for port in ports)
        self.store, self.cloud, self.zones, self.process = store, cloud, zones, None
        # The address for peers if they reach this daemon by way of a proxy.
        self.advertise = None

    def settings(self, seeds):
        template = open(os.path.join(ROOT, "deploy/settings.yaml")).read()
        template = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", ",".join(f'"{seed}"' for seed in seeds), template)
        bounds = {"grace_s": 8, "budget_ratio": 0.2, "budget_extra": 54, "budget_window_s": 10, "usage_window_s": 5,
                  "usage_late_s": 10, "lease_ms": 3000}
        values = {"node": self.name, "region": self.zones[self.zone], "zone": self.zone, "listen.front": self.callers,
                  "listen.ready": self.ready, "listen.control": self.peers, "ip": self.ip,
                  "platform.address": self.store, "cloud.address": self.cloud, "zones|json": json.dumps(self.zones)}
        values.update({f"bounds.{name}": value for name, value in bounds.items()})
        text = re.sub(r"\{\{([^}]*)\}\}", lambda match: str(values[match.group(1)]), template)
        return text if self.advertise is None else f"{text}\nadvertise: {self.advertise}\n"

    async def start(self, folder, seeds):
        self.folder = folder
        path = os.path.join(folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            file.write(self.settings(seeds))
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        words = [path if word == "/etc/goldcrestward/local.toml" else word for word in run.split(" ")]
        log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, env={**environment, "GOLDCRESTWARD_BOOT": path})

    async def wait_ready(self, limit=15):
        until = now() + limit
        while now() < until:
            try:
                host, port = self.ready.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and head.status == 200:
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class PeerProxy:
    """Stands before a daemon's peers' address and passes on datagrams and connections. It can let all connections that are open
    fall silent for good, without a reset, while new ones and datagrams pass."""

    def __init__(self, daemon):
        self.daemon, self.target, self.pipes, self.silenced = daemon, daemon.peers, [], 0

    async def start(self):
        ip = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.{random.randrange(100, 250)}"
        port = free_port(ip)
        self.server = await asyncio.start_server(self.pass_on, ip, port)
        host, target_port = self.target.split(":")
        loop = asyncio.get_running_loop()
        proxy = self

        class Datagrams(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, addr):
                proxy.sender.sendto(data, (host, int(target_port)))

        self.sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(ip, 0))
        await loop.create_datagram_endpoint(Datagrams, local_addr=(ip, port))
        self.daemon.advertise = f"{ip}:{port}"

    async def pass_on(self, reader, writer):
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.close()
        pipe = {"silent": False}
        self.pipes.append(pipe)

        async def copy(source, sink):
            try:
                while piece := await source.read(65536):
                    if pipe["silent"]:
                        continue
                    sink.write(piece)
                    await sink.drain()
            except ConnectionError:
                pass
            if not pipe["silent"]:
                sink.close()

        await asyncio.gather(copy(reader, target_writer), copy(target_reader, writer))
        if not pipe["silent"]:
            self.pipes.remove(pipe)

    def silence(self):
        """Nothing passes any more on the connections that are open now."""
        for pipe in self.pipes:
            pipe["silent"] = True
        self.silenced += len(self.pipes)
        self.pipes = []


class CannotRun(Exception):
    """The case could not be run."""


def free_port(ip):
    """A port that is free for TCP and UDP at the moment."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            try:
                udp.bind(tcp.getsockname())
                return tcp.getsockname()[1]
            except OSError:
                continue


class Connection:
    """A client's connection, kept for several requests."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, headers, body=b"", limit=20):
        """Sends a request. Returns status, headers, body, and whether the answer came whole; status 0 without one."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, headers, body), limit)
        except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0, {}, b"", False

    async def exchange(self, method, path, headers, body):
        if self.writer is None:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        received, whole = await self.read_body(head)
        if not whole or head.get("connection", "").lower() == "close":
            self.close()
        return head.status, head.headers, received, whole

    async def read_body(self, head):
        received = b""
        try:
            if "chunked" in head.get("transfer-encoding", "").lower():
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    piece = await self.reader.readexactly(size + 2)
                    if size == 0:
                        return received, True
                    received += piece[:-2]
            length = head.get("content-length")
            if length is not None:
                return await self.reader.readexactly(int(length)), True
            # Without a length the answer ends with its connection.
            while piece := await self.reader.read(65536):
                received += piece
            return received, True
        except asyncio.IncompleteReadError as error:
            return received + error.partial, False
        except ConnectionError:
            return received, False


def route(name, kind, service, timeout_ms, target_ms, attempts, resumable=False):
    """A route of the operator's configuration, with the host of all routes."""
    fields = {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
              "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
              "anonymous": False, "sticky": kind == "streaming", "resumable": resumable}
    return {**fields, "gap_aim_ms": 300} if kind == "streaming" else fields


HOST = "site.example"
KEY = "a-key-of-the-review"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}


def configuration(version, routes, services, keys=((KEY,),)):
    """The operator's configuration; `keys` holds the keys of each tenant."""
    tenants = [{"name": f"tenant-{number + 1}", "api_keys": list(own), "priority": 1, "unit": "token", "plain_tokens": 200,
                "rate_per_s": 0, "burst": 0} for number, own in enumerate(keys)]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS, "tenants": tenants}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}


def engine_service(name, slots=48):
    engine = {"slots": slots, "kv_capacity": 614975, "kv_token_bytes": 192512, "link_mbps": 1500000.0, "moves": True,
              "backups": True, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
              "models": [{"name": "m"}]}
    return {**plain_service(name), "max_conns": 300, "engine": engine}


def client_headers(request_id, deadline_ms, *more, key=KEY):
    return [("Host", HOST), ("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {key}"), *more]


class Site:
    """Store, cloud and daemons of a case."""

    def __init__(self, case_file):
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(self.folder)
        self.temporary = tempfile.mkdtemp(prefix="goldcrestward-review-")
        self.store, self.cloud, self.daemons = Store(), Cloud(self.record), []

    async def start(self, zones, with_proxies=False):
        """Starts a daemon in each of the zones named, and waits until all are ready."""
        self.proxies = []
        for number, zone in enumerate(zones):
            self.daemons.append(Daemon(number, zone, self.store.address, self.cloud.address, ZONES))
            if with_proxies:
                self.proxies.append(PeerProxy(self.daemons[-1]))
                await self.proxies[-1].start()
        self.seeds = [daemon.advertise or daemon.peers for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            await daemon.start(self.temporary, self.seeds)
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(case_file, case):
    """Runs a case, a coroutine that takes the site and returns the list of breaks; exits with 0, 1 or 2."""
    async def main():
        site = Site(case_file)
        try:
            await site.store.start()
            await site.cloud.start()
            return await asyncio.wait_for(case(site), 110)
        finally:
            await site.stop()

    async def run():
        try:
            breaks = await main()
        except Exception as error:
            print(f"could not run: {error!r}")
            traceback.print_exc()
            return 2
        for line in breaks[:10]:
            print(f"broken: {line}")
        print(f"trouble={int(TROUBLE)} breaks={len(breaks)}")
        return 1 if breaks else 0

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    code = loop.run_until_complete(run())
    sys.stdout.flush()
    sys.stderr.flush()
    # Connections of the stand-ins that are still open end with the process.
    os._exit(code)

"""Stand-ins for the scripts of the second review: store, cloud, replicas, clients and daemons on loopback addresses.

They follow the platform's pages. A script imports this module, plays its case and calls `finish`.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/release/goldcrestward-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "site.example"
KEY = "a-key-of-the-review"
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.note(f"trouble={int(TROUBLE)}")

    def note(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be played."""


_used_ports = set()


def free_port():
    for _ in range(100):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port
    raise CannotRun("no free port")


async def read_head(reader):
    """First line and lower-case headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunks(reader):
    """Body in chunks, and whether it is whole."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body, True
            body += (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        return body + getattr(error, "partial", b""), False


class HttpServer:
    """Serves HTTP/1.1 with one request at a time on a connection."""

    def __init__(self):
        self.port = free_port()
        self.writers = set()
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20, reuse_address=True)

    async def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                except OSError:
                    pass
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    body, whole = await read_chunks(reader)
                    if not whole:
                        return
                else:
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(method, target, headers, body, writer, reader):
                    return
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer, reader):
        raise NotImplementedError


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return (text + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode() + body


class Store(HttpServer):
    """The platform's store."""

    # Most items and bytes of values of a page.
    PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20

    def __init__(self):
        super().__init__()
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.compacted = 100, 1000, 0
        self.changed = asyncio.Condition()
        # Called with (method, path, query, body); may return "drop" (executed, no answer) or a status.
        self.fault = None
        # How often it has been restored from a copy.
        self.era = 1

    async def listen(self):
        await super().listen()
        self.expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [l for l, (_, end) in self.leases.items() if end <= time.monotonic()]:
                await self.end_lease(lease)

    def copy(self):
        """What the store holds now, with the time that its leases have left."""
        at = time.monotonic()
        leases = {lease: (ttl, end - at) for lease, (ttl, end) in self.leases.items()}
        return dict(self.items), list(self.history), leases, self.revision

    async def restore(self, copy):
        """Goes on from an older copy. What the operator and the replicas wrote since is written again."""
        outer = {key: item for key, item in self.items.items() if key.startswith(("op/", "servers/"))}
        at = time.monotonic()
        self.items, self.history, leases, self.revision = dict(copy[0]), list(copy[1]), copy[2], copy[3]
        self.leases = {lease: (ttl, at + left) for lease, (ttl, left) in leases.items()}
        self.era += 1
        for key, item in outer.items():
            if self.items.get(key, {}).get("value") != item["value"]:
                await self.put(key, base64.b64decode(item["value"]))

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    async def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self._set(key, value, lease)
        await self._notify()

    def _set(self, key, value, lease):
        created = self.items.get(key, {}).get("create_rev", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create_rev": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def delete(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def answer(self, method, target, headers, body, writer, reader):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        verdict = self.fault(method, url.path, query, body) if self.fault else None
        if isinstance(verdict, int):
            writer.write(response(verdict, [("Store-Era", self.era)]))
            await writer.drain()
            return True
        status, result = await self._execute(method, unquote(url.path), query, body)
        if verdict == "drop":
            await reader.read()
            return False
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        writer.write(response(status, fields, json.dumps(result).encode()))
        await writer.drain()
        return True

    async def _execute(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, as_of=self.revision)) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page, length = [], 0
            for key in keys[:self.PAGE_ITEMS]:
                length += len(self.items[key]["value"]) * 3 // 4
                if page and length > self.PAGE_BYTES:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "truncated": len(keys) > len(page), "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            return await self._txn(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, min(600000, json.loads(body)["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        kind, _, number = path.rpartition("/")
        if kind == "/v1/kv-keep":
            if int(number) not in self.leases:
                return 404, {}
            ttl, _ = self.leases[int(number)]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if kind == "/v1/kv-lease-end":
            if int(number) not in self.leases:
                return 404, {}
            await self.end_lease(int(number))
            return 200, {}
        return 404, {}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _txn(self, txn):
        current = []
        holds = True
        for row in txn.get("expected_revision", []):
            item = self.items.get(row["key"])
            if item:
                current.append(item)
            holds &= (item["revision"] if item else 0) == row["revision"]
        if not holds:
            return 412, {"items": current}
        leases = [put.get("lease", 0) for put in txn.get("puts", [])]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        self.revision += 1
        for put in txn.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            self._set(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in txn.get("deletes", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}


class Cloud(HttpServer):
    """The platform's API for the duties of one daemon."""

    def __init__(self, record):
        super().__init__()
        self.record, self.calls, self.fence = record, [], {}

    async def answer(self, method, target, headers, body, writer, reader):
        fence, holder = int(headers.get("x-fence-token", "0")), headers.get("x-duty-holder", "-")
        call = json.loads(body)
        subject = (target, call.get("service"), call.get("zone"))
        status = 409 if fence < self.fence.get(subject, 0) else 200
        if status == 200:
            self.fence[subject] = fence
        self.calls.append((now(), target, holder, fence, call, status))
        self.record.note(f"cloud {target} holder={holder} fence={fence} {json.dumps(call)} -> {status}")
        writer.write(response(status))
        await writer.drain()
        return True


class Replica(HttpServer):
    """A replica of a service. `run` is a coroutine function (replica, request, writer) that answers one request."""

    def __init__(self, store, record, ident, service, run, zone="zone-a", slots=16, version="v1"):
        super().__init__()
        self.store, self.record, self.ident, self.service, self.run = store, record, ident, service, run
        self.zone, self.slots, self.version = zone, slots, version
        self.state, self.running, self.seq, self.alive, self.extra = "ready", 0, 0, False, {}
        self.begun = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.alive = True
        await self.listen()
        await self.beat()

    async def beat(self):
        """Writes the entry, which changes when more than the count does."""
        self.seq += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state, "cold_ms": 0,
                 "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.seq,
                 "born": self.born, **self.extra}
        await self.store.put(f"servers/{self.ident}", entry)

    async def crash(self):
        """Ends like a process that is killed; the entry goes after three heartbeats of 1.2 s."""
        self.alive = False
        self.record.note(f"replica {self.ident} crashes running={self.running}")
        await self.stop()

        async def expire():
            await asyncio.sleep(3.6)
            await self.store.delete(f"servers/{self.ident}")

        asyncio.create_task(expire())

    async def answer(self, method, target, headers, body, writer, reader):
        if target == "/healthz":
            writer.write(response(200, [("X-Instance-Id", self.ident)]))
            await writer.drain()
            return True
        request = {"method": method, "target": target, "headers": headers, "body": body,
                   "id": headers.get("x-request-id"), "reader": reader}
        if request["id"] is None:
            writer.write(response(400, [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        own = [("X-Request-Id", request["id"]), ("X-Instance-Id", self.ident)]
        if headers.get("x-expect-instance", self.ident) != self.ident:
            self.record.note(f"replica {self.ident} misdirected id={request['id']}")
            writer.write(response(421, own))
            await writer.drain()
            return True
        if self.running >= self.slots:
            self.record.note(f"replica {self.ident} full id={request['id']}")
            writer.write(response(503, own + [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.run(self, request, writer)
        finally:
            self.running -= 1

    def begin(self, request):
        """Notes that a request begins to run."""
        self.begun.append((now(), request["id"]))
        self.record.note(f"replica {self.ident} runs id={request['id']}")

    def sealed(self, request):
        return [("X-Request-Id", request["id"]), ("X-Response-Seal", f"{self.ident}.{request['id']}"),
                ("X-Replica-Load", f"{self.running},0,{self.slots}")]

    def stream_head(self, request):
        fields = self.sealed(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        return ("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n").encode()


def event(number, text):
    data = f"id: {number}\ndata: {text}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Reply:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def send(port, ident, path, method="POST", headers=(), body=b"", deadline_ms=5000, key=KEY, host=HOST):
    """One client attempt on a new connection; status 0 if there is no answer."""
    fields = [("Host", host), ("X-Request-Id", ident), ("X-Deadline-Ms", deadline_ms),
              ("Authorization", f"Token {key}"), ("Content-Length", len(body)), *headers]
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=1 << 20), 1)
    except (OSError, asyncio.TimeoutError):
        return Reply(0, {}, b"", False)
    try:
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n"
        writer.write(text.encode() + body)
        return await asyncio.wait_for(read_reply(reader), deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError):
        return Reply(0, {}, b"", False)
    finally:
        writer.close()


async def read_reply(reader):
    head = await read_head(reader)
    if head is None:
        return Reply(0, {}, b"", False)
    line, headers = head
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body, complete = await read_chunks(reader)
    else:
        try:
            body, complete = await reader.readexactly(int(headers.get("content-length", "0"))), True
        except asyncio.IncompleteReadError as error:
            body, complete = error.partial, False
    return Reply(status, headers, body, complete)


class Daemon:
    """A daemon of the project, started with the command of the deploy file."""

    def __init__(self, name, store, cloud, zone="zone-a", folder=None):
        self.name, self.store, self.cloud, self.zone = name, store, cloud, zone
        self.callers, self.ready, self.metrics, self.peers = (free_port() for _ in range(4))
        self.folder, self.process = folder, None
        self.store_port = store.port

    def start(self, seeds):
        join = ",".join(f'"127.0.0.1:{port}"' for port in seeds[:3])
        settings = f"""site: site
name: {self.name}
region: {self.zone}
zone: {self.zone}
callers: 127.0.0.1:{self.callers}
ready: 127.0.0.1:{self.ready}
metrics: 127.0.0.1:{self.metrics}
peers: 127.0.0.1:{self.peers}
join: [{join}]
platform: 127.0.0.1:{self.store_port}
cloud: 127.0.0.1:{self.cloud.port}
zones: {{"zone-a":"zone-a","zone-b":"zone-b","zone-c":"zone-c"}}
peer-secrets: ["goldcrestward-replace-this-secret"]
workers: 1
notice-ms: 2600
drain-seconds: 8
retry-share: 0.2
retry-extra: 54
retry-window: 10
usage-window: 5
usage-delay: 10
lease-ms: 3000
"""
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            file.write(settings)
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen([DAEMON, "--settings", path], cwd=ROOT, stdout=self.log, stderr=self.log)

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            reply = await send(self.ready, "ready", "/readyz", method="GET", deadline_ms=500)
            if reply.status == 200:
                return
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


def route(name, prefix, kind, service, attempts=1, resumable=False, timeout_ms=5000, target_ms=500, priority=1):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": priority, "service": service, "max_attempts": attempts,
            "anonymous": False, "sticky": kind == "streaming", "resumable": resumable, "gap_aim_ms": 300}


def configuration(version, routes, services, tenants=None, limits=None):
    tenants = tenants or [{"name": "tenant-1", "api_keys": [KEY], "priority": 1, "unit": "token",
                           "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]
    limits = limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                        "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}


def service(name, max_conns=300, engine=None):
    entry = {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False}
    if engine:
        entry["engine"] = engine
    return entry


ENGINE = {"slots": 48, "kv_capacity": 614975, "kv_token_bytes": 192512, "link_mbps": 1500000.0, "moves": True,
          "backups": True, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
          "models": [{"name": "m"}]}


class Site:
    """Store, cloud and daemons."""

    def __init__(self, folder, record):
        self.record = record
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.store, self.cloud, self.daemons = Store(), Cloud(record), []

    async def listen(self):
        await self.store.listen()
        await self.cloud.listen()

    async def start_daemons(self, zones):
        for number, zone in enumerate(zones):
            self.daemons.append(Daemon(f"front-{zone}-{number + 1}", self.store, self.cloud, zone, self.temp.name))
        seeds = [daemon.peers for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.start(seeds)
        for daemon in self.daemons:
            await daemon.wait_ready()

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for daemon in self.daemons:
                with open(os.path.join(self.temp.name, f"{daemon.name}.log")) as log:
                    with open(os.path.join(keep, f"{daemon.name}.log"), "w") as copy:
                        copy.write(log.read())
        self.temp.cleanup()


def play(case, folder, limit=110):
    """Runs `case(site, record)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    record = Record(folder)
    if not os.path.exists(DAEMON):
        record.note("the daemon is not built")
        sys.exit(2)

    def end(*_):
        for daemon in sites[0].daemons if sites else []:
            daemon.kill()
        os._exit(2)

    # Ends what was started also if the script is ended before its time.
    signal.signal(signal.SIGTERM, end)
    sites = []

    async def run():
        site = Site(folder, record)
        sites.append(site)
        try:
            await site.listen()
            return await asyncio.wait_for(case(site, record), limit)
        finally:
            site.close()

    try:
        held = asyncio.run(run())
    # An error of the script itself is no verdict either.
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.note("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

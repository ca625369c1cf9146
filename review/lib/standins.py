"""Stand-ins for the users' platform, workers and consumers, and the start of the project's own programs as processes.

Everything listens on loopback addresses. The store follows PROTOCOL.md ("The platform's metadata store"): rows with versions from one counter,
conditional transactions, a feed, and a steady clock."""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CLIENT_PORT, READINESS_PORT, CONTROL_PORT, PROJECT_PORT = 8227, 8220, 8229, 7340


class Http:
    """Reading and writing of HTTP/1.1 messages."""

    @staticmethod
    async def head(reader):
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = text.split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ": " in line:
                name, value = line.split(": ", 1)
                fields[name.lower()] = value
        return lines[0], fields

    @staticmethod
    async def body(reader, fields):
        if fields.get("transfer-encoding") == "chunked":
            data = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return data
        return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's table store."""

    def __init__(self, address, port, tx_s=0.005, read_s=0.004):
        self.address, self.port, self.tx_s, self.read_s = address, port, tx_s, read_s
        self.rows = {}
        self.log = []
        self.version = 0
        self.started = time.monotonic()
        self.changed = asyncio.Condition()
        self.down = False

    def now_ms(self):
        return 100_000 + int((time.monotonic() - self.started) * 1000)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await Http.head(reader)
                body = await Http.body(reader, fields)
                method, target, _ = first.split(" ", 2)
                # A 503 means that nothing was done.
                status, answer = (503, {}) if self.down else await self.handle(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/-/rows-tx":
            await asyncio.sleep(self.tx_s)
            if self.down:
                return 503, {}
            status, answer = self.transact(json.loads(body))
            async with self.changed:
                self.changed.notify_all()
            return status, answer
        if path == "/-/rows-get":
            await asyncio.sleep(self.read_s)
            return 200, self.read(query)
        if path == "/-/rows-parts":
            await asyncio.sleep(self.read_s)
            return 200, {"parts": sorted({part for table, part, _ in self.rows if table == query["table"]}), "ver": self.version, "now_ms": self.now_ms()}
        if path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def row(self, address):
        value, version = self.rows[address]
        return {"table": address[0], "part": address[1], "key": address[2], "value": value, "ver": version}

    def transact(self, call, operator=False):
        where = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        conditions = call.get("if_rev", [])
        if any(self.rows.get(where(c), ("", 0))[1] != c["ver"] for c in conditions):
            seen = [self.row(where(c)) for c in conditions if where(c) in self.rows]
            return 412, {"rows": seen, "ver": self.version, "now_ms": self.now_ms()}
        changes = [(where(e), e["value"]) for e in call.get("puts", [])] + [(where(e), None) for e in call.get("remove", [])]
        if not operator and any(address[0] in ("op", "servers") for address, _ in changes):
            return 403, {}
        self.version += 1
        for address, value in changes:
            if value is not None:
                self.rows[address] = (value, self.version)
            elif self.rows.pop(address, None) is None:
                continue
            self.log.append((self.version, address, value))
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        keys = sorted(a[2] for a in self.rows if a[:2] == (table, part) and query.get("from", "") <= a[2] and ("to" not in query or a[2] < query["to"]))
        limit = min(int(query.get("limit", 500)), 500)
        return {"rows": [self.row((table, part, key)) for key in keys[:limit]], "has_more": len(keys) > limit, "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, since = query["table"], int(query["since_rev"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if self.down:
                return 503, {}
            rows = []
            for version, address, value in self.log:
                if version > since and address[0] == table:
                    row = {"table": address[0], "part": address[1], "key": address[2]}
                    rows.append(row | ({"removed": True} if value is None else {"value": value, "ver": version}))
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def put(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.transact({"puts": [{"table": table, "part": "", "key": key, "value": text}]}, operator=True)
        async with self.changed:
            self.changed.notify_all()


class Worker:
    """A worker: one request at a time on a connection, `Expect-Instance` checked, an entry in the store every 1.2 s."""

    def __init__(self, store, name, service, address, port, zone, capacity):
        self.store, self.name, self.service, self.address, self.port = store, name, service, address, port
        self.zone, self.capacity, self.sequence = zone, capacity, 0
        self.born = int(time.time() * 1000)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put("servers", self.name, {
                "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1", "capacity": self.capacity,
                "state": "ready", "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await Http.head(reader)
                await Http.body(reader, fields)
                if fields.get("expect-instance", self.name) != self.name:
                    writer.write(self.plain(421, fields, b"", "Not-Executed: 1\r\n"))
                else:
                    await self.answer(first, fields, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def plain(self, status, fields, body, more=""):
        return (f"HTTP/1.1 {status} X\r\nRequest-Id: {fields.get('request-id', '')}\r\n{more}Content-Length: {len(body)}\r\n\r\n").encode() + body


def settings(name, role, address, zone, routers, store, bootstrap, **more):
    """The settings of a process, with the fields and bounds of a small installation (DEPLOY.md)."""
    bind = {"client_addr": CLIENT_PORT, "readiness": READINESS_PORT, "control": CONTROL_PORT}
    base = {
        "node_name": name, "role": role, "instance_class": "edge" if role == "router" else "side", "serves": ["edge", "control_plane"] if role == "router" else [],
        "ip": address, "zone": zone, "region": "r", "port_range": [PROJECT_PORT, PROJECT_PORT + 15],
        "seeds": [f"{router}:{CONTROL_PORT}" for router in routers[:3]], "bootstrap": bootstrap, "in_tolerance": False, "discovery": "platform",
        "entry": "vip", "heartbeat_ms": 1200, "zones": {zone: "r"}, "bind": {key: f"{address}:{port}" for key, port in bind.items()},
        "limits": {"cpu_share": 1.0, "vcpus": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8,
                   "loss_slack_ms": 200, "apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
                   "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 8.2,
                   "settle_ms": 1500},
        "provider": {"address": f"{store.address}:{store.port}", "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0,
                     "partition_writes_s": 200, "row_bytes": 65536, "across": False, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0,
                     "blob_mb_s": 80.0}}
    return base | more


class Processes:
    """The processes that a script has started, with the commands of deploy/system.toml. All of them end with `stop`."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.commands = {role: spec["run"] for role, spec in tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"].items()}
        self.running = {}

    def start(self, name, role, fields):
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(fields))
        log = open(self.folder / f"{name}.log", "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C.UTF-8", "BAMBOOHOLD_SETTINGS": str(file)}
        self.running[name] = subprocess.Popen(shlex.split(self.commands[role]), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    def signal(self, name, number):
        self.running[name].send_signal(number)

    async def ended(self, name, most_s=10):
        """Waits for the end of a process; after `most_s` (grace_s) it is killed, as the platform does."""
        until = time.monotonic() + most_s
        while self.running[name].poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.running[name].poll() is None:
            self.running[name].kill()
        self.running[name].wait()

    def stop(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


async def ready(address):
    """Asks for readiness as the platform does."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, READINESS_PORT), 0.8)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        first, _ = await asyncio.wait_for(Http.head(reader), 0.8)
        writer.close()
        return " 200 " in first
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def until_ready(addresses, most_s=15):
    until = time.monotonic() + most_s
    while time.monotonic() < until:
        if all([await ready(address) for address in addresses]):
            return True
        await asyncio.sleep(0.1)
    return False


class Entry:
    """The platform's entry: each machine is asked once a second; two misses take it out, an answer 200 takes it in again."""

    def __init__(self, addresses):
        self.addresses, self.misses = addresses, {address: 0 for address in addresses}
        self.task = asyncio.create_task(self.watch())

    async def watch(self):
        while True:
            for address, good in zip(self.addresses, await asyncio.gather(*[ready(a) for a in self.addresses])):
                self.misses[address] = 0 if good else self.misses[address] + 1
            await asyncio.sleep(1)

    def rotation(self):
        return [a for a in self.addresses if self.misses[a] < 2] or self.addresses

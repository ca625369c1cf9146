"""BUDGET: a request that crashes the workers that run it, while all routers are killed twice (entry PoisonFleetRestTest)."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
import standins
from standins import Http

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{random.randint(32, 250)}.{random.randint(1, 250)}"
ROUTERS = [f"{NET}.{n}" for n in (1, 2, 3)]
CONTACT_S, DOWN_S = 3.0, 2.0
RECORD = []


def note(kind, **fields):
    RECORD.append({"at": round(time.monotonic() - START, 3), "what": kind} | fields)


class Fragile(standins.Worker):
    """A worker that crashes when it begins to run the request with the deadly body, and is back after two seconds."""

    down = False

    async def beat(self):
        while True:
            if not self.down:
                self.sequence += 1
                await self.store.put("servers", self.name, {
                    "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1", "capacity": self.capacity,
                    "state": "ready", "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(1.2)

    async def crash(self):
        self.down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.born, self.sequence, self.down = int(time.time() * 1000), 0, False
        self.beats.cancel()
        await self.open()

    async def serve(self, reader, writer):
        self.writers = getattr(self, "writers", set()) | {writer}
        try:
            while True:
                first, fields = await Http.head(reader)
                body = await Http.body(reader, fields)
                if fields.get("expect-instance", self.name) != self.name:
                    writer.write(self.plain(421, fields, b"", "Not-Executed: 1\r\n"))
                elif body == b"deadly":
                    RAN.append((time.monotonic(), fields["request-id"].split("/")[0]))
                    note("crash", worker=self.name, request=fields["request-id"])
                    asyncio.create_task(self.crash())
                    return
                else:
                    await asyncio.sleep(0.02)
                    writer.write(self.plain(200, fields, b"ok", "Response-Seal: s\r\n"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(router, number, body):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(router, standins.CLIENT_PORT), 1)
        writer.write(f"POST /app/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {router}/{number}\r\nDeadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        first, fields = await asyncio.wait_for(Http.head(reader), 2)
        writer.close()
        return int(first.split(" ")[1]), float(fields.get("retry-after", 0))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, 0.0


async def main(processes):
    store = standins.Store(f"{NET}.100", 8223)
    await store.open()
    await store.put("op", "config", {
        "version": 1, "tenants": [], "services": [{"name": "app", "health_path": "/health"}],
        "routes": [{"name": "app", "host": "app.example", "prefix": "/app/", "service": "app", "route_kind": "non_idempotent", "timeout_ms": 1500,
                    "goal_ms": 300, "priority": 0, "max_attempts": 1, "public": True}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}})
    workers = [Fragile(store, f"i-{n}", "app", f"{NET}.{100 + n}", 8120, "z", 6) for n in range(1, 7)]
    for worker in workers:
        await worker.open()
    start = lambda n, first: processes.start(f"router-{n}", "router", standins.settings(f"router-{n}", "router", ROUTERS[n], "z", ROUTERS, store, first))
    for n in range(len(ROUTERS)):
        start(n, True)
    if not await standins.until_ready(ROUTERS):
        return 2
    await asyncio.sleep(5)
    sound = collections.Counter()
    running = True

    async def others():
        number = 0
        while running:
            number += 1
            status, _ = await request(random.choice(ROUTERS), f"sound-{number}", b"sound")
            sound[status] += 1
            await asyncio.sleep(0.03)

    traffic = asyncio.create_task(others())
    since = time.monotonic()  # of the newest start of the routers
    number = 0

    async def copies(runs, most_s):
        """Sends copies until so many have run, at any machine, as their consumer is told to come back."""
        nonlocal number
        goal, until = len(RAN) + runs, time.monotonic() + most_s
        while len(RAN) < goal and time.monotonic() < until:
            number += 1
            router = random.choice(ROUTERS)
            status, wait = await request(router, f"copy-{number}", b"deadly")
            note("copy", machine=router, status=status, retry_after=wait)
            await asyncio.sleep(max(1.5, min(wait, 4)))

    async def kill_all():
        nonlocal since
        if not TROUBLE:
            return
        note("all routers killed")
        for n in range(len(ROUTERS)):
            processes.running[f"router-{n}"].kill()
            processes.running[f"router-{n}"].wait()
        await asyncio.sleep(1)
        for n in range(len(ROUTERS)):
            start(n, False)
        await standins.until_ready(ROUTERS)
        since = time.monotonic()
        note("all routers back")

    await copies(2, 8)
    await kill_all()
    await asyncio.sleep(CONTACT_S)
    await copies(2, 8)
    await kill_all()
    await asyncio.sleep(CONTACT_S)
    await copies(9, 40)
    running = False
    await traffic
    late = [at for at, _ in RAN if len(RAN) > 3 and at > RAN[2][0] + CONTACT_S]
    note("late runs", runs=len(RAN), late=len(late), bound=3, sound={str(k): v for k, v in sound.items()})
    return 1 if len(late) > 3 else 0


START = time.monotonic()
RAN = []
processes = standins.Processes()
code = 2
try:
    code = asyncio.run(main(processes))
finally:
    processes.stop()
    note("exit", code=code)
    (HERE / "record.txt").write_text("".join(json.dumps(line) + "\n" for line in RECORD))
    sys.stdout.write("".join(json.dumps(line) + "\n" for line in RECORD if line["what"] != "copy"))
    sys.stdout.flush()
os._exit(code)

"""Workers that are cut off from the store start again at another software version; streams of the former version go on there."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

sys.dont_write_bytecode = True
from fleet import CALLERS, WORKER, Fleet, LIMITS, answer, read_head, read_request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, PROMPT, EVENTS, STRIDE, EVENT_S = 10, 2368, 12, 3, 0.1
HEARTBEAT_S, LAPSE_BEATS = 1.2, 3
PER_S, SECONDS, ROUTERS = 30, 46, 5
# When two of the workers are cut off from the store, and for how long; when they crash after that, and how long they are away each time.
CUTS, CUT_S, CRASHES_AFTER_S, AWAY_S = (6, 18, 30), 5, (0.3, 2.3), 0.5


class Engine:
    """A model worker with a process that can crash and start again under its id, and its status reports to the store."""

    def __init__(self, store, address, name):
        self.store, self.address, self.name, self.version = store, address, name, "v1"
        self.writers, self.reports, self.cut, self.sequence = set(), None, False, 0

    async def open(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.address, WORKER, backlog=256)
        self.running = True
        self.reports = self.reports or asyncio.create_task(self.report())

    async def crash(self):
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def report(self):
        """Writes a status report every heartbeat; the store removes the entry after three of silence."""
        silent = 0
        while True:
            if self.running and not self.cut:
                silent = 0
                self.sequence += 1
                self.store.put("servers", self.name, {"service": "llm", "address": f"{self.address}:{WORKER}", "zone": "z1", "version": self.version,
                                                      "capacity": 96, "state": "ready", "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born})
            else:
                silent += 1
                if silent == LAPSE_BEATS:
                    self.store.remove("servers", self.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                number = request.get("request-id")
                if request.get("expect-instance") not in ("", self.name):
                    writer.write(answer(421, [("Request-Id", number), ("Instance-Id", self.name)]))
                else:
                    await self.run(number, int(request.get("last-event-id") or 0), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, number, last, writer):
        version = self.version
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {number}\r\nResponse-Seal: s.{number}\r\nContent-Type: text/event-stream\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            data = f"id: {event}\ndata: {version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def consume(router, number, streams):
    """One stream; notes the software versions and workers of its events."""
    head = (f"POST /llm/x HTTP/1.1\r\nHost: llm.example\r\nRequest-Id: {number}\r\nModel: m\r\nToken-Counts: {PROMPT},{EVENTS * STRIDE}\r\n"
            f"Prompt-Prefix: {random.randrange(78) + 4096:x}:568,{random.getrandbits(40):x}:1800\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-of-t1\r\nContent-Length: 6\r\n\r\nprompt")
    stream = streams[number] = {"router": router, "status": 0, "events": [], "complete": False}
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(router, CALLERS), 1)
        writer.write(head.encode())
        await asyncio.wait_for(follow(reader, stream), 6)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()


async def follow(reader, stream):
    first, _ = await read_head(reader)
    stream["status"] = int(first.split(" ")[1])
    while stream["status"] == 200 and not stream["complete"]:
        size = int(await reader.readline(), 16)
        part = (await reader.readexactly(size + 2)).decode()
        stream["complete"] = size == 0
        stream["events"] += [tuple(line.split(" ")[1:]) for line in part.split("\n") if line.startswith("data: ")]


async def trouble(cut):
    """Two workers are cut off from the store, crash, are back at the next version under their ids, and crash once more."""
    for engine in cut:
        engine.cut = True
    passed = 0
    for at in CRASHES_AFTER_S:
        await asyncio.sleep(at - passed)
        for engine in cut:
            await engine.crash()
        await asyncio.sleep(AWAY_S)
        for engine in cut:
            engine.version = "v2"
            await engine.open()
        passed = at + AWAY_S
    await asyncio.sleep(CUT_S - passed)
    for engine in cut:
        engine.cut = False


async def play(fleet, record):
    await fleet.store.open()
    engines = [Engine(fleet.store, f"{fleet.net}.{101 + number}", f"i-{number}") for number in range(WORKERS)]
    for engine in engines:
        await engine.open()
    route = {"name": "r-1", "host": "llm.example", "prefix": "/llm/", "route_kind": "streaming", "timeout_ms": 4000, "goal_ms": 600, "priority": 0,
             "service": "llm", "max_attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_target_ms": 300}
    engine = {"capacity": 96, "kv_capacity": 273304, "kv_token_bytes": 131072, "stride": STRIDE, "models": [{"name": "m"}]}
    fleet.store.put("op", "config", {"version": 7, "routes": [route], "limits": LIMITS, "tenants": [{"name": "t1", "api_keys": ["key-of-t1"]}],
                                     "services": [{"name": "llm", "health_path": "/health", "max_conns": 500, "protocol": "h1", "tls": False, "engine": engine}]})
    for number in range(len(fleet.routers)):
        fleet.start_router(number)
    for number in range(len(fleet.routers)):
        if not await fleet.ready(number):
            return 2
    await asyncio.sleep(3)
    streams, calls, troubles = {}, [], []
    begun = time.monotonic()
    number = 0
    while time.monotonic() < begun + SECONDS:
        if TROUBLE and len(troubles) < len(CUTS) and time.monotonic() >= begun + CUTS[len(troubles)]:
            troubles.append(asyncio.create_task(trouble(engines[2 * len(troubles):2 * len(troubles) + 2])))
        calls.append(asyncio.create_task(consume(fleet.routers[number % len(fleet.routers)], f"stream-{number}", streams)))
        number += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls, *troubles)
    mixed = {name: stream for name, stream in streams.items() if len({version for version, _ in stream["events"]}) > 1}
    moved = sum(len(set(stream["events"])) > 1 for stream in streams.values())
    told = collections.Counter(stream["status"] for stream in streams.values())
    at_v2 = sum(any(version == "v2" for version, _ in stream["events"]) for stream in streams.values())
    record.append(f"streams with events of v2: {at_v2}")
    record.append(f"sent {number} streams; told {dict(told)}; complete {sum(stream['complete'] for stream in streams.values())}; went on at another worker {moved}")
    for name, stream in mixed.items():
        record.append(f"{name} at router {stream['router']}: " + " ".join("/".join(event) for event in stream["events"]))
    record.append(f"streams with events of two versions: {len(mixed)}")
    return 2 if told[200] < number / 2 else int(len(mixed) > 2)


async def play_and_stop(fleet, record):
    try:
        return await play(fleet, record)
    finally:
        fleet.stop()


def main():
    record = [f"TROUBLE={int(TROUBLE)}"]
    fleet = Fleet(routers=ROUTERS)
    try:
        result = asyncio.run(play_and_stop(fleet, record))
    except OSError as error:
        record.append(f"could not run: {error}")
        result = 2
    record.append({0: "held", 1: "BROKEN: ORDER", 2: "could not run"}[result])
    pathlib.Path(__file__).with_name("record.txt").write_text("\n".join(record) + "\n")
    print("\n".join(record[:3] + record[-2:]))
    return result


if __name__ == "__main__":
    sys.exit(main())

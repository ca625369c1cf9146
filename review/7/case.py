"""A worker in trouble sends an event whose id runs on, and bytes without end after it; the router that takes the stream up elsewhere crashes."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

sys.dont_write_bytecode = True
from fleet import WORKER, Fleet, LIMITS, answer, call, read_request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, PROMPT, EVENTS, STRIDE = 4, 2368, 8, 3
# The worker in trouble spoils one answer in fifty of those that it begins.
SPOILT_ONE_IN = 50
SPOILT_ID_BYTES = 70_000
PER_S, SECONDS, RESTART_S = 25, 60, 1


class Engine:
    """A model worker. The one in trouble spoils some of its answers."""

    def __init__(self, address, name, faulty):
        self.address, self.name, self.faulty = address, name, faulty
        self.begun, self.spoilt = 0, 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, WORKER, backlog=256)

    async def serve(self, reader, writer):
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
            writer.close()

    async def run(self, number, last, writer):
        self.begun += 1
        spoils = self.faulty and self.begun % SPOILT_ONE_IN == SPOILT_ONE_IN - 1
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {number}\r\nResponse-Seal: s.{number}\r\nContent-Type: text/event-stream\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(last + 1, EVENTS + 1):
            await asyncio.sleep(0.02)
            if spoils and event == 4:
                self.spoilt += 1
                await self.spoil(writer)
            await self.send(writer, f"id: {event}\ndata: {number}.{event}\n\n".encode())
        writer.write(b"0\r\n\r\n")

    async def send(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()

    async def spoil(self, writer):
        """Bytes that are no answer, without end, until the caller closes."""
        await self.send(writer, b"id: " + b"4" * SPOILT_ID_BYTES + b"\n\n")
        while True:
            await self.send(writer, b"4" * 16384)
            await asyncio.sleep(0.005)


async def consume(router, number, told):
    fields = [("Host", "llm.example"), ("Request-Id", number), ("Model", "m"), ("Token-Counts", f"{PROMPT},{EVENTS * STRIDE}"),
              ("Prompt-Prefix", f"5c1e07a2:568,{random.getrandbits(32):x}:1800"), ("Deadline-Ms", "4000"), ("Authorization", "Token key-of-t1")]
    try:
        status, _, _ = await call(router, "POST", "/llm/x", fields, b"prompt", timeout=4)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        status = type(error).__name__
    told[str(status)] += 1


async def platform(fleet, ends):
    """Starts a process that has ended again after a short delay."""
    while True:
        for number, _ in enumerate(fleet.routers):
            process = fleet.processes[f"router-{number}"]
            if process.poll() is not None:
                ends[f"router-{number}"].append(process.returncode)
                await asyncio.sleep(RESTART_S)
                fleet.start_router(number)
        await asyncio.sleep(0.02)


async def play(fleet, record):
    await fleet.store.open()
    engines = [Engine(f"{fleet.net}.{101 + number}", f"i-{number}", TROUBLE and number == 0) for number in range(WORKERS)]
    for engine in engines:
        await engine.open()
        fleet.store.put("servers", engine.name, {"service": "llm", "address": f"{engine.address}:{WORKER}", "zone": "z1", "version": "v1", "capacity": 96,
                                                 "state": "ready", "warmup_left_ms": 0, "sequence": 1})
    route = {"name": "r-1", "host": "llm.example", "prefix": "/llm/", "route_kind": "streaming", "timeout_ms": 4000, "goal_ms": 600, "priority": 0,
             "service": "llm", "max_attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_target_ms": 300}
    engine = {"capacity": 96, "kv_capacity": 273304, "kv_token_bytes": 131072, "stride": STRIDE, "models": [{"name": "m"}]}
    fleet.store.put("op", "config", {"version": 7, "routes": [route], "limits": LIMITS, "tenants": [{"name": "t1", "api_keys": ["key-of-t1"]}],
                                     "services": [{"name": "llm", "health_path": "/health", "max_conns": 500, "protocol": "h1", "tls": False, "engine": engine}]})
    ends, told = collections.defaultdict(list), collections.Counter()
    for number in range(len(fleet.routers)):
        fleet.start_router(number)
    for number in range(len(fleet.routers)):
        if not await fleet.ready(number):
            return 2
    await asyncio.sleep(3)
    watch = asyncio.create_task(platform(fleet, ends))
    calls, begun, number = [], time.monotonic(), 0
    while time.monotonic() < begun + SECONDS:
        calls.append(asyncio.create_task(consume(fleet.routers[number % len(fleet.routers)], f"stream-{number}", told)))
        number += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)
    watch.cancel()
    record.append(f"sent {number} streams; told {dict(told)}")
    record.append(f"begun at the workers {[engine.begun for engine in engines]}, spoilt {engines[0].spoilt}")
    record.append(f"processes that ended by themselves, with the signals: {dict(ends)}")
    return int(sum(len(codes) >= 3 for codes in ends.values()) >= 2)


async def play_and_stop(fleet, record):
    try:
        return await play(fleet, record)
    finally:
        fleet.stop()


def main():
    record = [f"TROUBLE={int(TROUBLE)}"]
    fleet = Fleet(routers=2)
    try:
        result = asyncio.run(play_and_stop(fleet, record))
    except OSError as error:
        record.append(f"could not run: {error}")
        result = 2
    record.append({0: "held", 1: "BROKEN: Fault", 2: "could not run"}[result])
    pathlib.Path(__file__).with_name("record.txt").write_text("\n".join(record) + "\n")
    print("\n".join(record))
    return result


if __name__ == "__main__":
    sys.exit(main())

"""A trial of the routers on the platform under overload: three targets get three times what they can do, and a router is stopped in the middle."""

import asyncio
import base64
import collections
import json
import os
import pathlib
import signal
import time

import fleetlib

BUILD = fleetlib.ROOT / "build" / "platform"
STORE = "127.21.0.1:7310"
ROUTERS = ("127.21.1.1", "127.21.1.2")
TARGETS = ("127.21.2.1", "127.21.2.2", "127.21.2.3")
CALLER_PORT, READINESS_PORT, LINK_PORT, TARGET_PORT, RELAY_PORT = 8227, 8220, 8229, 8080, 7340
SLOTS = 4
QUEUED = 8
RUN_SECONDS = 0.1
# Three times what the targets can run.
OFFERED_PER_SECOND = 3 * len(TARGETS) * SLOTS / RUN_SECONDS
CALL_SECONDS = 6
STOP_AFTER_SECONDS = 3
CALLER_TIMEOUT_MS = 2000
ROUTES = {"urgent": 0, "ordinary": 1, "background": 2}
REFUSALS = (429, 503)


class Target:
    """A target with few slots and a short queue. It keeps a journal of the requests that it ran."""

    def __init__(self, address):
        self.address = address
        self.slots = asyncio.Semaphore(SLOTS)
        self.in_service = 0
        self.ran = collections.Counter()

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                fields = {name.lower(): value for name, value in fields.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                writer.write(await self.answer(fields["request-id"]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        """Runs a request, or declines it when the queue is full; returns the bytes of the response."""
        if self.in_service >= SLOTS + QUEUED:
            return f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        self.in_service += 1
        async with self.slots:
            self.ran[request] += 1
            await asyncio.sleep(RUN_SECONDS)
        self.in_service -= 1
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: s\r\nContent-Length: {len(request)}\r\n\r\n"
        return (head + request).encode()


async def call(router, number, outcomes):
    """Sends one request on a connection of its own and notes what its caller is told, with the time until then."""
    route = list(ROUTES)[number % len(ROUTES)]
    request = f"{route}-{number}"
    started = time.monotonic()
    told = "not connected"
    try:
        reader, writer = await asyncio.open_connection(router, CALLER_PORT)
        told = "cut"
        head = f"POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {request}\r\nDeadline-Ms: {CALLER_TIMEOUT_MS}\r\n"
        writer.write((head + "Connection: close\r\nContent-Length: 4\r\n\r\nbody").encode())
        response = (await reader.read(-1)).decode()
        writer.close()
        status = int(response.split(" ", 2)[1]) if response.startswith("HTTP/1.1 ") else 0
        if status == 200:
            told = "answered" if response.endswith("\r\n\r\n" + request) else "crossed or cut"
        elif status:
            told = status
    except OSError:
        pass
    outcomes[request] = (route, told, time.monotonic() - started)


def settings(address):
    """The settings of the router, or of the relay, at an address, as the platform writes them."""
    bind = {"client_addr": CALLER_PORT, "readiness": READINESS_PORT, "control": LINK_PORT}
    return {"node_name": address, "zone": "z", "ip": address, "bootstrap": True, "port_range": [RELAY_PORT, RELAY_PORT + 1],
            "seeds": [f"{router}:{LINK_PORT}" for router in ROUTERS], "app": f"{address}:{TARGET_PORT}",
            "bind": {name: f"{address}:{port}" for name, port in bind.items()}, "limits": {"memory_mb": 160, "link_mbps": 1000.0},
            "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58}, "provider": {"address": STORE}}


def start(name, program, address):
    """Starts a program with the settings of an address; returns its process id."""
    file = fleetlib.RUN / f"{name}.json"
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(settings(address)))
    return fleetlib.start(name, [BUILD / program, f"--settings={file}"])


def write_rows():
    """Writes the configuration and the records of the targets to the store."""
    routes = [{"name": name, "host": "app.example", "prefix": f"/{name}/", "route_kind": "non_idempotent", "timeout_ms": CALLER_TIMEOUT_MS,
               "goal_ms": 500, "priority": priority, "service": "app", "max_attempts": 1, "public": True} for name, priority in ROUTES.items()]
    rows = {("op", "config"): {"version": 1, "routes": routes, "services": [{"name": "app"}], "tenants": []}}
    for address in TARGETS:
        rows["servers", f"i-{address}"] = {"service": "app", "address": f"{address}:{TARGET_PORT}", "zone": "z", "version": "v1", "capacity": SLOTS,
                                           "state": "ready", "warmup_left_ms": 0, "sequence": 1}
    puts = [{"table": table, "part": "", "key": key, "value": base64.b64encode(json.dumps(row).encode()).decode()} for (table, key), row in rows.items()]
    status, _, _ = fleetlib.call(STORE, "/-/rows-tx", "POST", json.dumps({"if_rev": [], "puts": puts, "remove": []}))
    if status != 200:
        raise fleetlib.FleetError(f"the store answered {status}")


async def overload(pids):
    """Sends the load, and stops the first router in the middle of it. Returns the targets and what the callers were told."""
    targets = [Target(address) for address in TARGETS]
    servers = [await asyncio.start_server(target.serve, target.address, TARGET_PORT, backlog=1024) for target in targets]
    outcomes, calls = {}, []
    started = time.monotonic()
    stopped = False
    for number in range(int(OFFERED_PER_SECOND * CALL_SECONDS)):
        await asyncio.sleep(max(0, started + number / OFFERED_PER_SECOND - time.monotonic()))
        if not stopped and number > OFFERED_PER_SECOND * STOP_AFTER_SECONDS:
            stopped = True
            os.kill(pids["router-1"], signal.SIGTERM)
        calls.append(asyncio.create_task(call(ROUTERS[number // 2 % len(ROUTERS)], number, outcomes)))
    await asyncio.wait(calls, timeout=fleetlib.STOP_SECONDS)
    for server in servers:
        server.close()
    return targets, outcomes


def report(targets, outcomes, offered):
    """Compares what callers were told with what the targets ran."""
    ran = sum((target.ran for target in targets), collections.Counter())
    answered = collections.Counter(route for route, told, _ in outcomes.values() if told == "answered")
    refused = {request for request, (_, told, _) in outcomes.items() if told in REFUSALS}
    delays = sorted(delay for _, told, delay in outcomes.values() if told in REFUSALS)
    return {"trial": "overload", "requests": offered, "answered": dict(answered), "told": dict(collections.Counter(str(told) for _, told, _ in outcomes.values())),
            "without_an_answer": offered - len(outcomes), "cut": sum(told in ("cut", "crossed or cut") for _, told, _ in outcomes.values()),
            "refused_but_run": sum(request in ran for request in refused), "run_twice": sum(count > 1 for count in ran.values()),
            "refused_after_s": [round(delays[len(delays) // 2], 3), round(delays[-1], 3)] if delays else []}


def is_clean(result):
    """True when every request that was read got a true answer, and the urgent ones were served most."""
    wrong = result["without_an_answer"] + result["cut"] + result["refused_but_run"] + result["run_twice"]
    served = [result["answered"].get(route, 0) for route in ROUTES]
    return wrong == 0 and served[0] >= served[1] >= served[2] > 0


def main():
    pids = {"store": fleetlib.start("store", [BUILD / "bamboohold-rows", f"--address={STORE.split(':')[0]}", f"--port={STORE.split(':')[1]}"])}
    try:
        fleetlib.wait_until(lambda: fleetlib.listens(STORE), "the store's start")
        write_rows()
        for number, address in enumerate(ROUTERS, 1):
            pids[f"router-{number}"] = start(f"router-{number}", "bamboohold-router", address)
        for number, address in enumerate(TARGETS, 1):
            pids[f"relay-{number}"] = start(f"relay-{number}", "bamboohold-relay", address)
        for address in ROUTERS:
            fleetlib.wait_until(lambda address=address: fleetlib.answers(f"{address}:{READINESS_PORT}", "/-/ready"), "a router's readiness")
        targets, outcomes = asyncio.run(overload(pids))
    finally:
        fleetlib.stop(list(pids.values()))
    result = report(targets, outcomes, int(OFFERED_PER_SECOND * CALL_SECONDS))
    print(json.dumps(result))
    return result


if __name__ == "__main__":
    raise SystemExit(0 if is_clean(main()) else 1)

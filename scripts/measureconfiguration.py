"""Time from the store's acknowledgement of a configuration until a router has it in force, over links of a given speed.

Each router has a stand-in store of its own behind a proxy that passes bytes at the link's speed, so that no other router helps it. The
configuration changes several times in a row; what counts is when the router has a change or a newer one in force, and that it has the last.
"""

import asyncio
import base64
import json
import pathlib
import statistics
import subprocess
import tempfile
import time

import fleetlib

PLATFORM = fleetlib.ROOT / "build" / "platform"
ROUTES = (100, 1400, 10000, 40000)
LINKS_MBPS = (10, 200)
ANSWER_MS = (4, 200)
INTERVALS_S = (0.1, 0.5, 3.0)
CHANGES = 6
MOST_TEAMS = 12000
# Teams with a budget, if not told otherwise. The router of a case is the only keeper of all of them and reads each once a second; with
# 1,400 it draws them all in its first seconds, which is a load of its own.
BUDGETS = 24
# In force this long after its acknowledgement at the latest, where the link carries the document in that time at all.
BOUND_S = 3.0
# A document that is not in force by then is missed.
PATIENCE_S = 60.0
PIECE = 16 * 1024


def document(version, routes, budgets):
    """A configuration in the form in which operators write it."""
    kind = {"route_kind": "idempotent", "timeout_ms": 800, "goal_ms": 300, "priority": 2, "service": "service-1", "max_attempts": 2, "public": False}
    entries = [{"name": f"route-{index}", "host": "app.example", "prefix": f"/p{index}/", **kind} for index in range(routes)]
    teams = [{"name": f"team-{index}", "api_keys": [f"key-{index:016}"], **({"prepaid": 1000000} if index < budgets else {})}
             for index in range(min(routes, MOST_TEAMS))]
    services = [{"name": "service-1", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}]
    return json.dumps({"version": version, "routes": entries, "services": services, "tenants": teams}, separators=(",", ":"))


class Link:
    """A proxy that passes bytes towards the caller at a given speed, shared by all its connections."""

    def __init__(self, mbps, upstream):
        self.bytes_a_second = mbps * 1e6 / 8
        self.upstream = upstream
        self.free_at = 0.0
        self.carried = 0
        self.server = None

    async def open(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.upstream)
            await asyncio.gather(self.carry(reader, up_writer, False), self.carry(up_reader, writer, True))
        except OSError:
            writer.close()
        except asyncio.CancelledError:
            # The case is over; what is still on the link is of no use, and a task that ends as cancelled is reported as a fault.
            writer.close()

    async def carry(self, reader, writer, slow):
        try:
            while data := await reader.read(PIECE):
                if slow:
                    now = time.monotonic()
                    self.free_at = max(self.free_at, now) + len(data) / self.bytes_a_second
                    self.carried += len(data)
                    await asyncio.sleep(max(0.0, self.free_at - now))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def settings(address, store_port):
    """What the platform writes for a router."""
    return {"node_name": address, "zone": "here", "bootstrap": True, "seeds": [], "ip": address, "port_range": [7340, 7355],
            "bind": {"client_addr": f"{address}:8080", "readiness": f"{address}:8081", "control": f"{address}:8082"},
            "bounds": {"grace_s": 2, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58},
            "provider": {"address": f"{address}:{store_port}"}}


def put(address, port, version, text):
    """Writes a configuration; returns when the store had it, in Unix seconds."""
    row = {"table": "op", "part": "", "key": "config", "value": base64.b64encode(text.encode()).decode()}
    body = json.dumps({"if_rev": [], "puts": [row], "remove": []})
    status, _ = fleetlib.call_json(f"http://{address}:{port}", "/-/rows-tx", method="POST", body=body, headers={"Content-Type": "application/json"})
    if status != 200:
        raise fleetlib.FleetError(f"version {version}: the store answered {status}")
    return time.time()


def in_force(log):
    """When each version came into force, by the router's own lines."""
    times = {}
    for line in log.read_text().splitlines():
        if '"plan.in_force"' in line:
            entry = json.loads(line)
            times[entry["version"]] = entry["time_ms"] / 1000
    return times


def processor_seconds(pid):
    """Processor time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def peak_mb(pid):
    """Most memory that a process has had."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


async def case(number, routes, mbps, answer_ms, interval, budgets):
    """One router, one combination."""
    address = f"127.30.{number // 200}.{number % 200 + 1}"
    texts = [document(version, routes, budgets) for version in range(1, CHANGES + 2)]
    with tempfile.TemporaryDirectory() as folder:
        file, log = pathlib.Path(folder) / "settings.json", pathlib.Path(folder) / "log"
        file.write_text(json.dumps(settings(address, 7301)))
        store = subprocess.Popen([PLATFORM / "bamboohold-rows", f"--address={address}", "--port=7300", f"--answer_ms={answer_ms}"])
        link = Link(mbps, (address, 7300))
        router = None
        try:
            await link.open(address, 7301)
            await asyncio.to_thread(fleetlib.wait_until, lambda: fleetlib.answers(f"http://{address}:7300", "/-/rows-get?table=op&part="), "the store's start")
            acknowledged = {1: await asyncio.to_thread(put, address, 7300, 1, texts[0])}
            with log.open("wb") as output:
                started = time.time()
                router = subprocess.Popen([PLATFORM / "bamboohold-router", f"--settings={file}"], stdout=output, stderr=subprocess.STDOUT)
            await reached(log, 1)
            begun, carried = processor_seconds(router.pid), link.carried
            for version in range(2, CHANGES + 2):
                acknowledged[version] = await asyncio.to_thread(put, address, 7300, version, texts[version - 1])
                await asyncio.sleep(interval)
            await reached(log, CHANGES + 1)
            times = in_force(log)
            lags = [min((at for newer, at in times.items() if newer >= version), default=float("inf")) - acknowledged[version]
                    for version in range(2, CHANGES + 2)]
            size = len(texts[-1])
            wire_s = size * 4 / 3 * 8 / (mbps * 1e6)
            return {"routes": routes, "bytes": size, "link_mbps": mbps, "answer_ms": answer_ms, "change_every_s": interval, "budgets": budgets,
                    "first_after_start_s": round(times.get(1, float("inf")) - started, 2),
                    "median_s": round(statistics.median(lags), 2), "worst_s": round(max(lags), 2),
                    "missed": int(CHANGES + 1 not in times), "link_alone_s": round(wire_s, 2),
                    "bytes_a_change": (link.carried - carried) // CHANGES,
                    "processor_s_a_change": round((processor_seconds(router.pid) - begun) / CHANGES, 3), "peak_mb": round(peak_mb(router.pid), 1)}
        finally:
            link.server.close()
            # Not asked to end in good order: that needs the link, which this loop carries.
            for process in (router, store):
                if process:
                    process.kill()
                    process.wait()


async def reached(log, version):
    """Waits until a version is in force, or patience ends."""
    deadline = time.monotonic() + PATIENCE_S
    while version not in in_force(log) and time.monotonic() < deadline:
        await asyncio.sleep(0.02)


async def all_cases(least_routes, most_routes, budgets):
    number, late = 0, 0
    for routes in (size for size in ROUTES if least_routes <= size <= most_routes):
        for mbps in LINKS_MBPS:
            runs = [case(number + index, routes, mbps, answer_ms, interval, budgets)
                    for index, (answer_ms, interval) in enumerate((a, i) for a in ANSWER_MS for i in INTERVALS_S)]
            number += len(runs)
            for row in await asyncio.gather(*runs):
                row["in_time"] = row["missed"] == 0 and row["worst_s"] <= max(BOUND_S, 3 * row["link_alone_s"])
                late += not row["in_time"]
                print(json.dumps(row), flush=True)
    return 1 if late else 0


def main(least_routes, most_routes, budgets):
    """Runs every combination; 1 when one was late or missed a change."""
    return asyncio.run(all_cases(least_routes, most_routes, budgets))

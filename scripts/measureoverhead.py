"""What router and sidecar add: the same work straight to an engine stand-in and through the fleet, in one run."""

import json
import os
import pathlib
import statistics
import subprocess
import sys

import fleetlib

ROUNDS = 5
QUIET_REQUESTS = 300
FAST_ENGINE = ("--token_us=1", "--prompt_token_us=0", "--workers=2")
INVENTORY = fleetlib.RUN / "overhead.json"
TARGETS = 2
SLOTS = 512


def inventory():
    """One entry host and a few targets with many slots and no delay of their own."""
    hosts = [{"name": "entry", "failure_domain": "d", "address": "127.40.1.1", "role": "entry"}]
    targets = []
    for number in range(TARGETS):
        hosts.append({"name": f"worker-{number}", "failure_domain": "d", "address": f"127.40.1.{10 + number}", "role": "target"})
        targets.append({"name": f"target-{number}", "host": f"worker-{number}", "model": "m", "slots": SLOTS})
    return {"name": "overhead", "failure_domains": [{"name": "d"}], "hosts": hosts, "models": [{"name": "m", "version": "1"}], "targets": targets,
            "budgets": [{"name": "b", "prepaid": 10**12}], "teams": [{"name": "t", "budget": "b"}], "access": [{"team": "*", "models": ["m"]}]}


def load(url, key="", **options):
    """Runs the load tool; returns its line."""
    command = [str(fleetlib.BUILD / "bamboohold-load"), f"--url={url.removeprefix('http://')}", f"--key={key}"]
    command += [f"--{name}={value}" for name, value in options.items()]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    line = json.loads(result.stdout)
    if line["failed"]:
        print(f"{line['failed']} requests failed", file=sys.stderr)
    return line


def cpu_seconds(pid):
    """Processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def busy(fleet, key, **options):
    """Load on the router, with the processor time that router and sidecars took."""
    pids = [fleet["routers"][0]["pid"], *(sidecar["pid"] for sidecar in fleet["sidecars"])]
    before = [cpu_seconds(pid) for pid in pids]
    line = load(fleet["routers"][0]["url"], key, **options)
    used = [after - start for after, start in zip(map(cpu_seconds, pids), before)]
    return line, used[0], sum(used[1:])


def main():
    fleetlib.RUN.mkdir(exist_ok=True)
    INVENTORY.write_text(json.dumps(inventory()))
    fleet = fleetlib.up(INVENTORY, 1, router_flags=("--workers=3",), engine_flags=FAST_ENGINE)
    try:
        key = fleet["teams"][0]["key"]
        router, engine = fleet["routers"][0]["url"], fleet["engines"][0]["url"]
        load(router, key, requests=500, connections=8)
        quiet = {"requests": QUIET_REQUESTS, "connections": 1, "stream": "true", "max_tokens": 8, "workers": 1}
        pairs = [(load(engine, **quiet), load(router, key, **quiet)) for _ in range(ROUNDS)]
        direct = [pair[0]["first_byte_ms_median"] for pair in pairs]
        through = [pair[1]["first_byte_ms_median"] for pair in pairs]
        plain, router_cpu, sidecar_cpu = busy(fleet, key, requests=40000, connections=64, max_tokens=1)
        streamed, stream_cpu, _ = busy(fleet, key, requests=1500, connections=64, max_tokens=1024, stream="true")
        print(json.dumps({
            "rounds": ROUNDS,
            "first_token_ms_direct_median": statistics.median(direct),
            "first_token_ms_through_median": statistics.median(through),
            "ratio_of_medians": statistics.median(through) / statistics.median(direct),
            "added_ms_median": statistics.median(through) - statistics.median(direct),
            "added_ms_p99": statistics.median(pair[1]["first_byte_ms_p99"] - pair[0]["first_byte_ms_p99"] for pair in pairs),
            "requests_per_second": plain["requests_per_second"],
            "requests_failed": plain["failed"] + streamed["failed"],
            "router_cpu_ms_per_request": router_cpu * 1e3 / max(1, plain["answered"]),
            "sidecar_cpu_ms_per_request": sidecar_cpu * 1e3 / max(1, plain["answered"]),
            "streamed_tokens_per_second": streamed["streamed_tokens_per_second"],
            "router_cpu_us_per_streamed_token": stream_cpu * 1e6 / max(1, 1024 * streamed["answered"]),
        }))
    finally:
        fleetlib.down()
    return 0

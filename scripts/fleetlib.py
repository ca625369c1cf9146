"""Starts and stops a fleet on loopback: every host of an inventory has an address of its own in 127.0.0.0/8."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "src"
# What a fleet runs.
PROGRAMS = ("bamboohold", "bambooholdd", "bamboohold-engine", "bamboohold-platform")
RUN = ROOT / "run"
FLEET_FILE = RUN / "fleet.json"
CALLER_PORT = 8080
OPERATIONS_PORT = 7401
LINK_PORT = 7400
PLATFORM_PORT = 7300
START_SECONDS = 30
STOP_SECONDS = 40


class FleetError(Exception):
    """The fleet cannot be started, or is not there."""


def call(url, path, method="GET", body=None, headers=None, timeout=30):
    """One HTTP call; returns status, headers and body."""
    connection = http.client.HTTPConnection(url.removeprefix("http://"), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def call_json(url, path, **options):
    """One HTTP call whose answer is JSON."""
    status, _, body = call(url, path, **options)
    return status, json.loads(body)


def answers(url, path):
    """True when the path answers 200."""
    try:
        return call(url, path, timeout=2)[0] == 200
    except OSError:
        return False


def listens(address):
    """True when a connection to ADDRESS:PORT is accepted."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=2):
            return True
    except OSError:
        return False


def wait_until(condition, what, seconds=START_SECONDS):
    """Waits for a condition; FleetError when it does not come."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"{what} did not happen within {seconds} s; see {RUN / 'log'}")
        time.sleep(0.02)


def start(name, command):
    """Starts a process with its log under run/log; returns its pid."""
    log = RUN / "log" / f"{name}.log"
    log.parent.mkdir(parents=True, exist_ok=True)
    with open(log, "ab") as output:
        process = subprocess.Popen([str(part) for part in command], stdout=output, stderr=output, stdin=subprocess.DEVNULL,
                                   start_new_session=True, cwd=ROOT)
    return process.pid


def alive(pid):
    """True while the process runs and is one of ours (a pid can be used again)."""
    try:
        executable = os.readlink(f"/proc/{pid}/exe")
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return executable.startswith(str(BUILD.parent)) and state != "Z"


def stop(pids, seconds=STOP_SECONDS):
    """Asks processes to end in good order and kills those that do not."""
    for pid in filter(alive, pids):
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + seconds
    while any(map(alive, pids)) and time.monotonic() < deadline:
        for pid in pids:
            try:
                os.waitpid(pid, os.WNOHANG)
            except ChildProcessError:
                pass
        time.sleep(0.02)
    for pid in filter(alive, pids):
        os.kill(pid, signal.SIGCONT)
        os.kill(pid, signal.SIGKILL)


def load():
    """The running fleet's description."""
    if not FLEET_FILE.exists():
        raise FleetError("no fleet is up: run/fleet.json is missing; start one with scripts/fleet up")
    return json.loads(FLEET_FILE.read_text())


def client(fleet, *words):
    """Runs the operators' client against the fleet's platform; returns its JSON output, or its text when it is not JSON."""
    command = [BUILD / "bamboohold", f"--platform={fleet['platform']['url'].removeprefix('http://')}", *words]
    result = subprocess.run([str(part) for part in command], capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise FleetError(f"bamboohold {' '.join(words)}: {result.stderr.strip()}")
    return json.loads(result.stdout) if "--output=json" in words else result.stdout


def entry_hosts(inventory, count, octet):
    """The first entry hosts of the inventory, and as many more as are asked for."""
    hosts = [host for host in inventory["hosts"] if host["role"] == "entry"]
    domains = [domain["name"] for domain in inventory["failure_domains"]]
    while len(hosts) < count:
        number = len(hosts) + 1
        hosts.append({"name": f"extra-entry-{number}", "failure_domain": domains[number % len(domains)], "address": f"127.{octet}.200.{number}"})
    return hosts[:count]


def router_command(host, platform, extra):
    """The command line of a router."""
    return [BUILD / "bambooholdd", "--role=router", f"--host={host['name']}", f"--failure_domain={host['failure_domain']}",
            f"--address={host['address']}", f"--caller_port={CALLER_PORT}", f"--operations_port={OPERATIONS_PORT}",
            f"--link_port={LINK_PORT}", f"--platform={platform}", *extra]


def start_router(host, platform, extra):
    """Starts a router; returns its entry for fleet.json."""
    command = router_command(host, platform, extra)
    pid = start(host["name"], command)
    return {"name": host["name"], "url": f"http://{host['address']}:{CALLER_PORT}", "operations_url": f"http://{host['address']}:{OPERATIONS_PORT}",
            "pid": pid, "command": [str(part) for part in command]}


def start_target(target, host, platform, engine_flags, sidecar_flags=()):
    """Starts a target's engine or plain service and its sidecar; returns their entries for fleet.json."""
    engine_address = f"{host['address']}:{target.get('engine_port', 9000)}"
    command = [BUILD / "bamboohold-engine", f"--address={host['address']}", f"--port={target.get('engine_port', 9000)}", f"--slots={target['slots']}"]
    command += [f"--model={target['model']}"] if "model" in target else ["--plain_service=true"]
    command += engine_flags
    engine = {"name": f"engine-{target['name']}", "target": target["name"], "url": f"http://{engine_address}",
              "pid": start(f"engine-{target['name']}", command), "command": [str(part) for part in command]}
    operations = target.get("operations_port", OPERATIONS_PORT)
    command = [BUILD / "bambooholdd", "--role=sidecar", f"--host={host['name']}", f"--failure_domain={host['failure_domain']}",
               f"--address={host['address']}", f"--operations_port={operations}", f"--link_port={target.get('link_port', LINK_PORT)}",
               f"--platform={platform}", f"--target={target['name']}", f"--engine={engine_address}", f"--slots={target['slots']}", "--workers=1",
               *sidecar_flags]
    sidecar = {"name": f"sidecar-{target['name']}", "target": target["name"], "url": f"http://{host['address']}:{operations}",
               "pid": start(f"sidecar-{target['name']}", command), "command": [str(part) for part in command]}
    return engine, sidecar


def fleet_pids(fleet):
    """Pids in the order in which they are stopped: routers settle first, the platform goes last."""
    groups = [[entry["pid"] for entry in fleet[group]] for group in ("routers", "sidecars", "engines")]
    return [*groups, [fleet["platform"]["pid"]]]


def up(inventory_file, routers, router_flags=(), engine_flags=(), sidecar_flags=()):
    """Starts the fleet of an inventory and waits until it serves; returns its description, also written to run/fleet.json."""
    if FLEET_FILE.exists() and any(alive(pid) for group in fleet_pids(load()) for pid in group):
        raise FleetError("a fleet is up already; stop it with scripts/fleet down")
    inventory = json.loads(pathlib.Path(inventory_file).read_text())
    octet = inventory["hosts"][0]["address"].split(".")[1]
    platform = f"127.{octet}.0.1:{PLATFORM_PORT}"
    RUN.mkdir(exist_ok=True)
    keys_file = RUN / "keys.json"
    keys_file.unlink(missing_ok=True)
    fleet = {"inventory": str(inventory_file), "routers": [], "sidecars": [], "engines": [], "teams": []}
    pid = start("platform", [BUILD / "bamboohold-platform", f"--address={platform.split(':')[0]}", f"--port={PLATFORM_PORT}"])
    fleet["platform"] = {"url": f"http://{platform}", "pid": pid}
    try:
        wait_until(lambda: answers(fleet["platform"]["url"], "/healthz"), "the platform's start")
        client(fleet, "inventory", "import", str(inventory_file), f"--issue-keys={keys_file}")
        hosts = {host["name"]: host for host in inventory["hosts"]}
        for host in hosts.values():
            call(fleet["platform"]["url"], f"/v1/hosts?host={host['name']}&state=live", method="POST")
        for target in inventory["targets"]:
            engine, sidecar = start_target(target, hosts[target["host"]], platform, engine_flags, sidecar_flags)
            fleet["engines"].append(engine)
            fleet["sidecars"].append(sidecar)
        for host in entry_hosts(inventory, routers, octet):
            fleet["routers"].append(start_router(host, platform, router_flags))
        keys = json.loads(keys_file.read_text())
        fleet["teams"] = [{"name": team["name"], "key": keys[team["name"]], "budget": team["budget"]} for team in inventory["teams"]]
        FLEET_FILE.write_text(json.dumps(fleet, indent=2) + "\n")
        wait_until(lambda: all(answers(entry["url"], "/readyz") for entry in fleet["routers"] + fleet["sidecars"]), "readiness")
        wait_until(lambda: all(targets_usable(router) for router in fleet["routers"]), "the routers' first reports of all targets")
    except BaseException:
        for group in fleet_pids(fleet):
            stop(group, seconds=2)
        raise
    return fleet


def targets_usable(router):
    """True when the router has a report of every target."""
    _, status = call_json(router["operations_url"], "/status")
    return bool(status["targets"]) and all(target["usable"] for target in status["targets"])


def down():
    """Stops the running fleet."""
    fleet = load()
    for group in fleet_pids(fleet):
        stop(group)
    FLEET_FILE.unlink()

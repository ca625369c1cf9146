"""A trial on running processes: callers send requests while faults are brought about, then the engines' journals, the ledger and the budgets are
compared."""

import collections
import http.client
import json
import os
import signal
import socket
import threading
import time
import zlib

import fleetlib

MODEL = "dossier-draft"
SETTLE_SECONDS = 45


class Caller(threading.Thread):
    """One caller of a team: sends requests one after the other until told to stop, and notes what it was told of each."""

    def __init__(self, trial, number, team, router):
        super().__init__(daemon=True)
        self.trial = trial
        self.number = number
        self.team = team
        self.router = router
        self.outcomes = []
        self.connection = None

    def run(self):
        count = 0
        while not self.trial.stopping.is_set():
            prompt = f"caller {self.number} request {count} " + "x" * (self.number % 7 * 40)
            stream = (self.number + count) % 2 == 0
            outcome = self.send(prompt, stream)
            self.outcomes.append(outcome)
            count += 1
            if outcome["told"] != "answered":
                time.sleep(0.05)

    def send(self, prompt, stream):
        """Sends one request on the caller's connection, which stays open between requests; returns what the caller was told."""
        fleet = self.trial.fleet
        router = fleet["routers"][self.router % len(fleet["routers"])]
        outcome = {"team": self.team["name"], "told": "lost", "type": "", "request": "", "at": time.monotonic(), "crossed": False}
        body = json.dumps({"model": MODEL, "prompt": prompt, "stream": stream, "max_tokens": 40})
        headers = {"Authorization": f"Bearer {self.team['key']}", "Content-Type": "application/json", "X-Request-Deadline-Ms": "20000"}
        if self.connection is None:
            self.connection = http.client.HTTPConnection(router["url"].removeprefix("http://"), timeout=30)
        try:
            self.connection.request("POST", "/v1/completions", body=body, headers=headers)
            response = self.connection.getresponse()
            outcome["told"] = "cut"
            outcome["request"] = response.getheader("X-Request-Id") or ""
            text = response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            if isinstance(error, ConnectionRefusedError):
                outcome["told"] = "connection_refused"
            self.connection.close()
            return outcome
        finally:
            outcome["seconds"] = time.monotonic() - outcome["at"]
        if response.status != 200:
            error = json.loads(text)["error"]
            outcome.update(told={"no": "not_run", "yes": "failed", "unknown": "unknown"}[error["ran"]], type=error["type"])
            return outcome
        fingerprint = f"fp-{zlib.crc32(prompt.encode())}"
        pieces = [line[6:] for line in text.splitlines() if line.startswith("data: {")] if stream else [text]
        whole = text.rstrip().endswith("data: [DONE]") if stream else is_json(text)
        outcome["told"] = "answered" if whole else "cut"
        # The answer has the end that its framing promises, so a caller that does not know its content takes it for whole.
        outcome["looked_whole"] = not whole
        outcome["crossed"] = any(fingerprint not in piece for piece in pieces if '"choices":[{"index":0,"text"' in piece)
        return outcome


def is_json(text):
    try:
        json.loads(text)
    except ValueError:
        return False
    return True


class SplitRequest:
    """A request whose body is sent in two halves. The router's 100 Continue shows that it has begun to read it before the first half is sent."""

    def __init__(self, trial, team, router):
        address, port = trial.fleet["routers"][router]["url"].removeprefix("http://").split(":")
        body = json.dumps({"model": MODEL, "prompt": "in two halves", "max_tokens": 40}).encode()
        self.first, self.second = body[:len(body) // 2], body[len(body) // 2:]
        head = (f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {team['key']}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nExpect: 100-continue\r\n\r\n")
        self.socket = socket.create_connection((address, int(port)), timeout=30)
        self.socket.sendall(head.encode())
        received = b""
        while not received.endswith(b"\r\n\r\n"):
            received += self.socket.recv(1)
        self.socket.sendall(self.first)

    def finish(self):
        """Sends the second half; returns the status of the answer, or None when the connection ends without a whole one."""
        try:
            self.socket.sendall(self.second)
            response = http.client.HTTPResponse(self.socket, method="POST")
            response.begin()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            self.socket.close()


class Trial:
    """A fleet with callers."""

    def __init__(self, inventory, routers=3, router_flags=(), engine_flags=(), sidecar_flags=()):
        self.inventory = inventory
        path = fleetlib.RUN / "trial.json"
        fleetlib.RUN.mkdir(exist_ok=True)
        path.write_text(json.dumps(inventory))
        self.fleet = fleetlib.up(path, routers, router_flags, engine_flags, sidecar_flags)
        self.hosts = {host["name"]: host for host in inventory["hosts"]}
        self.stopping = threading.Event()
        self.callers = []
        self.extra_pids = []
        self.drained_badly = {}

    def call(self, per_team, teams=None):
        """Starts callers for the teams, spread over the routers."""
        for team in self.fleet["teams"]:
            if teams is not None and team["name"] not in teams:
                continue
            for _ in range(per_team):
                number = len(self.callers)
                self.callers.append(Caller(self, number, team, number))
                self.callers[-1].start()

    def stop_calling(self):
        self.stopping.set()
        for caller in self.callers:
            caller.join(60)

    def outcomes(self):
        return [outcome for caller in self.callers for outcome in caller.outcomes]

    def fault(self, url, mode, milliseconds=0, body_bytes=0):
        fleetlib.call(url, f"/fault?mode={mode}&ms={milliseconds}&bytes={body_bytes}", method="POST")

    def platform_fault(self, mode, milliseconds=0):
        self.fault(self.fleet["platform"]["url"], mode, milliseconds)

    def signal(self, group, index, number):
        os.kill(self.fleet[group][index]["pid"], number)

    def restart(self, group, index):
        """Starts a process again with its own command line, as a supervisor would."""
        entry = self.fleet[group][index]
        try:
            os.waitpid(entry["pid"], os.WNOHANG)
        except ChildProcessError:
            pass
        entry["pid"] = fleetlib.start(entry["name"], entry["command"])
        fleetlib.FLEET_FILE.write_text(json.dumps(self.fleet, indent=2) + "\n")

    def running(self, group, index):
        """True while the process runs."""
        return fleetlib.alive(self.fleet[group][index]["pid"])

    def kill(self, group, index):
        self.signal(group, index, signal.SIGKILL)

    def journal(self):
        """All runs of all engines, with the engine's target."""
        runs = []
        for engine in self.fleet["engines"]:
            _, journal = fleetlib.call_json(engine["url"], "/journal")
            runs.extend({**run, "target": engine["target"]} for run in journal["runs"])
        return runs

    def ledger(self):
        return fleetlib.client(self.fleet, "budget", "ledger", "--output=json")

    def budgets(self):
        return {line["budget"]: line for line in fleetlib.client(self.fleet, "budget", "show", "--output=json")}

    def nodes(self):
        return fleetlib.client(self.fleet, "node", "list", "--output=json")

    def settle(self):
        """Waits until the ledger stands still, every run is billed and dead routers are recovered; returns what is left unbilled."""
        deadline = time.monotonic() + SETTLE_SECONDS
        unbilled = set()
        while time.monotonic() < deadline:
            ran = {run["request"] for run in self.journal() if run["request"]}
            billed = {line["request"] for line in self.ledger()}
            unbilled = ran - billed
            if not unbilled and all(node["state"] != "sealing" for node in self.nodes()):
                return unbilled
            time.sleep(0.5)
        return unbilled

    def last_log_line(self, name, event):
        """The last line with this event in a process's log; empty when there is none."""
        lines = (fleetlib.RUN / "log" / f"{name}.log").read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return next((line for line in reversed(events) if line["event"] == event), {})

    def report(self, name, plentiful):
        """Compares everything; plentiful names the teams that can never run out."""
        self.stop_calling()
        unbilled = self.settle()
        journal, ledger, budgets = self.journal(), self.ledger(), self.budgets()
        outcomes = self.outcomes()
        runs = collections.Counter(run["request"] for run in journal if run["request"])
        tokens = collections.Counter()
        for run in journal:
            tokens[run["request"]] += run["prompt_tokens"] + run["output_tokens"]
        lines = collections.Counter(line["request"] for line in ledger)
        ran_by_budget, charged_by_budget = collections.Counter(), collections.Counter()
        for line in ledger:
            ran_by_budget[line["budget"]] += tokens[line["request"]]
            charged_by_budget[line["budget"]] += line["tokens"]
        told = collections.Counter(outcome["told"] for outcome in outcomes)
        return {
            "trial": name,
            "requests": len(outcomes),
            "answered": told["answered"],
            "refused_not_run": told["not_run"],
            "refused_for_budget": sum(1 for outcome in outcomes if outcome["type"].startswith("budget_")),
            "refused_for_budget_though_plenty": sum(1 for outcome in outcomes if outcome["type"].startswith("budget_") and outcome["team"] in plentiful),
            "failed_or_cut": told["failed"] + told["cut"],
            "unknown": told["unknown"],
            "connection_refused": told["connection_refused"],
            "lost_with_the_router": told["lost"],
            "crossed": sum(1 for outcome in outcomes if outcome["crossed"]),
            "cut_but_looked_whole": sum(1 for outcome in outcomes if outcome.get("looked_whole")),
            "run_twice": sum(1 for count in runs.values() if count > 1),
            "wrongly_told_not_run": sum(1 for outcome in outcomes if outcome["told"] == "not_run" and runs[outcome["request"]] and outcome["request"]),
            "billed_more_than_once": sum(1 for count in lines.values() if count > 1),
            "ran_but_unbilled": len(unbilled),
            "billed_less_than_ran": sum(1 for line in ledger if line["tokens"] < tokens[line["request"]]),
            "billed_by_estimate": sum(1 for line in ledger if line["estimated"]),
            "overspent_tokens": sum(max(0, ran_by_budget[name] - line["prepaid"]) for name, line in budgets.items()),
            "budgets_out_of_balance": sum(1 for line in budgets.values() if line["free"] + line["granted"] + line["consumed"] != line["prepaid"]),
            "ledger_differs_from_row": sum(1 for name, line in budgets.items() if charged_by_budget[name] != line["consumed"]),
            **self.drained_badly,
            "slowest_refusal_s": round(max((outcome["seconds"] for outcome in outcomes if outcome["type"].startswith("budget_")), default=0), 3),
        }

    def close(self):
        self.stopping.set()
        fleetlib.down()


WRONG = ("crossed", "cut_but_looked_whole", "run_twice", "wrongly_told_not_run", "billed_more_than_once", "ran_but_unbilled", "billed_less_than_ran", "overspent_tokens",
         "budgets_out_of_balance", "ledger_differs_from_row")

# What a planned drain must leave at 0. A router that reports neither number has not ended in good order.
WRONG_AT_DRAIN = ("unanswered_at_drain", "connections_cut_at_drain", "split_requests_unanswered")


def is_clean(report):
    """True when nothing that must not happen did."""
    return all(report[field] == 0 for field in WRONG) and all(report.get(field, 0) == 0 for field in WRONG_AT_DRAIN)


def himal(small_budget):
    """The Himal inventory with every team's budget plentiful but for two, which will run out."""
    inventory = json.loads((fleetlib.ROOT / "examples" / "himal.json").read_text())
    small = {"training", "audit"}
    for budget in inventory["budgets"]:
        budget["prepaid"] = small_budget if budget["name"] in small else 40_000_000
    return inventory, {team["name"] for team in inventory["teams"]} - small

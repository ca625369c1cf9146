"""Outcomes of requests on running processes that are killed, paused, restarted and drained."""

import collections
import http.client
import json
import signal
import socket
import threading
import time

import fleetlib
import livetrial

ROUTER_FLAGS = ("--reclaim_after_ms=3000", "--platform_timeout_ms=300")
LEAVING_GRACE_MS = 3000
TRIES = 6
SPLIT_REQUESTS = 4
# Bytes of an engine's answer: none, a part of an event, some events and a part of one, and more than any answer has.
BROKEN_OFF_AT = (0, 90, 1500, 10_000_000)
SPLIT_HOLD_SECONDS = 3
WRONG = ("submissions_run_twice", "submissions_answered_but_not_run", "submissions_wrongly_told_not_run")


class Submitter(threading.Thread):
    """Submits registry entries that must not be filed twice, and tries each again at another router until it has an answer or is told that it may have
    run."""

    def __init__(self, trial, number, team):
        super().__init__(daemon=True)
        self.trial = trial
        self.number = number
        self.team = team
        self.told = {}

    def run(self):
        count = 0
        while not self.trial.stopping.is_set():
            key = f"entry-{self.number}-{count}"
            self.told[key] = self.submit(key)
            count += 1

    def submit(self, key):
        routers = self.trial.fleet["routers"]
        last = "lost"
        for attempt in range(TRIES):
            router = routers[(self.number + attempt) % len(routers)]
            headers = {"Authorization": f"Bearer {self.team['key']}", "Idempotency-Key": key, "X-Request-Deadline-Ms": "5000"}
            try:
                status, _, body = fleetlib.call(router["url"], f"/services/filing/submissions/{key}", method="POST", body="{}", headers=headers, timeout=8)
            except (OSError, http.client.HTTPException):
                last = "lost"
                continue
            if status == 200:
                return "answered"
            last = json.loads(body)["error"]["ran"]
            time.sleep(0.1)
        return {"no": "not_run", "yes": "failed", "unknown": "unknown"}.get(last, last)


def routers_killed(trial):
    for index in (0, 1):
        time.sleep(2)
        trial.kill("routers", index)
        time.sleep(1)
        trial.restart("routers", index)
    time.sleep(8)


def routers_paused(trial):
    time.sleep(2)
    trial.signal("routers", 0, signal.SIGSTOP)
    # Longer than silence (3 s), the sidecars' memory of its last word (5 s) and a probe together, so that it is declared dead.
    time.sleep(12)
    trial.signal("routers", 0, signal.SIGCONT)
    fleetlib.wait_until(lambda: not trial.running("routers", 0), "the end of the woken router")
    trial.restart("routers", 0)
    time.sleep(3)


def sidecars_and_engines_killed(trial):
    for index in (0, 9):
        time.sleep(2)
        trial.kill("sidecars", index)
        time.sleep(0.5)
        trial.restart("sidecars", index)
    time.sleep(5)


def target_leaves(trial):
    time.sleep(2)
    trial.leaving = {"target": trial.fleet["sidecars"][0]["target"], "at_ms": time.time() * 1000}
    trial.signal("sidecars", 0, signal.SIGTERM)
    time.sleep(6)


def listens(url):
    """True when the address accepts a connection."""
    address, port = url.removeprefix("http://").split(":")
    try:
        socket.create_connection((address, int(port)), timeout=2).close()
    except OSError:
        return False
    return True


def routers_drain(trial):
    """A planned drain. A caller cannot tell whether the request that it sent was read; the router's counts once its loops have ended can."""
    time.sleep(2)
    router = trial.fleet["routers"][0]
    split = [livetrial.SplitRequest(trial, trial.fleet["teams"][0], 0) for _ in range(SPLIT_REQUESTS)]
    trial.signal("routers", 0, signal.SIGTERM)
    fleetlib.wait_until(lambda: not listens(router["url"]), "the end of the router's listener", seconds=fleetlib.STOP_SECONDS)
    # A router that does not wait for requests it is reading ends in this time.
    deadline = time.monotonic() + SPLIT_HOLD_SECONDS
    while trial.running("routers", 0) and time.monotonic() < deadline:
        time.sleep(0.02)
    statuses = [request.finish() for request in split]
    fleetlib.wait_until(lambda: not trial.running("routers", 0), "the end of the draining router", seconds=fleetlib.STOP_SECONDS)
    stopped = trial.last_log_line(router["name"], "stopped")
    trial.drained_badly = {"unanswered_at_drain": stopped.get("unanswered", -1), "connections_cut_at_drain": stopped.get("open_connections", -1),
                           "split_requests_unanswered": statuses.count(None)}
    trial.restart("routers", 0)
    time.sleep(4)


def answers_broken_off(trial):
    """Engines end their answers with the connection, in order: inside an event or a document, before the first byte, and whole."""
    time.sleep(1)
    for body_bytes in BROKEN_OFF_AT:
        for engine in trial.fleet["engines"]:
            trial.fault(engine["url"], "break_off", body_bytes=body_bytes)
        time.sleep(1)
    for engine in trial.fleet["engines"]:
        trial.fault(engine["url"], "none")
    time.sleep(2)


def table_down(trial):
    time.sleep(2)
    trial.platform_fault("down")
    time.sleep(5)
    trial.platform_fault("none")
    time.sleep(3)


TRIALS = (routers_killed, routers_paused, sidecars_and_engines_killed, target_leaves, routers_drain, answers_broken_off, table_down)


def submissions(trial, submitters):
    """How often each entry reached a service, compared with what its submitter was told."""
    runs = collections.Counter(run["path"].rsplit("/", 1)[1] for run in trial.journal() if run["path"].startswith("/submissions/"))
    told = {key: value for submitter in submitters for key, value in submitter.told.items()}
    return {
        "submissions": len(told),
        "submissions_answered": sum(1 for value in told.values() if value == "answered"),
        "submissions_told_not_run": sum(1 for value in told.values() if value == "not_run"),
        "submissions_unknown_or_lost": sum(1 for value in told.values() if value in ("unknown", "failed", "lost")),
        "submissions_run_twice": sum(1 for count in runs.values() if count > 1),
        "submissions_answered_but_not_run": sum(1 for key, value in told.items() if value == "answered" and not runs[key]),
        "submissions_wrongly_told_not_run": sum(1 for key, value in told.items() if value == "not_run" and runs[key]),
    }


def late_work(trial):
    """Runs that began at the leaving target more than the grace after it began to leave."""
    if trial.leaving is None:
        return 0
    limit = trial.leaving["at_ms"] + LEAVING_GRACE_MS
    return sum(1 for run in trial.journal() if run["target"] == trial.leaving["target"] and run["started_ms"] > limit)


def live():
    clean = True
    for bring_about in TRIALS:
        inventory, plentiful = livetrial.himal(40_000_000)
        trial = livetrial.Trial(inventory, router_flags=ROUTER_FLAGS)
        trial.leaving = None
        try:
            trial.call(2)
            teams = {team["name"]: team for team in trial.fleet["teams"]}
            submitters = [Submitter(trial, number, teams["dossier-drafting"]) for number in range(6)]
            for submitter in submitters:
                submitter.start()
            bring_about(trial)
            trial.stop_calling()
            for submitter in submitters:
                submitter.join(60)
            report = trial.report(bring_about.__name__, plentiful)
            report.update(submissions(trial, submitters))
            report["new_work_at_a_leaving_target_after_3_s"] = late_work(trial)
        finally:
            trial.close()
        clean = clean and livetrial.is_clean(report) and not report["new_work_at_a_leaving_target_after_3_s"] and not any(report[name] for name in WRONG)
        print(json.dumps(report), flush=True)
    return 0 if clean else 1

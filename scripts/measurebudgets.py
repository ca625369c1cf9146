"""Overspend and false refusals."""

import json
import signal
import subprocess
import time

import fleetlib
import livetrial

SMALL_BUDGET = 4_000
FAST_RECOVERY = ("--reclaim_after_ms=3000", "--platform_timeout_ms=300")


def simulated():
    """The decision objects under the fixed scenarios."""
    return subprocess.run([str(fleetlib.BUILD / "bamboohold-measure-budgets")], check=False).returncode


HOLDING_SIZES = [(routers, budgets) for routers in (20, 103, 330) for budgets in (40, 1000)]


def holdings(target):
    """What the books of routers without sidecars cost in calls to the store, by size; `target` adds the largest one."""
    program = str(fleetlib.BUILD / "bamboohold-measure-holdings")
    for routers, budgets in HOLDING_SIZES:
        subprocess.run([program, f"--routers={routers}", f"--budgets={budgets}"], check=True)
    subprocess.run([program, "--routers=103", "--budgets=40", "--all_keep"], check=True)
    if target:
        subprocess.run([program, "--routers=330", "--budgets=40000", "--requests_per_router=23.3", "--seconds=4"], check=True)
    return 0


def books(routers, seed):
    """Booked minus delivered by cause."""
    program = str(fleetlib.BUILD / "bamboohold-measure-books")
    return subprocess.run([program, f"--routers={routers}", f"--seed={seed}"], check=False).returncode


def calm(trial):
    time.sleep(6)


def table_down(trial):
    time.sleep(2)
    trial.platform_fault("down")
    time.sleep(8)
    trial.platform_fault("none")
    time.sleep(2)


def table_frozen(trial):
    time.sleep(2)
    trial.platform_fault("freeze")
    time.sleep(6)
    trial.platform_fault("none")
    time.sleep(2)


def answers_lost(trial):
    time.sleep(2)
    for _ in range(8):
        trial.platform_fault("answer_lost")
        time.sleep(0.4)
        trial.platform_fault("none")
        time.sleep(0.4)
    time.sleep(2)


def table_slow(trial):
    time.sleep(2)
    trial.platform_fault("slow", 250)
    time.sleep(6)
    trial.platform_fault("none")
    time.sleep(1)


def top_ups_in_an_outage(trial):
    time.sleep(3)
    trial.platform_fault("slow", 200)
    for number in range(4):
        fleetlib.client(trial.fleet, "budget", "top-up", "audit", "2000", f"--change-id=top-up-{number}")
        fleetlib.client(trial.fleet, "budget", "top-up", "audit", "2000", f"--change-id=top-up-{number}")
    trial.platform_fault("none")
    time.sleep(3)


def router_killed(trial):
    time.sleep(2)
    trial.kill("routers", 0)
    time.sleep(6)
    trial.restart("routers", 0)
    time.sleep(4)


def router_paused(trial):
    time.sleep(2)
    trial.signal("routers", 0, signal.SIGSTOP)
    time.sleep(12)
    trial.signal("routers", 0, signal.SIGCONT)
    # It finds itself declared dead and stops; a supervisor starts it again.
    fleetlib.wait_until(lambda: not trial.running("routers", 0), "the end of the woken router")
    trial.restart("routers", 0)
    time.sleep(3)


def sidecars_killed(trial):
    time.sleep(2)
    for index in (0, 1, 2):
        trial.kill("sidecars", index)
        time.sleep(0.3)
        trial.restart("sidecars", index)
    time.sleep(8)


def router_killed_in_an_outage(trial):
    time.sleep(2)
    trial.platform_fault("down")
    time.sleep(2)
    trial.kill("routers", 1)
    time.sleep(2)
    trial.platform_fault("none")
    trial.restart("routers", 1)
    time.sleep(8)


TRIALS = (calm, table_down, table_frozen, answers_lost, table_slow, top_ups_in_an_outage, router_killed, router_paused, sidecars_killed,
          router_killed_in_an_outage)


def live():
    """Running processes with faults by the stand-ins' switches and by signals to pids."""
    clean = True
    for bring_about in TRIALS:
        inventory, plentiful = livetrial.himal(SMALL_BUDGET)
        trial = livetrial.Trial(inventory, router_flags=FAST_RECOVERY)
        try:
            trial.call(3)
            bring_about(trial)
            report = trial.report(bring_about.__name__, plentiful)
        finally:
            trial.close()
        clean = clean and livetrial.is_clean(report)
        print(json.dumps(report), flush=True)
    return 0 if clean else 1

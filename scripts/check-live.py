"""Checks on running processes: the whole path, and what must never happen under a few faults. No verdict depends on how fast anything is."""

import json
import sys

import fleetlib
import livetrial
import measurebudgets
import measurerequests
import overloadtrial
import quickstart

SUBMITTERS = 2
TRIALS = (measurebudgets.answers_lost, measurebudgets.router_killed, measurerequests.routers_drain, measurerequests.answers_broken_off)


def main():
    results = {"quickstart": quickstart.main() == 0}
    for bring_about in TRIALS:
        inventory, plentiful = livetrial.himal(measurebudgets.SMALL_BUDGET)
        trial = livetrial.Trial(inventory, router_flags=measurebudgets.FAST_RECOVERY)
        try:
            trial.call(2)
            team = next(team for team in trial.fleet["teams"] if team["name"] == "dossier-drafting")
            submitters = [measurerequests.Submitter(trial, number, team) for number in range(SUBMITTERS)]
            for submitter in submitters:
                submitter.start()
            bring_about(trial)
            trial.stop_calling()
            for submitter in submitters:
                submitter.join(60)
            report = trial.report(bring_about.__name__, plentiful)
            report.update(measurerequests.submissions(trial, submitters))
            stopped = [entry["name"] for entry in trial.fleet["routers"] + trial.fleet["sidecars"] if not fleetlib.alive(entry["pid"])]
        finally:
            trial.close()
        submitted_once = not any(report[name] for name in measurerequests.WRONG) and report["submissions_answered"] > 0
        results[bring_about.__name__] = livetrial.is_clean(report) and submitted_once and not stopped and report["answered"] > 0
        print(json.dumps({**report, "stopped_by_themselves": stopped}))
    results["overload"] = overloadtrial.is_clean(overloadtrial.main())
    failed = [name for name, passed in results.items() if not passed]
    for name in failed:
        print(f"FAILED: {name}")
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

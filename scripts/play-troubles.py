"""Plays each trouble of scripts/troubles/kinds.json twice in one day, on one deployment, with the users' play program.

    scripts/play-troubles.py PROGRAM SITE [--only NAME] [--seed N] [--jobs N]

Prints a line for each day and fails when one breaks a rule. PROGRAM and SITE are paths; nothing here depends on where they are.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Seconds from the start of traffic: the second time falls into what the first one left behind.
TIMES = (3.0, 15.0)


def toml_value(value):
    """A value as TOML."""
    return json.dumps(value)


def day_text(trouble, seed):
    """The day as the play program reads it."""
    plan, faults = [], []
    for at in TIMES:
        for entry in trouble["entries"]:
            planned = entry["kind"] in ("roll_term", "revoke", "add_nodes") or trouble.get("plan", False)
            (plan if planned else faults).append({"at": at, **entry})
    lines = [f'name = "{trouble["name"]}"', f"seed = {seed}"]
    for key, entries in (("plan", plan), ("faults", faults)):
        rows = ["{ " + ", ".join(f"{name} = {toml_value(value)}" for name, value in entry.items()) + " }" for entry in entries]
        lines.append(f"{key} = [{', '.join(rows)}]")
    return "\n".join(lines) + "\n"


def play(program, site, trouble, seed, folder):
    """Output of one day."""
    path = pathlib.Path(folder) / f"{trouble['name']}.toml"
    path.write_text(day_text(trouble, seed))
    why = f"own list of troubles: {trouble['name']}, twice"
    command = [program, "run", site, str(path), "--seed", str(seed), "--why", why]
    return subprocess.run(command, capture_output=True, text=True, check=False, cwd=ROOT)


def verdict(trouble, result):
    """The day's row, and whether it is sound."""
    row = next((line for line in result.stdout.splitlines() if re.match(rf"{re.escape(trouble['name'])}\s", line)), "")
    problem = [line for line in (result.stdout + result.stderr).splitlines() if "BROKEN" in line or line.startswith(("FAULT", "error"))]
    sound = bool(row) and not problem and "fault" not in row.lower()
    return sound, row or (result.stdout + result.stderr)[-300:]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    troubles = json.loads((ROOT / "scripts/troubles/kinds.json").read_text())
    chosen = [trouble for trouble in troubles if arguments.only in trouble["name"]]
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda trouble: play(arguments.program, arguments.site, trouble, arguments.seed, folder), chosen))
    bad = 0
    for trouble, result in zip(chosen, results):
        sound, text = verdict(trouble, result)
        bad += 0 if sound else 1
        print(("   " if sound else "!! ") + text[:260])
    print(f"{len(chosen) - bad} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())

"""Plays the days with trouble of deployments with one mechanism left out after the other, and prints a Markdown table of the difference in worth
with its standard error. Usage: scripts/ablate.py PROGRAM [--seeds=1,2] [--jobs=4] [--without=a,b] SITE..., with the users' play program. Works on a copy of the tree,
so that its entries in the journal stay apart; they are brought over afterwards."""

import argparse
import concurrent.futures
import json
import math
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MECHANISMS = ["relays", "carried-calls", "keepers", "loans", "ample-budgets", "start-patience", "favourites", "silence", "ejection"]
DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]


def copy_tree(folder):
    files = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True).stdout.decode().split("\0")
    for name in files:
        if name and not name.startswith("journal/"):
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, folder / name)
    for command in (["git", "init", "-q"], ["git", "add", "-A"], ["git", "-c", "user.name=a", "-c", "user.email=a@a", "commit", "-qm", "copy"]):
        subprocess.run(command, cwd=folder, check=True)


def leave_out(folder, mechanism):
    text = (ROOT / "deploy/system.toml").read_text()
    flag = f" --without={mechanism}" if mechanism else ""
    (folder / "deploy/system.toml").write_text(text.replace("--metrics_port=9464", f"--metrics_port=9464{flag}"))


def play(program, folder, site, day, seed, mechanism):
    report = folder / f"report-{pathlib.Path(site).stem}-{day}-{seed}-{mechanism or 'all'}.json"
    why = f"ablation: without {mechanism}" if mechanism else "ablation: with everything"
    command = [program, "run", site, day, "--seed", str(seed), "--report", str(report), "--why", why]
    subprocess.run(command, cwd=folder, capture_output=True, check=False)
    result = json.loads(report.read_text()) if report.exists() else {}
    if result.get("breaks") or result.get("fault"):
        print(f"{site} {day} seed {seed} without {mechanism}: {result.get('breaks')} {result.get('fault')}", file=sys.stderr)
    return result.get("G")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", default="2001,2002")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--without", default=",".join(MECHANISMS))
    options = parser.parse_args()
    sites = [str(pathlib.Path(site).resolve()) for site in options.sites]
    program = str(pathlib.Path(options.program).resolve())
    plays = [(site, day, seed) for site in sites for day in DAYS for seed in options.seeds.split(",")]
    folder = pathlib.Path(tempfile.mkdtemp())
    copy_tree(folder)
    worth = {}
    for mechanism in ["", *options.without.split(",")]:
        leave_out(folder, mechanism)
        subprocess.run([program, "build"], cwd=folder, capture_output=True, check=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = pool.map(lambda at: play(program, folder, *at, mechanism), plays)  # noqa: B023
        worth[mechanism] = dict(zip(plays, results))
    names = [pathlib.Path(site).stem for site in sites]
    print("| without | " + " | ".join(names) + " |\n|" + "---|" * (len(names) + 1))
    for mechanism, played in worth.items():
        cells = []
        for site in sites:
            pairs = [(played[at], worth[""][at]) for at in plays if at[0] == site and None not in (played[at], worth[""][at])]
            if not mechanism:
                cells.append(f"{statistics.mean(own for own, _ in pairs):.3f}")
                continue
            differences = [own - whole for own, whole in pairs]
            error = statistics.stdev(differences) / math.sqrt(len(differences))
            cells.append(f"{statistics.mean(differences):+.3f} ± {error:.3f}")
        print(f"| {mechanism or '(nothing)'} | " + " | ".join(cells) + " |", flush=True)
    shutil.copytree(folder / "journal", ROOT / "journal", dirs_exist_ok=True)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()

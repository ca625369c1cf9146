"""Counts the days of a simulated fleet on which a bound of the quarantine breaks."""

import subprocess

import fleetlib


def main(arguments):
    """Plays the days that `arguments` ask for; see scripts/measure."""
    command = [str(fleetlib.BUILD / "bamboohold-measure-quarantine"), f"--days={arguments.days}", f"--seed={arguments.seed}"]
    for name in ("ordinary", "separate_streams", "parts", "list"):
        if getattr(arguments, name):
            command.append(f"--{name}")
    return subprocess.run(command, check=False).returncode

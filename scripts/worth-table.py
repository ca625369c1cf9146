#!/usr/bin/env python3
"""Prints where the worth of a site's standard days goes, by cause, as a Markdown table.

Usage: worth-table.py PROGRAM SITE...   PROGRAM plays days (`run SITE DAY --report FILE`); SITE is a site file.

All figures are parts of what is owed, but for the last columns: the day's worth and what its prices take off, each price above 0.002 named.
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib

LEAST_PRICE = 0.002
COLUMNS = ["day", "in aim", "late", "refused", "failed", "not owed", "whole day", "worst windows", "worst class", "worth", "prices"]


def play(program, site, day):
    """One day's report."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        why = "where worth is lost, by cause"
        subprocess.run([program, "run", site, day, "--report", str(report), "--why", why], check=True, stdout=subprocess.DEVNULL)
        return json.loads(report.read_text())


def prices(report):
    """The prices that matter, as text."""
    return ", ".join(f"{name} {part:.3f}" for name, _, part in sorted(report["prices"], key=lambda price: -price[2]) if part >= LEAST_PRICE)


def row(day, report):
    """One line of the table."""
    requests = report["all"]
    parts = {name: value for name, _, value in report["parts"]}
    shares = [requests[name] / requests["n"] for name in ("in_aim", "late", "refused", "failed", "not_owed")]
    figures = shares + [parts["whole day"], parts["worst windows"], parts["worst class"], report["G"]]
    return [day] + [f"{figure:.3f}" for figure in figures] + [prices(report)]


def main():
    program, sites = sys.argv[1], sys.argv[2:]
    for site in sites:
        days = [day["name"] for day in tomllib.loads(pathlib.Path(site).read_text())["day"]]
        print(f"\n**{pathlib.Path(site).stem}**\n")
        print("| " + " | ".join(COLUMNS) + " |")
        print("|" + "---|" * len(COLUMNS))
        for day in days:
            print("| " + " | ".join(row(day, play(program, site, day))) + " |", flush=True)


if __name__ == "__main__":
    main()

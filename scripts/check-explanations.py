#!/usr/bin/env python3
"""Compares the causes that `bamboohold explain` names with a play program's own account of failed requests.

Usage: check-explanations.py PROGRAM CLIENT SITE DAY...   PROGRAM plays days (`run SITE DAY --log all`) and gives, for each way in which
requests failed, the first one with its events; CLIENT is the bamboohold client.

Prints a line for each such request: what the account says last, and the cause that the client names.
"""
import pathlib
import re
import subprocess
import sys
import tempfile

FAILED = re.compile(r"^not served, last try '(.*)': (\d+)")
REQUEST = re.compile(r"request ([0-9a-f]{16}) \(([^,]*),")
STAMP = re.compile(r"^\s+-?[\d.]+ s\s+(?!to )")


def accounts(output):
    """Each failed request of the account: how it failed, how many did so, its id, its class, its events."""
    found = []
    for line in output.splitlines():
        if match := FAILED.match(line):
            found.append({"how": match[1], "count": int(match[2]), "events": []})
        elif found and STAMP.match(line):
            if match := REQUEST.search(line):
                found[-1]["id"], found[-1]["class"] = match[1], match[2]
            found[-1]["events"].append(STAMP.sub("", line))
    return [account for account in found if "id" in account]


def main():
    program, client, site, days = sys.argv[1], sys.argv[2], sys.argv[3], sys.argv[4:]
    for day in days:
        why = "causes that the client names, against the account of the day"
        played = subprocess.run([program, "run", site, day, "--log", "all", "--why", why], check=True, text=True, stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT, errors="replace")
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write(played.stdout)
            log.flush()
            for account in accounts(played.stdout):
                told = subprocess.run([client, "explain", account["id"], log.name], capture_output=True, text=True).stdout
                cause = next((line for line in told.splitlines() if line.startswith("cause:")), "cause: none named")
                print(f"{day} {account['id']} {account['class']} ({account['count']} like it): {account['how']}")
                print(f"    account: {account['events'][-1]}")
                print(f"    {cause}", flush=True)


if __name__ == "__main__":
    main()

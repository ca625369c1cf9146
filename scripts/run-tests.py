"""Runs ctest, the tests with crowds of clients alone and after all others. Lets pass only the tests listed in KNOWN-RED.txt, and prints them; anything
else that fails fails the run.

A line of the list is `TEST, ...`: the test fails; at most three of these. Tests with crowds don't count among them, and one of these that is known
to pass at times has a line `unsteady TEST, ...`: it may pass or fail."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST_KNOWN_RED = 3
UNSTEADY = "unsteady "
CROWDS = "crowds"


def known_red(text):
    """The tests of the list, with their lines: those that fail, and those that may."""
    failing, unsteady = {}, {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            listed = unsteady if line.startswith(UNSTEADY) else failing
            listed[line.removeprefix(UNSTEADY).split(",")[0].strip()] = line
    return failing, unsteady


def faults_of_list(failing, unsteady, crowd_tests):
    """What is wrong with the list itself."""
    faults = []
    counted = set(failing) - crowd_tests
    if len(counted) > MOST_KNOWN_RED:
        faults.append(f"KNOWN-RED.txt lists {len(counted)} tests; at most {MOST_KNOWN_RED} may stand in it")
    faults += [f"KNOWN-RED.txt lists {test} as unsteady, which is no test with a crowd" for test in sorted(set(unsteady) - crowd_tests)]
    faults += [f"KNOWN-RED.txt lists {test} twice" for test in sorted(set(unsteady) & set(failing))]
    return faults


def verdict(failing, unsteady, failed):
    """What to print about the list, and whether only tests of the list have failed."""
    lines = [f"known red: {failing[test]}" for test in sorted(failed & set(failing))]
    lines += [f"known to be unsteady, {'failed' if test in failed else 'passed'}: {unsteady[test]}" for test in sorted(unsteady)]
    passing = set(failing) - failed
    lines += [f"KNOWN-RED.txt lists {test}, which passes now: take it out" for test in sorted(passing)]
    return lines, not passing and not failed - set(failing) - set(unsteady)


def ctest(*words):
    """Runs ctest. Returns its output and the tests that failed; none where it could not run."""
    result = subprocess.run(["ctest", "--test-dir", str(ROOT / "build"), *words], capture_output=True, text=True, check=False)
    failed = set(re.findall(r"^\s*\d+ - (\S+) \(", result.stdout, re.MULTILINE))
    ran = "No tests were found" not in result.stdout + result.stderr and (result.returncode == 0 or failed)
    return result.stdout, failed if ran else None


def main():
    listing, _ = ctest("-N", "--label-regex", f"^{CROWDS}$")
    crowd_tests = set(re.findall(r"Test\s+#\d+: (\S+)", listing))
    failing, unsteady = known_red((ROOT / "KNOWN-RED.txt").read_text())
    faults = faults_of_list(failing, unsteady, crowd_tests)
    if faults:
        print("\n".join(faults))
        return 1
    failed = set()
    for words in (("--label-exclude", f"^{CROWDS}$", "--parallel", "4"), ("--label-regex", f"^{CROWDS}$")):
        output, failed_here = ctest("--output-on-failure", *words)
        print(output, end="", flush=True)
        if failed_here is None:
            return 1
        failed |= failed_here
    lines, as_listed = verdict(failing, unsteady, failed)
    print("\n".join(lines))
    return 0 if as_listed else 1


if __name__ == "__main__":
    sys.exit(main())

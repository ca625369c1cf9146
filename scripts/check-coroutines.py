"""Finds the forms of co_await that GCC 12 compiles to wrong code (see CONTRIBUTING.md); each was a crash of a running router."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = (ROOT / "src", ROOT / "platform")
AGGREGATE = re.compile(r"[(,]\s*\{\s*\.|\b[A-Z]\w+\{\s*\.")
IN_CONDITION = re.compile(r"\b(if|while)\s*\([^;{]*co_await")
IN_OPERATOR = re.compile(r"(\?|&&|\|\|)\s*!?\s*co_await")


def problems(path):
    """Line and reason of each wrong form in a file."""
    text = path.read_text()
    for match in re.finditer(r"co_await\s+[^;]*?;", text, re.DOTALL):
        if AGGREGATE.search(match.group(0)):
            yield text.count("\n", 0, match.start()) + 1, "an aggregate temporary inside an awaited call is freed twice; name it first"
    for pattern, reason in ((IN_CONDITION, "await into a named variable before the condition"), (IN_OPERATOR, "await into a named variable first")):
        for match in pattern.finditer(text):
            yield text.count("\n", 0, match.start()) + 1, reason


def main():
    found = [(path, line, reason) for folder in SOURCES for pattern in ("*.cpp", "*.h") for path in sorted(folder.rglob(pattern)) if ".pb." not in path.name for line, reason in problems(path)]
    for path, line, reason in found:
        print(f"{path.relative_to(ROOT)}:{line}: {reason}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

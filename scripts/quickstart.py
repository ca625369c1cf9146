"""The main job end to end: a streamed and a plain request as two teams, checked to the token against the engines' journals."""

import json
import sys
import time

import fleetlib

MODEL = "dossier-draft"
SETTLE_SECONDS = 15


def ask(router, team, body):
    """Sends a chat request; returns status, headers and body."""
    headers = {"Authorization": f"Bearer {team['key']}", "Content-Type": "application/json"}
    return fleetlib.call(router["url"], "/v1/chat/completions", method="POST", body=json.dumps(body), headers=headers)


def journal_tokens(fleet):
    """Tokens that the engines ran, by request."""
    tokens = {}
    for engine in fleet["engines"]:
        _, journal = fleetlib.call_json(engine["url"], "/journal")
        for run in journal["runs"]:
            tokens[run["request"]] = tokens.get(run["request"], 0) + run["prompt_tokens"] + run["output_tokens"]
    return tokens


def budget_line(fleet, name):
    """A budget's row."""
    return fleetlib.client(fleet, "budget", "show", name, "--output=json")[0]


def wait_for_ledger(fleet, requests):
    """The ledger's lines of the requests, once all are there."""
    deadline = time.monotonic() + SETTLE_SECONDS
    while True:
        lines = [line for line in fleetlib.client(fleet, "budget", "ledger", "--output=json") if line["request"] in requests]
        if len({line["request"] for line in lines}) == len(requests) or time.monotonic() > deadline:
            return lines
        time.sleep(0.1)


def check(name, holds, problems):
    """Notes a problem when a check does not hold."""
    if not holds:
        problems.append(name)


def run(fleet):
    """Sends the requests and compares; returns the problems found."""
    problems = []
    teams = {team["name"]: team for team in fleet["teams"]}
    plain_team, stream_team = teams["objections"], teams["field-crews-east"]
    before = {team["budget"]: budget_line(fleet, team["budget"]) for team in (plain_team, stream_team)}

    prompt = {"model": MODEL, "max_tokens": 48, "messages": [{"role": "user", "content": "Draft the claim dossier for block 14-B."}]}
    status, headers, body = ask(fleet["routers"][0], plain_team, prompt)
    print(f"plain answer to {plain_team['name']} (HTTP {status}):\n  {body.decode()}\n")
    check("the plain request was answered", status == 200, problems)
    requests = {headers.get("X-Request-Id"): plain_team}

    prompt = {"model": MODEL, "stream": True, "max_tokens": 24, "messages": [{"role": "user", "content": "Is block 9 free?"}]}
    status, headers, body = ask(fleet["routers"][1], stream_team, prompt)
    events = [line for line in body.decode().splitlines() if line.startswith("data: ")]
    print(f"streamed answer to {stream_team['name']} (HTTP {status}, {len(events)} events):")
    print(f"  {events[0]}\n  …\n  {events[-2]}\n  {events[-1]}\n")
    check("the streamed request was answered to its end", status == 200 and events[-1] == "data: [DONE]", problems)
    requests[headers.get("X-Request-Id")] = stream_team

    lines = wait_for_ledger(fleet, requests)
    journal = journal_tokens(fleet)
    print("ledger:")
    for line in lines:
        print("  " + json.dumps(line))
    for request, team in requests.items():
        charges = [line for line in lines if line["request"] == request]
        check(f"request {request} has one ledger line", len(charges) == 1, problems)
        charged = sum(line["tokens"] for line in charges)
        check(f"request {request}: ledger {charged} is the journal's {journal.get(request)}", charged == journal.get(request), problems)
        after = budget_line(fleet, team["budget"])
        print(f"budget {team['budget']}: before {json.dumps(before[team['budget']])}\n  after {json.dumps(after)}")
        consumed = after["consumed"] - before[team["budget"]]["consumed"]
        check(f"budget {team['budget']} consumed {consumed}, the ledger {charged}", consumed == charged, problems)
        balance = after["free"] + after["granted"] + after["consumed"]
        check(f"budget {team['budget']} balances", balance == after["prepaid"], problems)
    check("the engines ran nothing else", set(journal) == set(requests), problems)
    return problems


def main():
    fleet = fleetlib.up(fleetlib.ROOT / "examples" / "himal.json", 3)
    try:
        problems = run(fleet)
    finally:
        fleetlib.down()
    for problem in problems:
        print(f"FAILED: {problem}", file=sys.stderr)
    print("journal, ledger and budgets agree to the token" if not problems else "they do not agree")
    return 1 if problems else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except fleetlib.FleetError as error:
        print(f"quickstart: {error}", file=sys.stderr)
        sys.exit(1)

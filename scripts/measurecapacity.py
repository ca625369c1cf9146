"""Slopes for docs/CAPACITY.md: how state, time and messages grow, one thing at a time."""

import json
import pathlib
import subprocess

import fleetlib
import measureoverhead

FLEET_ROUTERS = (1, 2, 4, 6)
WATCH_SECONDS = 10


def memory_bytes(pid):
    """Resident memory of a process, without the pages it shares with others."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    return sum(int(line.split()[1]) * 1024 for line in text.splitlines() if line.startswith(("Private_Clean", "Private_Dirty")))


def metric(router, name):
    """A gauge of a router."""
    _, _, body = fleetlib.call(router["operations_url"], "/metrics")
    return sum(float(line.rsplit(" ", 1)[1]) for line in body.decode().splitlines() if line.startswith(name + "{"))


def fit(points):
    """Least squares through points; slope, intercept and the largest distance as a share of the largest value."""
    count = len(points)
    sum_x, sum_y = sum(x for x, _ in points), sum(y for _, y in points)
    slope = (count * sum(x * y for x, y in points) - sum_x * sum_y) / (count * sum(x * x for x, _ in points) - sum_x**2)
    intercept = (sum_y - slope * sum_x) / count
    highest = max(abs(y) for _, y in points) or 1
    return slope, intercept, max(abs(y - intercept - slope * x) for x, y in points) / highest


def idle_fleets():
    """What an idle fleet costs as routers are added: control bytes, processor time and memory of a router and of a sidecar."""
    import time

    series = {"router control bytes a second, idle": [], "router processor share, idle": [], "router memory, idle": [],
              "sidecar processor share, idle": [], "sidecar memory, idle": [], "platform calls of a router a second, idle": []}
    for routers in FLEET_ROUTERS:
        fleet = fleetlib.up(fleetlib.ROOT / "examples" / "himal.json", routers)
        try:
            router, sidecar = fleet["routers"][0], fleet["sidecars"][0]
            names = ("bamboohold_control_bytes", "bamboohold_platform_calls")
            before = [metric(router, name) for name in names] + [measureoverhead.cpu_seconds(entry["pid"]) for entry in (router, sidecar)]
            time.sleep(WATCH_SECONDS)
            after = [metric(router, name) for name in names] + [measureoverhead.cpu_seconds(entry["pid"]) for entry in (router, sidecar)]
            rates = [(late - early) / WATCH_SECONDS for early, late in zip(before, after)]
            values = (rates[0], rates[2], memory_bytes(router["pid"]), rates[3], memory_bytes(sidecar["pid"]), rates[1])
            for points, value in zip(series.values(), values):
                points.append((routers, value))
        finally:
            fleetlib.down()
    lines = []
    for name, points in series.items():
        slope, intercept, error = fit(points)
        lines.append({"slope_of": name, "grows": "routers, before 13 targets", "unit": "bytes" if "memory" in name or "bytes" in name else "per second",
                      "from": points[0][0], "to": points[-1][0], "slope": slope, "intercept": intercept, "fit_error": error, "measured": True,
                      "points": points})
    return lines


def draw(lines, path):
    """Draws each slope as a small panel of an SVG."""
    columns, width, height, margin = 3, 330, 190, 40
    rows = (len(lines) + columns - 1) // columns
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{columns * width}" height="{rows * height}" font-family="sans-serif" font-size="10">']
    for index, line in enumerate(lines):
        left, top = index % columns * width, index // columns * height
        points = line["points"]
        most_x, most_y = max(x for x, _ in points), max(max(y for _, y in points), 1e-9)
        place = lambda x, y: (left + margin + x / most_x * (width - 2 * margin), top + height - margin - max(0, y) / most_y * (height - 2 * margin))
        parts.append(f'<text x="{left + margin}" y="{top + 16}">{line["slope_of"]} ({line["unit"]})</text>')
        parts.append(f'<text x="{left + margin}" y="{top + height - 10}">{line["grows"]}: up to {most_x:g}; highest {most_y:.4g}</text>')
        begin, end = place(0, line["intercept"]), place(most_x, line["intercept"] + line["slope"] * most_x)
        parts.append(f'<line x1="{begin[0]:.1f}" y1="{begin[1]:.1f}" x2="{end[0]:.1f}" y2="{end[1]:.1f}" stroke="#888"/>')
        for x, y in points:
            parts.append(f'<circle cx="{place(x, y)[0]:.1f}" cy="{place(x, y)[1]:.1f}" r="3" fill="#1f6fb2"/>')
    parts.append("</svg>")
    pathlib.Path(path).write_text("\n".join(parts) + "\n")


def main(picture):
    result = subprocess.run([str(fleetlib.BUILD / "bamboohold-measure-capacity")], capture_output=True, text=True, check=True)
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    lines += idle_fleets()
    for line in lines:
        print(json.dumps(line))
    if picture:
        draw([line for line in lines if "points" in line], picture)
    return 0

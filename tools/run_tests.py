"""Runs feature files with behave, several at a time, and counts scenarios.

A failed scenario listed in KNOWN-RED.txt is printed but doesn't fail the run; every
other failure does. Entries start with ``scenario: <feature file>: <scenario name>``.

A feature file that begins with the tag ``@alone`` runs by itself after the others.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "scenario: "
ALONE_TAG = "@alone"
WORKER_COUNT = 4
TIMEOUT_SECONDS = 1500
MAX_OUTPUT_CHARACTERS = 6000


def _known_red():
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def _runs_alone(path):
    first_line = path.read_text(encoding="utf-8").partition("\n")[0]
    return ALONE_TAG in first_line.split()


def _run_features(paths):
    """Yield the results in order; no other feature runs beside one that runs alone."""
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        together = [path for path in paths if not _runs_alone(path)]
        yield from pool.map(_run_feature, together)
    yield from map(_run_feature, filter(_runs_alone, paths))


def _run_feature(path):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", str(path)]
        command += ["--format", "json", "--outfile", str(report), "--no-color"]
        command += ["--format", "plain", "--outfile", "/dev/stdout"]
        completed = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        try:
            features = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            features = []
    return path, completed, features


def _scenarios(path, features):
    name = path.relative_to(ROOT).as_posix()
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            # Names of a scenario outline's unnamed examples end with a blank.
            yield f"{name}: {element['name'].strip()}", element


def _failure_text(element):
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed", "skipped"):
            message = result.get("error_message", "")
            text = message if isinstance(message, str) else "\n".join(message)
            return f"{step['keyword']} {step['name']}\n{text}"
    return ""


def main():
    """Run the features given on the command line, or all."""
    chosen = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    paths = chosen or sorted((ROOT / "features").rglob("*.feature"))
    known_red_names = _known_red()
    passed, failed, known_red_failures = 0, [], []
    for path, completed, features in _run_features(paths):
        scenarios = list(_scenarios(path, features))
        if not scenarios or (completed.returncode and not _any_failed(scenarios)):
            failed.append(f"{path.name}: did not run")
            print(completed.stdout[-MAX_OUTPUT_CHARACTERS:], completed.stderr[-4000:])
        for name, element in scenarios:
            if element["status"] == "passed":
                passed += 1
            elif name in known_red_names:
                known_red_failures.append(name)
            else:
                failed.append(name)
                print(f"FAILED {name}\n{_failure_text(element)}")
                print(completed.stdout[-MAX_OUTPUT_CHARACTERS:])
        print(f"{path.relative_to(ROOT)}: {len(scenarios)} scenarios", flush=True)
    for name in known_red_failures:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


def _any_failed(scenarios):
    return any(element["status"] != "passed" for _, element in scenarios)


if __name__ == "__main__":
    main()

"""Breaks the mechanism of each promise in a scratch copy; its feature has to fail.

tools/mutants.toml lists the mutants: the promise, the file, the text to replace and its
replacement, and the feature that has to fail. A mutant that survives, or whose text is
not found exactly once, fails the run.
"""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANT_LIST = ROOT / "tools" / "mutants.toml"
COPIED_FOLDERS = ("src", "features", "tools", "docs", "examples", "benchmarks")
WORKER_COUNT = 4


def _run(mutant):
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for name in COPIED_FOLDERS:
            if (ROOT / name).exists():
                shutil.copytree(ROOT / name, scratch / name)
        target = scratch / mutant["file"]
        text = target.read_text(encoding="utf-8")
        if text.count(mutant["old"]) != 1:
            return mutant, "text not found once"
        target.write_text(text.replace(mutant["old"], mutant["new"]), encoding="utf-8")
        command = [sys.executable, "tools/run_tests.py", mutant["feature"]]
        completed = subprocess.run(
            command,
            cwd=scratch,
            env=os.environ | {"PYTHONPATH": str(scratch / "src")},
            capture_output=True,
            text=True,
            check=False,
        )
        return mutant, "killed" if completed.returncode else "SURVIVED"


def main():
    """Run all mutants, or those whose promise contains all the given texts."""
    mutants = tomllib.loads(MUTANT_LIST.read_text(encoding="utf-8"))["mutant"]
    selected = [
        one for one in mutants if all(t in one["promise"] for t in sys.argv[1:])
    ]
    failed = 0
    print("| promise | broken | test | result |\n|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        for mutant, result in pool.map(_run, selected):
            failed += result != "killed"
            cells = (mutant["promise"], mutant["file"], mutant["feature"], result)
            print("| " + " | ".join(cells) + " |", flush=True)
    print(f"{len(selected) - failed} killed, {failed} not killed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

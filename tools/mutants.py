"""Breaks each promise's mechanism on a scratch copy and shows that its test goes red.

Mutants are listed in tools/mutants.toml: the promise, the file, the text that is
replaced and its replacement, and the feature that has to fail. A mutant that survives,
or whose text is not found, fails the run.
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
LIST = ROOT / "tools" / "mutants.toml"
COPIED = ("src", "features", "tools", "docs", "examples", "benchmarks")
WORKERS = 4


def _run(mutant):
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for name in COPIED:
            if (ROOT / name).exists():
                shutil.copytree(ROOT / name, scratch / name)
        target = scratch / mutant["file"]
        text = target.read_text(encoding="utf-8")
        if text.count(mutant["old"]) != 1:
            return mutant, "text not found once"
        target.write_text(text.replace(mutant["old"], mutant["new"]), encoding="utf-8")
        command = [sys.executable, "tools/run_tests.py", mutant["feature"]]
        done = subprocess.run(
            command,
            cwd=scratch,
            env=os.environ | {"PYTHONPATH": str(scratch / "src")},
            capture_output=True,
            text=True,
            check=False,
        )
        return mutant, "killed" if done.returncode else "SURVIVED"


def main():
    """Run all mutants, or those whose promise contains the given text."""
    mutants = tomllib.loads(LIST.read_text(encoding="utf-8"))["mutant"]
    chosen = [one for one in mutants if all(t in one["promise"] for t in sys.argv[1:])]
    failed = 0
    print("| promise | broken | test | result |\n|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for mutant, result in pool.map(_run, chosen):
            failed += result != "killed"
            cells = (mutant["promise"], mutant["file"], mutant["feature"], result)
            print("| " + " | ".join(cells) + " |", flush=True)
    print(f"{len(chosen) - failed} killed, {failed} not killed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Fails when a source file belongs to no package, so that it is never built."""

import pathlib
import subprocess
import sys


def is_named(path, root):
    for folder in path.parents:
        lists = folder / "CMakeLists.txt"
        if folder == root:
            return False
        if lists.exists():
            return path.name in lists.read_text()
    return False


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.cc"],
        cwd=root, check=True, capture_output=True, text=True)
    lost = [name for name in listed.stdout.split()
            if (root / name).exists() and not is_named(root / name, root)]
    for name in lost:
        print(f"{name}: no CMakeLists.txt names it")
    print("sources: all belong to a package" if not lost else "")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())

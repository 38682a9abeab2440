#!/usr/bin/env python3
"""Fails when a file of a lower folder includes a header of a higher one."""

import pathlib
import re
import sys

ORDER = ["base", "version", "process", "request", "connection"]
INCLUDE = re.compile(r'#include\s+"(rattanweir/(\w+)/|platform/|programs/|testing/|bench/)')


def faults_in(path, rank):
    is_test = path.name.endswith("_test.cc")
    for number, line in enumerate(path.read_text().splitlines(), 1):
        found = INCLUDE.search(line)
        if not found:
            continue
        folder = found.group(2)
        if folder is None and is_test and found.group(1) == "testing/":
            continue
        if folder is None or ORDER.index(folder) > rank:
            yield f"{path}:{number}: {line.strip()}"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent / "rattanweir"
    faults = []
    for rank, folder in enumerate(ORDER):
        for path in sorted((root / folder).rglob("*.[hc]*")):
            if path.suffix in (".h", ".cc"):
                faults.extend(faults_in(path, rank))
    print("\n".join(faults) or "layers: no lower folder includes a higher one")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

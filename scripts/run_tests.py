#!/usr/bin/env python3
"""Runs all tests; passes over exactly those that KNOWN-RED.txt lists.

An entry `test PACKAGE TARGET NAME | what was seen | issue` names one test of
one test target. It is run by itself, and its verdict printed. All other tests
must pass, also those of the same name in other targets and those whose names
contain it. An entry that names no test is an error.
"""
import json, pathlib, re, subprocess, sys
from collections import defaultdict

ENTRY = re.compile(r"^test ([^\s|]+) ([^\s|]+) ([^\s|]+) \|")


def read_listed(path):
    """Returns the listed tests, as (package, target) to names."""
    listed = defaultdict(list)
    for line in path.read_text().splitlines():
        if not line.startswith("test "):
            continue
        entry = ENTRY.match(line)
        if not entry:
            sys.exit(f"KNOWN-RED.txt: no package, target and name: {line}")
        package, target, name = entry.groups()
        listed[package, target].append(name)
    return listed


def read_targets():
    """Returns the targets that `cargo test` covers, as (kind, name), by
    package."""
    metadata = ["cargo", "metadata", "--no-deps", "--format-version", "1"]
    packages = json.loads(subprocess.check_output(metadata))["packages"]
    return {
        package["name"]: [
            (target["kind"][0], target["name"])
            for target in package["targets"]
            if target["kind"][0] in ("lib", "bin", "example", "test")
        ]
        for package in packages
    }


def passes(*arguments, **options):
    print("+ cargo test", *arguments, flush=True)
    return subprocess.run(["cargo", "test", *arguments], **options).returncode == 0


def names(package, target):
    """Returns the names of all tests of a target."""
    command = ["cargo", "test", "--quiet", "-p", package, "--test", target]
    command += ["--", "--list", "--format", "terse"]
    lines = subprocess.check_output(command, text=True).splitlines()
    return {line.removesuffix(": test") for line in lines if line.endswith(": test")}


def commands(listed, targets):
    """Yields the arguments of the runs that together cover all tests but the
    listed ones."""
    apart = sorted({package for package, _ in listed})
    yield ["--workspace", *(a for p in apart for a in ("--exclude", p))]
    for package in apart:
        selected = []
        for kind, name in targets[package]:
            if kind == "lib":
                selected.append("--lib")
            elif kind != "test" or (package, name) not in listed:
                selected += [f"--{kind}", name]
        if selected:
            yield ["-p", package, *selected]
        if any(kind == "lib" for kind, _ in targets[package]):
            yield ["-p", package, "--doc"]
    for (package, target), known in sorted(listed.items()):
        skips = [argument for name in known for argument in ("--skip", name)]
        yield ["-p", package, "--test", target, "--", "--exact", *skips]


def main():
    listed = read_listed(pathlib.Path("KNOWN-RED.txt"))
    targets = read_targets()
    for (package, target), known in listed.items():
        if ("test", target) not in targets.get(package, []):
            sys.exit(f"KNOWN-RED.txt: {package} has no test target {target}")
        for name in set(known) - names(package, target):
            sys.exit(f"KNOWN-RED.txt: {package} {target} has no test {name}")
    for arguments in commands(listed, targets):
        if not passes(*arguments):
            sys.exit(1)
    for (package, target), known in sorted(listed.items()):
        for name in known:
            selected = ["-p", package, "--test", target]
            is_passed = passes(
                "--quiet", *selected, "--", "--exact", name,
                stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            )
            verdict = "known red, passed this time" if is_passed else "known red"
            print(f"{verdict}: {package} {target} {name}", flush=True)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Writes a variant of an operators' site: the site's file with the named changes of a change list.

usage: make_variant.py SITE.toml CHANGES OUTPUT_FOLDER

The folder gets site.toml and copies of the files that stand beside the site (real.json, wire.json, unlock.txt). What is
written is not kept in the repository (.gitignore); the change lists are.

A change list has one change a line; '#' begins a comment:

    set TABLE KEY = VALUE       sets a key of a table; the table has to be there, the key may be new
    drop TABLE                  removes every table of that name
    add TABLE KEY = VALUE ...   appends a table of a list, its keys separated by ';'
"""

import shutil
import sys
from pathlib import Path

BESIDE = ("real.json", "wire.json", "unlock.txt")


class ChangeError(Exception):
    """A change list that cannot be carried out, with the line at fault."""


def read_tables(text):
    """Returns the site's tables in order, each as [header, list of lines]; the first has an empty header."""
    tables = [["", []]]
    for line in text.splitlines():
        if line.startswith("["):
            tables.append([line.strip(), []])
        else:
            tables[-1][1].append(line)
    return tables


def is_table(header, name):
    return header in (f"[{name}]", f"[[{name}]]") or (name == "site" and header == "")


def set_key(tables, name, key, value):
    matching = [lines for header, lines in tables if is_table(header, name)]
    if not matching:
        raise ChangeError(f"there is no table {name}")
    for lines in matching:
        lines[:] = [line for line in lines if line.split("=")[0].strip() != key]
        lines.insert(0, f"{key} = {value}")


def drop(tables, name):
    kept = [table for table in tables if not is_table(table[0], name)]
    if len(kept) == len(tables):
        raise ChangeError(f"there is no table {name}")
    tables[:] = kept


def add(tables, name, assignments):
    lines = [part.strip() for part in assignments.split(";")] + [""]
    tables.append([f"[[{name}]]", lines])


def apply(tables, change):
    verb, _, rest = change.partition(" ")
    name, _, rest = rest.strip().partition(" ")
    if verb == "set" and "=" in rest:
        key, _, value = rest.partition("=")
        set_key(tables, name, key.strip(), value.strip())
    elif verb == "drop" and not rest:
        drop(tables, name)
    elif verb == "add" and "=" in rest:
        add(tables, name, rest)
    else:
        raise ChangeError("not a change: give set, drop or add")


def main(arguments):
    if len(arguments) != 3:
        sys.exit(__doc__)
    site, changes, folder = map(Path, arguments)
    tables = read_tables(site.read_text())
    for number, line in enumerate(changes.read_text().splitlines(), start=1):
        change = line.split("#")[0].strip()
        if change:
            try:
                apply(tables, change)
            except ChangeError as error:
                sys.exit(f"{changes}:{number}: {error}: {change}")
    folder.mkdir(parents=True, exist_ok=True)
    text = "\n".join("\n".join(filter(None, [header])) + "\n" + "\n".join(lines) for header, lines in tables)
    (folder / "site.toml").write_text(text.lstrip("\n"))
    for name in BESIDE:
        shutil.copy(site.parent / name, folder / name)


if __name__ == "__main__":
    main(sys.argv[1:])

"""Counting of test results, with a list of known failures."""

import re
from pathlib import Path
from typing import Final

import attrs

ROOT: Final = Path(__file__).resolve().parent.parent
SEPARATOR: Final = ' | '
FIELD_COUNT: Final = 3
FEATURE: Final = '.feature'
# Kinds of files that a case outside CI may name.
CASE_FILES: Final = frozenset((FEATURE, '.sh', '.py'))
# A case outside CI: a file, for a feature with a world seed, and a title.
CASE: Final = re.compile(
    r'(?P<path>[\w/.-]+)(?P<seed> seed \d+)?: (?P<title>.+)'
)


@attrs.frozen(kw_only=True)
class KnownRed:
    """Hold one line of KNOWN-RED.txt: test | command and findings | issue."""

    test: str
    line: str

    @property
    def is_complete(self) -> bool:
        """Return True if it has a command with findings, and an issue."""
        fields = [field.strip() for field in self.line.split(SEPARATOR)]
        return len(fields) == FIELD_COUNT and all(fields)

    def is_case(self, seen: set[str], root: Path) -> bool:
        """Return True for a case outside CI whose script or feature exists.

        A scenario that CI has run with its own seed is a case with another one.
        """
        found = CASE.fullmatch(self.test)
        if found is None or not self.is_complete:
            return False
        path = Path(found['path'])
        if path.suffix not in CASE_FILES or not is_inside(path, root):
            return False
        if path.suffix == FEATURE:
            return bool(found['seed']) and f'{path}: {found["title"]}' in seen
        return True


def is_inside(path: Path, root: Path) -> bool:
    """Return True if a relative path names a file below the root."""
    is_relative = not path.is_absolute() and '..' not in path.parts
    return is_relative and (root / path).is_file()


@attrs.define(kw_only=True)
class Tally:
    """Count results and print the failures.

    A known failure excuses only the test whose full name it gives.
    """

    passed: int = 0
    failed: int = 0
    known: int = 0
    red: tuple[KnownRed, ...] = ()
    root: Path = ROOT
    seen: set[str] = attrs.field(factory=set)
    not_run: list[str] = attrs.field(factory=list)

    def add(self, name: str, *, good: bool, output: str = '') -> None:
        """Count one check or scenario."""
        self.seen.add(name)
        line = next((red.line for red in self.red if red.test == name), '')
        if good:
            self.passed += 1
            if line:
                print(f'KNOWN RED PASSES, take it off the list: {line}')
            return
        if line:
            self.known += 1
            print(f'KNOWN RED {line}')
            return
        self.failed += 1
        print(f'FAILED {name}\n{output}')

    def skip(self, name: str) -> None:
        """Record a scenario that skipped itself."""
        self.not_run.append(name)

    def check_known_red(self) -> None:
        """Fail for each line that names neither a test nor a case outside CI.

        Print the cases outside CI with their commands.
        """
        for red in self.red:
            if red.test in self.seen:
                continue
            if red.is_case(self.seen, self.root):
                print(f'KNOWN RED, NOT RUN BY CI {red.line}')
            else:
                self.fail(f'KNOWN-RED.txt names no test: {red.line}')

    def fail(self, name: str) -> None:
        """Count a failure that is not on the list of known failures."""
        self.failed += 1
        print(f'FAILED {name}')


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Parse the list; a test's name ends at the first separator."""
    return tuple(
        KnownRed(test=line.partition(SEPARATOR)[0].strip(), line=line)
        for line in text.splitlines()
        if line.strip()
    )

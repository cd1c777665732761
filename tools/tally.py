"""Counting of test results, with a list of known failures."""

from typing import Final

import attrs

KNOWN_RED_LIMIT: Final = 3
SEPARATOR: Final = ' | '


@attrs.frozen(kw_only=True)
class KnownRed:
    """Hold one line of KNOWN-RED.txt: test | cause | issue."""

    test: str
    line: str


@attrs.define(kw_only=True)
class Tally:
    """Count results and print the failures.

    A known failure excuses only the test whose full name it gives.
    """

    passed: int = 0
    failed: int = 0
    known: int = 0
    red: tuple[KnownRed, ...] = ()
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
        """Fail when the list is too long or names a test that did not run."""
        if len(self.red) > KNOWN_RED_LIMIT:
            self.fail(f'KNOWN-RED.txt has more than {KNOWN_RED_LIMIT} lines')
        for red in self.red:
            if red.test not in self.seen:
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

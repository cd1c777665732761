"""Steps about the pages: their examples and their links."""

import difflib
import os
import re
import shlex
import subprocess
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple
from unittest import mock

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill_lab.processes import process_group, program, wait_for_line

ROOT = Path(__file__).parents[2]
PROGRAMS = ('burdocksill', 'burdocksill-call', 'burdocksill-entry')
BLOCK = re.compile(r'<!-- run -->\n```console\n(.*?)```', re.DOTALL)
EXPORT = re.compile(r'export (\w+)=(.*)')
LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')
ANYTHING = '...'
SECONDS = 20


class Example(NamedTuple):
    """Hold one command of a page and what the page shows after it."""

    page: Path
    command: str
    shown: list[str]


def pages() -> list[Path]:
    """Return all pages, the README first."""
    return [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]


def examples() -> list[Example]:
    """Return the commands of all runnable blocks."""
    found: list[Example] = []
    for page in pages():
        for block in BLOCK.findall(page.read_text()):
            for line in block.splitlines():
                if line.startswith('$ '):
                    found.append(Example(page, line[2:], []))
                else:
                    found[-1].shown.append(line)
    return found


def matches(shown: list[str], printed: list[str]) -> bool:
    """Compare line by line; `...` stands for any text, or for lines."""
    pattern = ''
    for line in shown:
        if line.strip() == ANYTHING:
            pattern += r'(?:.*\n)*?'
        else:
            parts = map(re.escape, line.split(ANYTHING))
            pattern += '.*'.join(parts) + r'\s*?\n'
    return bool(re.fullmatch(pattern, ''.join(f'{ln}\n' for ln in printed)))


@given('each program takes {seconds:d} s longer to start')
def slow_starts(context: Context, seconds: int) -> None:
    """Let each Python program that starts from here on sleep first."""
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    (Path(folder) / 'sitecustomize.py').write_text(
        f'import time\n\ntime.sleep({seconds})\n',
    )
    slowed = {**os.environ, 'PYTHONPATH': folder}
    stack.enter_context(mock.patch.dict(os.environ, slowed))


@given('a fleet that burdocksill-lab started for the pages')
def start_fleet(context: Context) -> None:
    """Start the fleet that the pages tell readers to start."""
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    group = stack.enter_context(process_group(folder))
    # Asked to end, `up` ends its fleet too; killed, it would leave it behind.
    stack.callback(group.stop_all)
    play = folder / 'play'
    group.start('up', ['burdocksill-lab', 'up', f'--folder={play}'])
    trio.run(wait_for_line, group, 'up', 'ready')
    exported = dict(EXPORT.findall((play / 'env.sh').read_text()))
    context.example_folder = play
    context.example_environment = {**os.environ, **exported}


@when('the runnable examples of all pages run in the order of the pages')
def run_examples(context: Context) -> None:
    """Run each command and keep where the output differs."""
    context.examples = examples()
    context.differences = []
    for example in context.examples:
        words = shlex.split(example.command)
        assert words[0] in PROGRAMS, example
        done = subprocess.run(
            [program(words[0]), *words[1:]],
            cwd=context.example_folder,
            env=context.example_environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=SECONDS,
            check=False,
        )
        printed = done.stdout.splitlines()
        if not matches(example.shown, printed):
            page = str(example.page.relative_to(ROOT))
            lines = difflib.ndiff(example.shown, printed)
            context.differences.append(
                '\n'.join([page, example.command, *lines]),
            )


@then('at least {count:d} examples ran and each printed what its page shows')
def check_examples(context: Context, count: int) -> None:
    """Show every difference at once."""
    assert len(context.examples) >= count, len(context.examples)
    assert not context.differences, '\n\n'.join(context.differences)


def links(page: Path) -> list[Path]:
    """Return the files that a page links to."""
    return [
        (page.parent / target).resolve()
        for target in LINK.findall(page.read_text())
    ]


@then('every link between pages leads to a file')
def check_links(context: Context) -> None:
    """Look for each target."""
    lost = [
        f'{page.relative_to(ROOT)} -> {target}'
        for page in pages()
        for target in links(page)
        if not target.exists()
    ]
    assert not lost, '\n'.join(lost)


@then('docs/index.md leads to every page')
def check_index(context: Context) -> None:
    """Compare the index with the folder."""
    index = ROOT / 'docs/index.md'
    # A link to a folder leads to its listing.
    linked = {*links(index), index}
    unlinked = [
        str(page.relative_to(ROOT))
        for page in pages()[1:]
        if page not in linked and page.parent not in linked
    ]
    assert not unlinked, unlinked

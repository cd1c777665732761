"""Steps about pages that list what the code has."""

import re
import tomllib
from pathlib import Path

from behave import then
from behave.runner import Context

from burdocksill.requests.verdict import Reason

ROOT = Path(__file__).parents[2]
PAGE = ROOT / 'docs/reference/metrics.md'
VERDICTS = ROOT / 'docs/topics/verdicts.md'
COUNTED = re.compile(
    r"""(?:counters\.add|self\.count|counters\.timed)\(\s*'(\w+)'"""
)


@then('docs/reference/metrics.md names every counter of the code')
def check_counters(context: Context) -> None:
    """Look for each name that the code adds to."""
    sources = (ROOT / 'burdocksill').rglob('*.py')
    counted = {
        name
        for source in sources
        for name in COUNTED.findall(source.read_text())
    }
    assert len(counted) > 20, counted
    page = PAGE.read_text()
    unnamed = [
        name
        for name in sorted(counted)
        if f'`{name}`' not in page and f'`{name}_seconds`' not in page
    ]
    assert not unnamed, unnamed


@then('every counter on docs/reference/metrics.md is in the code')
def check_counters_exist(context: Context) -> None:
    """Look for each name in the first columns as a part of a string."""
    sources = (ROOT / 'burdocksill').rglob('*.py')
    code = '\n'.join(source.read_text() for source in sources)
    named = {
        name.removesuffix('_seconds')
        for line in PAGE.read_text().splitlines()
        if line.startswith('| `')
        for name in re.findall(r'`(\w+)`', line.split('|')[1])
    }
    assert len(named) > 20, named
    missing = [
        name
        for name in sorted(named)
        if not re.search(rf"""['"_]{name}|{name}['"]""", code)
    ]
    assert not missing, missing


@then('docs/topics/verdicts.md names every reason of the code')
def check_reasons(context: Context) -> None:
    """Look for each reason in the first column of the table."""
    rows = [
        line.split('|')[1]
        for line in VERDICTS.read_text().splitlines()
        if line.startswith('| `')
    ]
    named = ''.join(rows)
    unnamed = [
        reason.value for reason in Reason if f'`{reason.value}`' not in named
    ]
    assert not unnamed, unnamed


@then('docs/internals/dependencies.md names every dependency')
def check_dependencies(context: Context) -> None:
    """Compare the page with what the project asks for."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    page = (ROOT / 'docs/internals/dependencies.md').read_text()
    names = [re.split(r'[<>=~]', text)[0] for text in project['dependencies']]
    unnamed = [name for name in names if f'`{name}`' not in page]
    assert names and not unnamed, unnamed

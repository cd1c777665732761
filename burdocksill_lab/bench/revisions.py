"""The project's own revisions, checked out for a comparison."""

import subprocess
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from burdocksill.exceptions import BurdocksillError

ROOT: Final = Path(__file__).resolve().parent.parent.parent


class RevisionMissingError(BurdocksillError):
    """Say that a revision cannot be checked out."""

    code = 'burdocksill.E903'


def run_git(*arguments: str) -> str:
    """Run git in the project's repository."""
    done = subprocess.run(
        ['git', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode != 0:
        raise RevisionMissingError(
            message=f'git {arguments[0]} ended with {done.returncode}',
            hint=done.stderr.strip(),
        )
    return done.stdout.strip()


def revision_of(name: str) -> str:
    """Return the short id of a revision."""
    return run_git('rev-parse', '--short', name)


def current_revision() -> str:
    """Return this tree's revision; say so where files were changed."""
    changed = run_git('status', '--porcelain', 'burdocksill', 'burdocksill_lab')
    suffix = '-changed' if changed else ''
    return revision_of('HEAD') + suffix


@contextmanager
def checked_out(revision: str, folder: Path) -> Iterator[Path]:
    """Check a revision out until the block ends."""
    tree = folder / 'tree'
    run_git('worktree', 'add', '--detach', str(tree), revision)
    try:
        yield tree
    finally:
        run_git('worktree', 'remove', '--force', str(tree))

"""Steps that play a burst of load from the command line."""

import tempfile
from pathlib import Path

from behave import then, when
from behave.runner import Context
from click.testing import CliRunner

from burdocksill_lab.main import group

PNG = b'\x89PNG'


@when('a short burst is played with a plot')
def play_burst(context: Context) -> None:
    """Run the command."""
    context.plot = Path(tempfile.mkdtemp()) / 'load.png'
    arguments = ['--seeds=1', '--seconds=2', f'--plot={context.plot}']
    context.ended = CliRunner().invoke(group, ['load', *arguments])


@then('a line for each variant tells of feeds, offers and upstreams')
def check_lines(context: Context) -> None:
    """Read what was printed."""
    assert context.ended.exit_code == 0, context.ended.output
    lines = context.ended.output.splitlines()
    names = [line.partition(',')[0] for line in lines]
    assert names == ['no admission', 'admission'], lines
    for line in lines:
        assert 'feeds' in line and 'offers' in line, line
        assert 'busiest upstream over mean' in line, line


@then('the plot is a picture')
def check_plot(context: Context) -> None:
    """Look at the file."""
    assert context.plot.read_bytes().startswith(PNG)

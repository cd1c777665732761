"""Steps that run a burst of load from the command line."""

import tempfile
from pathlib import Path

from behave import then, when
from behave.runner import Context
from click.testing import CliRunner

from burdocksill_lab.main import group

PNG_SIGNATURE = b'\x89PNG'


@when('a short burst is run with a plot')
def run_burst(context: Context) -> None:
    """Run the load command with a plot."""
    context.plot = Path(tempfile.mkdtemp()) / 'load.png'
    arguments = ['--seeds=1', '--seconds=2', f'--plot={context.plot}']
    context.result = CliRunner().invoke(group, ['load', *arguments])


@then('a line for each variant reports feeds, offers and upstreams')
def check_lines(context: Context) -> None:
    """Check the printed lines."""
    assert context.result.exit_code == 0, context.result.output
    lines = context.result.output.splitlines()
    names = [line.partition(',')[0] for line in lines]
    assert names == ['no admission', 'admission'], lines
    for line in lines:
        assert 'feeds' in line and 'offers' in line, line
        assert 'busiest upstream over mean' in line, line


@then('the plot is a PNG image')
def check_plot(context: Context) -> None:
    """Check the signature of the file."""
    assert context.plot.read_bytes().startswith(PNG_SIGNATURE)

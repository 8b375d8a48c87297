"""``peridothitch run``: the embedded default in one process."""

import pathlib

import click

from peridothitch.cli import processes, settings
from peridothitch.gateway import embedded

__all__ = ["run"]

_START_MESSAGE = """\
listening on port {port}; try:

  curl -N http://127.0.0.1:{port}/v1/chat/completions \\
    -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
    -d '{{"stream": true, "messages": [{{"role": "user", "content": "Hello"}}]}}'
"""


@click.command(cls=settings.SettingsCommand)
@click.option(
    "--listen",
    type=settings.ADDRESS,
    default="127.0.0.1:8080",
    show_default=True,
    help="IP number and port for callers; port 0 takes a free one.",
)
@click.option(
    "--document",
    type=click.Path(exists=True, dir_okay=False),
    help="YAML document to start with.  [default: the built-in example]",
)
def run(listen, document):
    """Run store, upstreams and one entry host in one process."""
    processes.block_stop_signals()
    text = embedded.EXAMPLE_DOCUMENT
    if document is not None:
        text = pathlib.Path(document).read_text(encoding="utf-8")
    system = embedded.EmbeddedSystem(text, listen)
    system.start()
    click.echo(_START_MESSAGE.format(port=system.port, key=embedded.EXAMPLE_KEY))
    processes.wait_for_stop()
    system.stop()

"""The ``peridothitch`` command and its groups."""

import sys

import click

import peridothitch
from peridothitch import errors
from peridothitch.cli import config, run, serve, standin, status

__all__ = ["cli", "main"]

EXIT_FAILURE = 1


@click.group(context_settings={"auto_envvar_prefix": "PERIDOTHITCH"})
@click.version_option(peridothitch.__version__, prog_name="peridothitch")
def cli():
    """Serve model and application traffic on reclaimable hosts."""


cli.add_command(config.config)
cli.add_command(run.run)
cli.add_command(serve.serve)
cli.add_command(standin.standin)
cli.add_command(status.status)


def main():
    """Run the command line and exit."""
    try:
        cli(prog_name="peridothitch")
    except errors.CodedError as error:
        click.echo(f"error {error}", err=True)
        sys.exit(EXIT_FAILURE)

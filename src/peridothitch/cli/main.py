"""The ``peridothitch`` command and its groups."""

import importlib
import sys

import click

import peridothitch
from peridothitch import errors

__all__ = ["cli", "main"]

EXIT_FAILURE = 1
_COMMANDS = ("bill", "config", "run", "serve", "standin", "status")


class _LazyGroup(click.Group):
    """Group that imports a command's module when the command is used."""

    def list_commands(self, ctx):
        return list(_COMMANDS)

    def get_command(self, ctx, cmd_name):
        if cmd_name not in _COMMANDS:
            return None
        module = importlib.import_module(f"peridothitch.cli.{cmd_name}")
        return getattr(module, cmd_name)


@click.group(cls=_LazyGroup, context_settings={"auto_envvar_prefix": "PERIDOTHITCH"})
@click.version_option(peridothitch.__version__, prog_name="peridothitch")
def cli():
    """Serve model and application traffic on reclaimable hosts."""


def main():
    """Run the command line and exit."""
    try:
        cli(prog_name="peridothitch")
    except errors.CodedError as error:
        click.echo(f"error {error}", err=True)
        sys.exit(EXIT_FAILURE)

"""The ``peridothitch`` command and its groups."""

import importlib
import sys

import click

import peridothitch
from peridothitch import errors
from peridothitch.cli import exit_codes, output

__all__ = ["cli", "main"]

_COMMANDS = (
    "bill",
    "completion",
    "config",
    "explain",
    "forward",
    "rules",
    "run",
    "serve",
    "standin",
    "status",
)
_PROGRAM = "peridothitch"


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
@click.version_option(peridothitch.__version__, prog_name=_PROGRAM)
def cli():
    """Serve model and application traffic on reclaimable hosts.

    Every setting is a flag and an environment variable, which each command's help
    names; the flag goes first.
    """


def main(arguments=None):
    """Run the command line and exit.

    Parameters
    ----------
    arguments : sequence of str or None
        Arguments after the program name; those of the process by default.
    """
    sys.exit(_run(arguments))


def _run(arguments):
    command_output = output.Output()
    try:
        return (
            cli.main(arguments, _PROGRAM, standalone_mode=False, obj=command_output)
            or 0
        )
    except errors.CodedError as error:
        command_output.print_error(error)
        return exit_codes.exit_code(error)
    except click.exceptions.NoArgsIsHelpError as error:
        error.show()
        return exit_codes.ExitCode.INVALID_SETTINGS
    except click.ClickException as error:
        command_output.print_error(errors.SettingsError([error.format_message()]))
        return exit_codes.ExitCode.INVALID_SETTINGS
    except click.Abort:
        return exit_codes.ExitCode.FAILURE

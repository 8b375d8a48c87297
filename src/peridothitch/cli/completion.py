"""``peridothitch completion``: scripts that complete the command in a shell."""

import click
from click import shell_completion

from peridothitch.cli import settings

__all__ = ["completion"]

_VARIABLE = "_PERIDOTHITCH_COMPLETE"


@click.command(cls=settings.SettingsCommand)
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(ctx, shell):
    """Print the completion script for SHELL.

    Load it with ``eval "$(peridothitch completion bash)"``.
    """
    root = ctx.find_root()
    kind = shell_completion.get_completion_class(shell)
    complete = kind(root.command, {}, root.info_name, _VARIABLE)
    # The class for bash would start bash to learn its version.
    click.echo(shell_completion.ShellComplete.source(complete))

"""``peridothitch completion``: scripts that complete the command in a shell."""

import click
from click import shell_completion

from peridothitch.cli import settings

__all__ = ["completion"]

_COMPLETE_VARIABLE = "_PERIDOTHITCH_COMPLETE"


@click.command(cls=settings.SettingsCommand)
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(ctx, shell):
    """Print the completion script for SHELL.

    Load it with ``eval "$(peridothitch completion bash)"``.
    """
    root = ctx.find_root()
    completion_class = shell_completion.get_completion_class(shell)
    completer = completion_class(root.command, {}, root.info_name, _COMPLETE_VARIABLE)
    # BashComplete.source would start bash to check its version.
    click.echo(shell_completion.ShellComplete.source(completer))

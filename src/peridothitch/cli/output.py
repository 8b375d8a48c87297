"""Prints results and errors of operators' commands as text or JSON."""

import dataclasses
import json

import click

__all__ = ["Output", "option"]


@dataclasses.dataclass
class Output:
    """Output format of a command; set while its options are parsed."""

    as_json: bool = False

    def print_result(self, result, text):
        """Print a result.

        Parameters
        ----------
        result : dict
            Printed as JSON with ``--output json``.
        text : str
            Printed otherwise.
        """
        if self.as_json:
            text = json.dumps(result, indent=2, sort_keys=True)
        click.echo(text)

    def print_error(self, error):
        """Print a `peridothitch.errors.CodedError` to standard error."""
        if self.as_json:
            click.echo(json.dumps({"error": _to_fields(error)}, indent=2), err=True)
            return
        for fault in getattr(error, "faults", ()) or (error.detail,):
            click.echo(
                f"error {int(error.code)} {_code_name(error)}: {fault}", err=True
            )


def _code_name(error):
    return error.code.name.lower()


def _to_fields(error):
    fields = {
        "code": int(error.code),
        "name": _code_name(error),
        "detail": error.detail,
    }
    faults = getattr(error, "faults", ())
    if faults:
        fields["faults"] = [str(fault) for fault in faults]
    return fields


def _set_format(ctx, param, value):
    output = ctx.find_object(Output)
    output.as_json = value == "json"
    return output


option = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    is_eager=True,
    callback=_set_format,
    help="Form of results and errors.",
)
"""Option that passes an `Output` to a command."""

"""Types of settings, and commands that report all faulty settings at once."""

import datetime
import functools
import ipaddress
import re

import click

from peridothitch import errors

__all__ = ["ADDRESS", "DURATION", "NAME", "SIZE", "SettingsCommand"]

_FAULTS_KEY = "peridothitch.faults"
_MAX_PORT = 65535
_UNIT_BY_SUFFIX = {
    "ms": datetime.timedelta(milliseconds=1),
    "s": datetime.timedelta(seconds=1),
    "m": datetime.timedelta(minutes=1),
    "h": datetime.timedelta(hours=1),
}
_BYTES_BY_SUFFIX = {"": 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
_SIZE = re.compile(r"(\d+)(B|KiB|MiB|GiB)?")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class _Address(click.ParamType):
    name = "IP:PORT"

    def convert(self, value, param, ctx):
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            self.fail(f"{value!r} does not start with an IP number", param, ctx)
        if not port.isdigit() or int(port) > _MAX_PORT:
            self.fail(f"{value!r} does not end in a port of 0 to 65535", param, ctx)
        return value


class _Duration(click.ParamType):
    name = "DURATION"

    def convert(self, value, param, ctx):
        if isinstance(value, datetime.timedelta):
            return value
        match = _DURATION.fullmatch(value)
        if match is None:
            self.fail(f"{value!r} is not a number with ms, s, m or h", param, ctx)
        duration = float(match[1]) * _UNIT_BY_SUFFIX[match[2]]
        if not duration:
            self.fail(f"{value!r} is not longer than 0", param, ctx)
        return duration


class _Size(click.ParamType):
    name = "SIZE"

    def convert(self, value, param, ctx):
        if isinstance(value, int):
            return value
        match = _SIZE.fullmatch(value)
        if match is None:
            self.fail(f"{value!r} is not a number with B, KiB, MiB or GiB", param, ctx)
        return int(match[1]) * _BYTES_BY_SUFFIX[match[2] or ""]


class _Name(click.ParamType):
    name = "NAME"

    def convert(self, value, param, ctx):
        if not _NAME.fullmatch(value):
            self.fail(
                f"{value!r} is not 1 to 63 letters, digits, dots, dashes and "
                "underscores that start with a letter or digit",
                param,
                ctx,
            )
        return value


ADDRESS = _Address()
"""An IP number and a port, as text."""

DURATION = _Duration()
"""A `datetime.timedelta`, written as a number with ms, s, m or h."""

SIZE = _Size()
"""A number of bytes, written with B, KiB, MiB or GiB."""

NAME = _Name()
"""A name of a host or data centre."""


class SettingsCommand(click.Command):
    """Command that checks all its settings before it reports the faulty ones.

    Each setting is a flag and an environment variable; the flag takes precedence.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.allow_extra_args = True
        self.ignore_unknown_options = True
        for param in self.params:
            param.handle_parse_result = functools.partial(
                _handle_parse_result, param.handle_parse_result
            )
            if isinstance(param, click.Option):
                param.show_envvar = True

    def parse_args(self, ctx, args):
        """Parse flags, arguments and environment variables.

        Raises
        ------
        peridothitch.errors.SettingsError
            With one sentence for each faulty setting.
        """
        faults = ctx.meta.setdefault(_FAULTS_KEY, [])
        try:
            rest = super().parse_args(ctx, args)
        except click.UsageError as error:
            raise errors.SettingsError([error.format_message()]) from None
        faults.extend(f"No such option or argument: {word}" for word in rest)
        if faults and not ctx.resilient_parsing:
            raise errors.SettingsError(faults)
        return rest


def _handle_parse_result(handle, ctx, values, rest):
    """Handle one setting; record its fault for `parse_args` instead of raising it."""
    try:
        return handle(ctx, values, rest)
    except click.UsageError as error:
        ctx.meta[_FAULTS_KEY].append(error.format_message())
        return None, rest

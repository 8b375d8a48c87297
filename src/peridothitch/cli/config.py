"""``peridothitch config``: check, show and edit the operators' document."""

import difflib
import hashlib
import json
import pathlib

import click

from peridothitch import errors
from peridothitch.adapters import etcd_store, yaml_codec
from peridothitch.cli import exit_codes, output, settings
from peridothitch.coordination import documents
from peridothitch.gateway import customers

__all__ = ["config"]

_BASE_PREFIX = "# base: "
_path = click.argument("path", type=click.Path(exists=True, dir_okay=False))
_section = click.argument("section", type=click.Choice(yaml_codec.SECTIONS))
_store = click.option(
    "--store",
    required=True,
    type=settings.ADDRESS,
    envvar="PERIDOTHITCH_STORE",
    help="IP number and port of the key-value service.",
)


def _read_file(path):
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise errors.DocumentError(
            errors.Code.DOCUMENT_SYNTAX, f"{path} is not UTF-8: {error.reason}"
        ) from None


def _open_store(address):
    return documents.DocumentStore(
        etcd_store.EtcdStore(address), yaml_codec.YamlCodec()
    )


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


@click.group()
def config():
    """Check, show and edit the operators' document."""


@config.command(cls=settings.SettingsCommand)
@_path
@output.option
def check(path, output):
    """Check the document in PATH without storing it; all faults are reported."""
    document = yaml_codec.parse_document(_read_file(path))
    count_by_section = {
        "routes": len(document.route_by_name),
        "customers": len(document.customer_by_name),
        "versions": len(document.service_by_name),
        "spending": len(document.limit_by_name),
        "moves": len(document.move_by_name),
    }
    counts = ", ".join(f"{count} {name}" for name, count in count_by_section.items())
    output.print_result({"valid": True, **count_by_section}, f"valid: {counts}")


@config.command(cls=settings.SettingsCommand)
def schema():
    """Print the document's JSON Schema."""
    click.echo(json.dumps(yaml_codec.schema(), indent=2, sort_keys=True))


@config.command(cls=settings.SettingsCommand)
@output.option
def sections(output):
    """Print the names of the document's sections."""
    names = list(yaml_codec.SECTIONS)
    output.print_result({"sections": names}, "\n".join(names))


@config.command(cls=settings.SettingsCommand)
@_store
@click.argument(
    "section", required=False, type=click.Choice(yaml_codec.SECTIONS), default=None
)
@output.option
def show(store, section, output):
    """Print the stored document, or one SECTION of it.

    A section starts with a line that tells what it is based on; keep it, so that
    ``config edit`` notices edits made meanwhile.
    """
    stored = _open_store(store).load()
    revision = stored.document.revision
    if section is None:
        text = yaml_codec.join_sections(stored.text_by_section)
        first_line = f"# revision {revision}"
        result = {"revision": revision, "sections": dict(stored.text_by_section)}
    else:
        text = stored.text_by_section.get(section, "")
        first_line = f"{_BASE_PREFIX}{_digest(text)}"
        result = {"revision": revision, "text": text, "base": _digest(text)}
    output.print_result(result, f"{first_line}\n{text}".rstrip("\n"))


@config.command(cls=settings.SettingsCommand)
@_store
@_path
@output.option
def create(store, path, output):
    """Store the document in PATH as the first one."""
    _open_store(store).create(_read_file(path))
    output.print_result({"revision": 1}, "accepted: revision 1")


@config.command(cls=settings.SettingsCommand)
@_store
@_section
@_path
@output.option
@click.pass_context
def diff(ctx, store, section, path, output):
    """Print what PATH changes in the stored SECTION.

    Ends with exit code 6 when there are differences.
    """
    stored = _open_store(store).load()
    _, text = _split_base(_read_file(path))
    lines = list(
        difflib.unified_diff(
            stored.text_by_section.get(section, "").splitlines(),
            text.splitlines(),
            f"{section} (revision {stored.document.revision})",
            path,
            lineterm="",
        )
    )
    output.print_result({"differences": lines}, "\n".join(lines))
    if lines:
        ctx.exit(exit_codes.ExitCode.DIFFERS)


@config.command(cls=settings.SettingsCommand)
@_store
@click.option(
    "--key",
    default="",
    show_envvar=True,
    envvar="PERIDOTHITCH_OWNER_KEY",
    help="Key of the section's owner.  [default: none]",
)
@click.option(
    "--base",
    type=click.Path(exists=True, dir_okay=False),
    help="Text of the section that the edit was made from.  [default: the "
    "line that `config show SECTION` puts first, else what is stored now]",
)
@_section
@_path
@output.option
def edit(store, key, base, section, path, output):
    """Replace SECTION by the YAML in PATH.

    Refused with exit code 3 when the section is no longer what the edit was made
    from. Running the same edit again is safe.
    """
    document_store = _open_store(store)
    base_digest, text = _split_base(_read_file(path))
    base_text = _split_base(_read_file(base))[1] if base is not None else None
    if base_text is None:
        base_text = _find_base(document_store, section, base_digest, text)
    revision = document_store.edit(section, text, customers.hash_key(key), base_text)
    output.print_result({"revision": revision}, f"accepted: revision {revision}")


def _split_base(text):
    """Return the base digest in the first line, or None, and the rest of the text."""
    if not text.startswith(_BASE_PREFIX):
        return None, text
    first, _, rest = text.partition("\n")
    return first.removeprefix(_BASE_PREFIX).strip(), rest


def _find_base(document_store, section, base_digest, text):
    stored = document_store.load().text_by_section.get(section, "")
    if base_digest is None or stored == text or _digest(stored) == base_digest:
        return stored
    raise errors.DocumentError(
        errors.Code.SECTION_CONFLICT,
        f"{section} was edited meanwhile\ntheirs:\n{stored}\nyours:\n{text}",
        section,
    )

"""``peridothitch config``: check, show and edit the operators' document."""

import json
import pathlib

import click

from peridothitch.adapters import document_file, etcd_store
from peridothitch.coordination import documents
from peridothitch.gateway import customers

__all__ = ["config"]

_store = click.option("--store", required=True, help="IP number and port of the store.")


def _read(path):
    return pathlib.Path(path).read_text(encoding="utf-8")


@click.group()
def config():
    """Check, show and edit the operators' document."""


@config.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def check(path):
    """Check the document in PATH without storing it."""
    document = document_file.parse_document(_read(path))
    click.echo(f"valid: {len(document.route_by_name)} routes")


@config.command()
def schema():
    """Print the document's JSON Schema."""
    click.echo(json.dumps(document_file.schema(), indent=2, sort_keys=True))


@config.command()
@_store
def show(store):
    """Print the stored document."""
    stored = documents.DocumentStore(
        etcd_store.EtcdStore(store), document_file.YamlCodec()
    ).load()
    click.echo(f"# revision {stored.document.revision}")
    click.echo(document_file.join_sections(stored.text_by_section), nl=False)


@config.command()
@_store
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def create(store, path):
    """Store the document in PATH as the first one."""
    document_store = documents.DocumentStore(
        etcd_store.EtcdStore(store), document_file.YamlCodec()
    )
    document_store.create(_read(path))
    click.echo("accepted: revision 1")


@config.command()
@_store
@click.option("--key", default="", help="Key of the section's owner.")
@click.argument("section")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def edit(store, key, section, path):
    """Replace SECTION by the YAML in PATH."""
    document_store = documents.DocumentStore(
        etcd_store.EtcdStore(store), document_file.YamlCodec()
    )
    revision = document_store.edit(section, _read(path), customers.hash_key(key))
    click.echo(f"accepted: revision {revision}")

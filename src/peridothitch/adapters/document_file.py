"""Reads the operators' YAML document into `peridothitch.policy.document` classes."""

import dataclasses
import functools

import jsonschema
import msgspec
import yaml

from peridothitch import errors
from peridothitch.policy import document as documents
from peridothitch.ports import document_codec

__all__ = [
    "SECTIONS",
    "YamlCodec",
    "join_sections",
    "parse_document",
    "parse_section",
    "schema",
]

_OWNERS = "owners"


@dataclasses.dataclass(frozen=True)
class _Section:
    field: str
    item_type: type


_SECTION_BY_NAME = {
    _OWNERS: _Section("owner_by_section", str),
    "routes": _Section("route_by_name", documents.Route),
    "customers": _Section("customer_by_name", documents.Customer),
    "versions": _Section("service_by_name", documents.Service),
    "spending": _Section("limit_by_name", documents.SpendingLimit),
    "moves": _Section("move_by_name", documents.Move),
    "hosts": _Section("host_limit_by_name", documents.HostLimit),
}

SECTIONS = tuple(_SECTION_BY_NAME)
"""Names of the document's sections."""


@functools.cache
def schema():
    """Return the document's JSON Schema as a dict."""
    types = [dict[str, _SECTION_BY_NAME[name].item_type] for name in SECTIONS]
    parts, definitions = msgspec.json.schema_components(types)
    for definition in definitions.values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "peridothitch document",
        "type": "object",
        "additionalProperties": False,
        "properties": dict(zip(SECTIONS, parts, strict=True)),
        "$defs": definitions,
    }


def parse_document(text, revision=0):
    """Parse and check a whole document.

    Parameters
    ----------
    text : str
        The YAML text.
    revision : int
        Revision that the document is stored at.

    Returns
    -------
    peridothitch.policy.document.Document

    Raises
    ------
    peridothitch.errors.DocumentError
        With path and line of the first fault.
    """
    node = _compose(text)
    plain = _to_plain(text)
    _validate(plain, schema(), node)
    document = _build_document(
        {name: _convert(name, plain.get(name) or {}) for name in SECTIONS}, revision
    )
    try:
        documents.check_references(document)
    except errors.DocumentError as error:
        line = _line_of(node, error.path.split("/"))
        raise errors.DocumentError(error.code, error.detail, error.path, line) from None
    return document


def parse_section(name, text):
    """Parse one section; returns a dict of name to item."""
    if name not in _SECTION_BY_NAME:
        raise errors.DocumentError(
            errors.Code.UNKNOWN_SECTION,
            f"{name!r} is not one of {', '.join(SECTIONS)}",
        )
    plain = _to_plain(text)
    _validate({name: plain}, schema(), None)
    return _convert(name, plain)


def join_sections(text_by_section):
    """Return the text of a whole document made of its sections' texts."""
    plain = {name: _to_plain(text) for name, text in text_by_section.items()}
    return yaml.safe_dump(plain, sort_keys=False)


class YamlCodec(document_codec.DocumentCodec):
    """Codec of documents in YAML."""

    sections = SECTIONS

    def parse_document(self, text, revision=0):
        """Parse and check a whole document."""
        return parse_document(text, revision)

    def parse_section(self, name, text):
        """Parse and check one section."""
        return parse_section(name, text)

    def build_document(self, items_by_section, revision):
        """Put the items of all sections together."""
        return _build_document(items_by_section, revision)

    def join_sections(self, text_by_section):
        """Join the texts of sections."""
        return join_sections(text_by_section)

    def split_sections(self, text):
        """Split a document's text into its sections' texts."""
        plain = _to_plain(text)
        return {
            name: yaml.safe_dump(plain.get(name) or {}, sort_keys=False)
            for name in SECTIONS
        }


def _build_document(items_by_section, revision):
    fields = {
        _SECTION_BY_NAME[name].field: items for name, items in items_by_section.items()
    }
    return documents.Document(revision=revision, **fields)


def _convert(name, plain):
    section = _SECTION_BY_NAME[name]
    try:
        return msgspec.convert(plain, dict[str, section.item_type], strict=False)
    except msgspec.ValidationError as error:
        raise errors.DocumentError(
            errors.Code.DOCUMENT_SCHEMA, str(error), name
        ) from None


_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Loader(_SafeLoader):
    """Safe loader that leaves times as text; the schema's types read them."""


_Loader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if pair[0] != "tag:yaml.org,2002:timestamp"]
    for first, pairs in _SafeLoader.yaml_implicit_resolvers.items()
}


def _to_plain(text):
    try:
        plain = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise _syntax_error(error) from None
    return plain if plain is not None else {}


def _compose(text):
    try:
        return yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise _syntax_error(error) from None


def _syntax_error(error):
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else None
    problem = getattr(error, "problem", None) or "invalid YAML"
    return errors.DocumentError(errors.Code.DOCUMENT_SYNTAX, problem, line=line)


def _validate(plain, rules, node):
    validator = jsonschema.Draft202012Validator(rules)
    fault = jsonschema.exceptions.best_match(validator.iter_errors(plain))
    if fault is None:
        return
    keys = [str(key) for key in fault.absolute_path]
    raise errors.DocumentError(
        errors.Code.DOCUMENT_SCHEMA,
        fault.message,
        "/".join(keys),
        _line_of(node, keys),
    )


def _line_of(node, keys):
    if node is None:
        return None
    for key in keys:
        child = _child(node, key)
        if child is None:
            break
        node = child
    return node.start_mark.line + 1


def _child(node, key):
    if isinstance(node, yaml.MappingNode):
        for name, value in node.value:
            if name.value == key:
                return value
    if isinstance(node, yaml.SequenceNode) and key.isdigit():
        if int(key) < len(node.value):
            return node.value[int(key)]
    return None

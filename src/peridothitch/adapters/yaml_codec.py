"""Converts the operators' document from YAML to `peridothitch.policy.document` classes.

Also splits a document's text into its sections' texts and joins them.
"""

import dataclasses
import functools

import jsonschema
import msgspec
import yaml

from peridothitch import errors
from peridothitch.policy import document as documents
from peridothitch.policy import document_checks
from peridothitch.ports import document_codec

__all__ = [
    "SECTIONS",
    "YamlCodec",
    "join_sections",
    "parse_document",
    "parse_section",
    "schema",
]

_OWNERS_SECTION = "owners"


@dataclasses.dataclass(frozen=True)
class _Section:
    """Attribute of `Document` that holds a section, and the type of its items."""

    field: str
    item_type: type


_SECTION_BY_NAME = {
    _OWNERS_SECTION: _Section("owner_by_section", str),
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
    section_schemas, definitions = msgspec.json.schema_components(types)
    for definition in definitions.values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "peridothitch document",
        "type": "object",
        "additionalProperties": False,
        "properties": dict(zip(SECTIONS, section_schemas, strict=True)),
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
        With path and line of the first fault, and with all further faults.
    """
    node = _compose(text)
    _check_nodes(node, set())
    loaded = _load_yaml(text)
    _validate(loaded, schema(), node)
    document = _build_document(
        {name: _convert(name, loaded.get(name) or {}) for name in SECTIONS}, revision
    )
    _raise_if_any(document_checks.find_faults(document, SECTIONS), node)
    return document


def parse_section(name, text):
    """Parse one section and check it against the schema.

    References to other sections are not checked.

    Returns
    -------
    dict of str to object
        The section's items by name.

    Raises
    ------
    peridothitch.errors.DocumentError
        There is no such section, or its text is faulty.
    """
    if name not in _SECTION_BY_NAME:
        raise errors.DocumentError(
            errors.Code.UNKNOWN_SECTION,
            f"{name!r} is not one of {', '.join(SECTIONS)}",
        )
    _check_nodes(_compose(text), set())
    loaded = _load_yaml(text)
    _validate({name: loaded}, schema(), None)
    return _convert(name, loaded)


def join_sections(text_by_section):
    """Return the text of a whole document built from its sections' texts."""
    loaded = {name: _load_yaml(text) for name, text in text_by_section.items()}
    return yaml.safe_dump(loaded, sort_keys=False)


class YamlCodec(document_codec.DocumentCodec):
    """Codec of documents in YAML."""

    sections = SECTIONS

    def parse_document(self, text, revision=0):
        """Parse and check a whole document."""
        return parse_document(text, revision)

    def parse_section(self, name, text):
        """Parse one section and check it against the schema."""
        return parse_section(name, text)

    def build_document(self, items_by_section, revision):
        """Build the document from the items of all sections."""
        return _build_document(items_by_section, revision)

    def join_sections(self, text_by_section):
        """Join the texts of sections."""
        return join_sections(text_by_section)

    def split_sections(self, text):
        """Split a document's text into its sections' texts."""
        loaded = _load_yaml(text)
        return {
            name: yaml.safe_dump(loaded.get(name) or {}, sort_keys=False)
            for name in SECTIONS
        }


def _build_document(items_by_section, revision):
    fields = {
        _SECTION_BY_NAME[name].field: items for name, items in items_by_section.items()
    }
    return documents.Document(revision=revision, **fields)


def _convert(name, loaded):
    section = _SECTION_BY_NAME[name]
    try:
        return msgspec.convert(loaded, dict[str, section.item_type], strict=False)
    except msgspec.ValidationError as error:
        raise errors.DocumentError(
            errors.Code.DOCUMENT_SCHEMA, str(error), name
        ) from None


_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Loader(_SafeLoader):
    """Safe loader that leaves timestamps as text; the schema's types parse them."""


_Loader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if pair[0] != "tag:yaml.org,2002:timestamp"]
    for first, pairs in _SafeLoader.yaml_implicit_resolvers.items()
}


def _load_yaml(text):
    try:
        loaded = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise _to_syntax_error(error) from None
    return loaded if loaded is not None else {}


def _compose(text):
    try:
        return yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise _to_syntax_error(error) from None


def _check_nodes(node, seen):
    """Reject aliases, whose expansion is unbounded, and duplicate keys."""
    if node is None:
        return
    if id(node) in seen:
        raise _syntax_error_at(node, "aliases are not supported")
    seen.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for item in node.value:
            _check_nodes(item, seen)
    if isinstance(node, yaml.MappingNode):
        _check_mapping(node, seen)


def _check_mapping(node, seen):
    keys = set()
    for key, value in node.value:
        name = str(key.value)
        if name in keys:
            raise _syntax_error_at(key, f"{name} is given twice")
        keys.add(name)
        _check_nodes(key, seen)
        _check_nodes(value, seen)


def _syntax_error_at(node, detail):
    line = node.start_mark.line + 1
    return errors.DocumentError(errors.Code.DOCUMENT_SYNTAX, detail, line=line)


def _to_syntax_error(error):
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else None
    problem = getattr(error, "problem", None) or "invalid YAML"
    return errors.DocumentError(errors.Code.DOCUMENT_SYNTAX, problem, line=line)


def _validate(loaded, document_schema, node):
    validator = jsonschema.Draft202012Validator(document_schema)
    violations = sorted(
        validator.iter_errors(loaded),
        key=lambda violation: list(map(str, violation.absolute_path)),
    )
    _raise_if_any(map(_to_document_error, violations), node)


def _to_document_error(violation):
    # Where the schema has alternatives, the most relevant of their errors is reported
    # instead of the general one that none of them matches.
    best = jsonschema.exceptions.best_match([violation])
    path = "/".join(map(str, best.absolute_path))
    return errors.DocumentError(errors.Code.DOCUMENT_SCHEMA, best.message, path)


def _raise_if_any(faults, node):
    """Raise the first fault with the others attached, each with its line number.

    Does nothing when there are no faults.
    """
    others = []
    for fault in reversed(list(faults)):
        line = _line_of(node, fault.path.split("/"))
        located_fault = errors.DocumentError(
            fault.code, fault.detail, fault.path, line, others
        )
        others = [located_fault, *others]
    if others:
        raise others[0]


def _line_of(node, keys):
    """Return the line of the node at a path, or of its nearest existing ancestor."""
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

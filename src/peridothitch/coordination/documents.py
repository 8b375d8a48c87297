"""The operators' document in the platform's store.

Each section is one key. An edit replaces one section in a transaction that compares all
sections, so that references between sections are checked against what is stored.
"""

import dataclasses
import hashlib
import threading

from peridothitch import errors
from peridothitch.policy import document as documents
from peridothitch.ports import store

__all__ = ["DocumentFeed", "DocumentStore", "StoredDocument"]

_PREFIX = "/peridothitch/document/"
_HEAD = _PREFIX + "head"
_SECTION_PREFIX = _PREFIX + "section/"
_MAX_ATTEMPTS = 8


@dataclasses.dataclass(frozen=True)
class StoredDocument:
    """A document with what is needed to replace its sections.

    Attributes
    ----------
    document : peridothitch.policy.document.Document
    text_by_section : dict of str to str
        YAML text of each section.
    mod_revision_by_key : dict of str to int
        Revisions that an edit compares.
    """

    document: documents.Document
    text_by_section: dict
    mod_revision_by_key: dict


class DocumentStore:
    """Reads and edits the document.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    codec : peridothitch.ports.document_codec.DocumentCodec
        Reads and joins the sections' texts.
    """

    def __init__(self, service, codec):
        self._store = service
        self._codec = codec

    def load(self):
        """Return the `StoredDocument`; an empty one when nothing is stored."""
        found = self._store.range(_PREFIX)
        text_by_section = {}
        for key, item in found.item_by_key.items():
            if key.startswith(_SECTION_PREFIX):
                text_by_section[key[len(_SECTION_PREFIX) :]] = item.value.decode()
        head = found.item_by_key.get(_HEAD)
        document = self._codec.parse_document(
            self._codec.join_sections(text_by_section), head.version if head else 0
        )
        revisions = {key: item.mod_revision for key, item in found.item_by_key.items()}
        return StoredDocument(document, text_by_section, revisions)

    def create(self, text):
        """Store the first document.

        Raises
        ------
        peridothitch.errors.DocumentError
            The document is faulty, or one is stored already.
        """
        self._codec.parse_document(text)
        text_by_section = self._codec.split_sections(text)
        compares = [store.Compare(_HEAD, store.Target.CREATE, 0)]
        writes = [
            store.Put(_SECTION_PREFIX + name, section.encode())
            for name, section in text_by_section.items()
        ]
        writes.append(store.Put(_HEAD, b"created"))
        if not self._store.transact(compares, writes).succeeded:
            raise errors.DocumentError(
                errors.Code.SECTION_CONFLICT, "a document is stored already"
            )

    def edit(self, name, text, key_digest, base=None):
        """Replace one section.

        Parameters
        ----------
        name : str
            The section.
        text : str
            Its new YAML text.
        key_digest : str
            SHA-256 digest of the editor's key, in hex.
        base : str or None
            Text that the edit was made from; None skips the check for other edits.

        Returns
        -------
        int
            Revision of the document that holds the edit.

        Raises
        ------
        peridothitch.errors.DocumentError
            The edit was rejected; nothing was changed.
        peridothitch.errors.StoreError
            The store did not take the edit, or it is unclear.
        """
        self._codec.parse_section(name, text)
        for _ in range(_MAX_ATTEMPTS):
            stored = self.load()
            self._check_owner(stored, name, key_digest)
            self._check_base(stored, name, text, base)
            sections = stored.text_by_section | {name: text}
            self._codec.parse_document(self._codec.join_sections(sections))
            result = self._write(stored, name, text)
            if result.succeeded:
                return stored.document.revision + 1
        raise errors.DocumentError(
            errors.Code.SECTION_CONFLICT, "too many edits at the same time", name
        )

    def _write(self, stored, name, text):
        section_keys = [_SECTION_PREFIX + other for other in self._codec.sections]
        compares = [
            store.Compare(key, store.Target.MOD, stored.mod_revision_by_key.get(key, 0))
            for key in (_HEAD, *section_keys)
        ]
        digest = hashlib.sha256(text.encode()).hexdigest()
        writes = [
            store.Put(_SECTION_PREFIX + name, text.encode()),
            store.Put(_HEAD, f"{name} {digest}".encode()),
        ]
        return self._store.transact(compares, writes)

    def _check_owner(self, stored, name, key_digest):
        owners = stored.document.owner_by_section
        owner = owners.get(name, owners.get("owners"))
        if owner is not None and owner != key_digest:
            raise errors.DocumentError(
                errors.Code.NOT_SECTION_OWNER, f"the key may not edit {name}", name
            )

    def _check_base(self, stored, name, text, base):
        current = stored.text_by_section.get(name, "")
        if base is None or current in (base, text):
            return
        raise errors.DocumentError(
            errors.Code.SECTION_CONFLICT,
            f"theirs:\n{current}\nyours:\n{text}",
            name,
        )


class DocumentFeed:
    """The newest document that this process knows; its revision never goes down.

    Parameters
    ----------
    document_store : DocumentStore
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, document_store, clock, metrics):
        self._document_store = document_store
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._document = None

    def current(self):
        """Return the newest document, None before the first was read."""
        return self._document

    def refresh(self):
        """Read the document once."""
        try:
            document = self._document_store.load().document
        except errors.StoreError:
            self._metrics.count("document_failures")
            return
        self.offer(document)

    def offer(self, document):
        """Take `document` if its revision is higher than the current one's."""
        with self._lock:
            known = self._document
            if known is None or document.revision > known.revision:
                self._document = document
                self._metrics.set("document_revision", document.revision)

    def run(self, stop, interval):
        """Refresh until the event `stop` is set."""
        while not self._clock.wait(stop, interval):
            self.refresh()

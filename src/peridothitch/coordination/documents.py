"""The operators' document in the platform's store.

Each section is one key. Another is the head, which lists the revision and digest of
each section (see `heads`). An edit replaces one section and the head in a transaction
that compares the head, so that references between sections are checked against what is
stored and the edits form one sequence.
"""

import dataclasses
import secrets

import msgspec

from peridothitch import errors
from peridothitch.coordination import heads
from peridothitch.policy import document as documents
from peridothitch.ports import store

__all__ = ["DocumentStore", "HEAD_KEY", "Snapshot", "StoredDocument"]

_PREFIX = "/peridothitch/document/"
HEAD_KEY = _PREFIX + "head"
_SECTION_PREFIX = _PREFIX + "section/"
_MAX_ATTEMPTS = 8
_NONCE_BYTES = 9


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A whole document as text.

    Attributes
    ----------
    head : peridothitch.coordination.heads.Head
    text_by_section : dict of str to str
        YAML text of each section; the digests match the head's.
    """

    head: heads.Head
    text_by_section: dict

    def matches_head(self):
        """Return whether the texts have the names and digests that the head lists."""
        marks = self.head.mark_by_section
        return set(marks) == set(self.text_by_section) and all(
            heads.digest_text(self.text_by_section[name]) == mark.digest
            for name, mark in marks.items()
        )


@dataclasses.dataclass(frozen=True)
class StoredDocument:
    """A document with the data that an edit of its sections needs.

    Attributes
    ----------
    document : peridothitch.policy.document.Document
    text_by_section : dict of str to str
        YAML text of each section.
    head : peridothitch.coordination.heads.Head or None
        None when nothing is stored.
    head_mod_revision : int
        Store revision of the head key's last change, which an edit compares; 0 when
        nothing is stored.
    """

    document: documents.Document
    text_by_section: dict
    head: heads.Head | None
    head_mod_revision: int


class DocumentStore:
    """Reads and edits the document.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    codec : peridothitch.ports.document_codec.DocumentCodec
        Parses, splits and joins the sections' texts.
    """

    def __init__(self, service, codec):
        self._store = service
        self._codec = codec

    def load(self):
        """Return the `StoredDocument`; an empty one when nothing is stored."""
        found = self._store.range(_PREFIX)
        texts = _section_texts(found.item_by_key)
        item = found.item_by_key.get(HEAD_KEY)
        head = decode_head(item.value) if item is not None else None
        document = self._codec.parse_document(
            self._codec.join_sections(texts), head.revision if head else 0
        )
        return StoredDocument(document, texts, head, item.mod_revision if item else 0)

    def read_newer(self, previous):
        """Read the document if it is newer than a previous one.

        Parameters
        ----------
        previous : Snapshot or None
            None to read any document.

        Returns
        -------
        tuple of (Snapshot or None, int)
            A newer document or None, and the revision of the stored document, 0 for
            none.

        Raises
        ------
        peridothitch.errors.StoreError
            The store failed, or its sections did not match the head, such as during
            edits.
        """
        if previous is None:
            return self._read_whole()
        for _ in range(_MAX_ATTEMPTS):
            item = self._store.get(HEAD_KEY)
            if item is None:
                return None, 0
            head = decode_head(item.value)
            if head.revision <= previous.head.revision:
                return None, head.revision
            snapshot = Snapshot(head, self._changed_texts(head, previous))
            if snapshot.matches_head():
                return snapshot, head.revision
        raise errors.StoreUnavailableError("the document changes too often to be read")

    def _read_whole(self):
        found = self._store.range(_PREFIX)
        item = found.item_by_key.get(HEAD_KEY)
        if item is None:
            return None, 0
        head = decode_head(item.value)
        snapshot = Snapshot(head, _section_texts(found.item_by_key))
        if not snapshot.matches_head():
            raise errors.StoreUnavailableError("the stored sections don't match")
        return snapshot, head.revision

    def _changed_texts(self, head, previous):
        text_by_section = dict(previous.text_by_section)
        for name, mark in head.mark_by_section.items():
            old = previous.head.mark_by_section.get(name)
            if old is not None and old.digest == mark.digest:
                continue
            item = self._store.get(_SECTION_PREFIX + name)
            text_by_section[name] = item.value.decode() if item is not None else ""
        return text_by_section

    def open_watch(self):
        """Watch the head.

        Returns
        -------
        tuple of (int, peridothitch.ports.store.Watch)
            Revision of the stored document, 0 for none, and a watch of the head's
            changes after it was read.
        """
        found = self._store.range(HEAD_KEY)
        item = found.item_by_key.get(HEAD_KEY)
        revision = decode_head(item.value).revision if item is not None else 0
        return revision, self._store.watch(HEAD_KEY, found.revision + 1)

    def poll_watch(self, watch, timeout):
        """Return the document revisions that a watch of the head reports next."""
        return [
            decode_head(event.item.value).revision
            for event in watch.poll(timeout)
            if event.item.key == HEAD_KEY and not event.deleted
        ]

    def create(self, text):
        """Store the first document.

        Raises
        ------
        peridothitch.errors.DocumentError
            The document is faulty, or one is stored already.
        peridothitch.errors.StoreUnavailableError
            The store did not accept the document.
        peridothitch.errors.StoreUnclearError
            The document may have been stored.
        """
        self._codec.parse_document(text)
        text_by_section = self._codec.split_sections(text)
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        head = heads.Head.initial(text_by_section, nonce)
        compares = [store.Compare(HEAD_KEY, store.Target.CREATE, 0)]
        writes = [
            store.Put(_SECTION_PREFIX + name, section.encode())
            for name, section in text_by_section.items()
        ]
        writes.append(store.Put(HEAD_KEY, msgspec.json.encode(head)))
        try:
            created = self._store.transact(compares, writes).succeeded
        except errors.StoreUnclearError:
            item = self._store.get(HEAD_KEY)
            if item is None:
                raise
            created = decode_head(item.value).revision_of(nonce) is not None
        if not created:
            raise errors.DocumentError(
                errors.Code.SECTION_CONFLICT, "a document is stored already"
            )

    def edit(self, name, text, key_digest, base=None, base_revision=None):
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
            Text that the edit was made from.
        base_revision : int or None
            Revision of the document that the edit was made from.

        Returns
        -------
        int
            Revision of the document that contains the edit.

        Raises
        ------
        peridothitch.errors.DocumentError
            The edit was rejected; nothing was changed.
        peridothitch.errors.StoreUnavailableError
            The store did not accept the edit.
        peridothitch.errors.StoreUnclearError
            The edit may have been accepted; repeating it is harmless.
        """
        self._codec.parse_section(name, text)
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        unclear_since = None
        for _ in range(_MAX_ATTEMPTS):
            stored = self._load_for_edit(unclear_since)
            accepted = stored.head.revision_of(nonce)
            if accepted is not None:
                return accepted
            if stored.text_by_section.get(name) == text:
                return stored.head.revision
            self._check_owner(stored, name, key_digest)
            if base is None:
                # Without a base, the text at the first attempt becomes the base: an
                # edit of the section that is accepted before a retry is a conflict.
                base = stored.text_by_section.get(name, "")
            self._check_base(stored, name, text, base, base_revision)
            sections = stored.text_by_section | {name: text}
            self._codec.parse_document(self._codec.join_sections(sections))
            try:
                if self._write(stored, name, text, nonce):
                    return stored.head.revision + 1
            except errors.StoreUnclearError:
                unclear_since = stored.head.revision
        raise errors.DocumentError(
            errors.Code.SECTION_CONFLICT, "too many edits at the same time", name
        )

    def _load_for_edit(self, unclear_since):
        """Load the document for an attempt to edit it.

        Parameters
        ----------
        unclear_since : int or None
            Document revision before the last attempt whose outcome is unknown, None if
            there was none. The head's history then has to cover the edits after it.
        """
        try:
            stored = self.load()
        except errors.StoreError as error:
            if unclear_since is None:
                raise
            raise errors.StoreUnclearError(
                f"the edit may have been accepted: {error.detail}"
            ) from None
        if stored.head is None:
            raise errors.DocumentError(
                errors.Code.UNKNOWN_SECTION, "no document is stored; create one first"
            )
        if unclear_since is not None and not stored.head.covers_edits_after(
            unclear_since
        ):
            raise errors.StoreUnclearError(
                "the edit may have been accepted; later edits hide it"
            )
        return stored

    def _write(self, stored, name, text, nonce):
        head = stored.head.with_edit(name, text, nonce)
        compare = store.Compare(HEAD_KEY, store.Target.MOD, stored.head_mod_revision)
        writes = [
            store.Put(_SECTION_PREFIX + name, text.encode()),
            store.Put(HEAD_KEY, msgspec.json.encode(head)),
        ]
        return self._store.transact([compare], writes).succeeded

    def _check_owner(self, stored, name, key_digest):
        owners = stored.document.owner_by_section
        owner = owners.get(name, owners.get("owners"))
        if owner is not None and owner != key_digest:
            raise errors.DocumentError(
                errors.Code.NOT_SECTION_OWNER, f"the key may not edit {name}", name
            )

    def _check_base(self, stored, name, text, base, base_revision):
        current = stored.text_by_section.get(name, "")
        mark = stored.head.mark_by_section.get(name)
        is_newer = (
            base_revision is not None
            and mark is not None
            and mark.revision > base_revision
        )
        if current == base and not is_newer:
            return
        raise errors.DocumentError(
            errors.Code.SECTION_CONFLICT,
            f"theirs (revision {mark.revision if mark else 0}):\n{current}\n"
            f"yours:\n{text}",
            name,
        )


def decode_head(value):
    """Decode the value of the head's key.

    Raises
    ------
    peridothitch.errors.StoreUnavailableError
        The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=heads.Head)
    except msgspec.MsgspecError as error:
        raise errors.StoreUnavailableError(f"malformed head: {error}") from None


def _section_texts(item_by_key):
    return {
        key[len(_SECTION_PREFIX) :]: item.value.decode()
        for key, item in item_by_key.items()
        if key.startswith(_SECTION_PREFIX)
    }

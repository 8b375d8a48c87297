"""The head of the operators' document: revisions of its sections and recent edits.

The head is one key. Every accepted edit writes it in the same transaction as the
section that it changes, so that the head alone shows whether a reader's sections are
current, and whether an edit whose reply was lost was accepted.
"""

import hashlib

import msgspec

__all__ = ["EditMark", "HISTORY_LENGTH", "Head", "SectionMark", "digest_text"]

HISTORY_LENGTH = 32
_DIGEST_HEX_DIGITS = 32


class SectionMark(msgspec.Struct, frozen=True, array_like=True):
    """State of one section.

    Attributes
    ----------
    revision : int
        Document revision of its last change.
    digest : str
        Digest of its text.
    """

    revision: int
    digest: str


class EditMark(msgspec.Struct, frozen=True, array_like=True):
    """One accepted edit.

    Attributes
    ----------
    revision : int
    section : str
        Empty for the creation of the document.
    nonce : str
        Random id that the editor chose.
    """

    revision: int
    section: str
    nonce: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """State of a whole document.

    Attributes
    ----------
    revision : int
        Number of accepted edits; 1 for a new document.
    mark_by_section : dict of str to SectionMark
    history : tuple of EditMark
        The last edits, oldest first.
    """

    revision: int
    mark_by_section: dict[str, SectionMark]
    history: tuple[EditMark, ...]

    @classmethod
    def initial(cls, text_by_section, nonce):
        """Return the head of a new document."""
        marks = {
            name: SectionMark(1, digest_text(text))
            for name, text in text_by_section.items()
        }
        return cls(revision=1, mark_by_section=marks, history=(EditMark(1, "", nonce),))

    def with_edit(self, section, text, nonce):
        """Return the head after an edit of one section."""
        revision = self.revision + 1
        mark = SectionMark(revision, digest_text(text))
        history = (*self.history, EditMark(revision, section, nonce))
        return Head(
            revision=revision,
            mark_by_section=self.mark_by_section | {section: mark},
            history=history[-HISTORY_LENGTH:],
        )

    def revision_of(self, nonce):
        """Return the revision that an edit made, None if it isn't in the history."""
        for mark in self.history:
            if mark.nonce == nonce:
                return mark.revision
        return None

    def covers_edits_after(self, revision):
        """Return whether the history contains all edits after `revision`."""
        return self.history[0].revision <= revision + 1


def digest_text(text):
    """Return the digest of a section's text."""
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_HEX_DIGITS]

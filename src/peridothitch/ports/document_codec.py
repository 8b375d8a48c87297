"""Text form of the operators' document."""

import abc

__all__ = ["DocumentCodec"]


class DocumentCodec(abc.ABC):
    """Converts documents and sections from and to text.

    Attributes
    ----------
    sections : tuple of str
        Names of a document's sections.
    """

    sections: tuple

    @abc.abstractmethod
    def parse_document(self, text, revision=0):
        """Parse `text` and return a `peridothitch.policy.document.Document`.

        Raises
        ------
        peridothitch.errors.DocumentError
        """

    @abc.abstractmethod
    def parse_section(self, name, text):
        """Return the items of one section by name."""

    @abc.abstractmethod
    def build_document(self, items_by_section, revision):
        """Return the document built from the items of all sections, keyed by section.

        References between sections are not checked.
        """

    @abc.abstractmethod
    def join_sections(self, text_by_section):
        """Return the text of the document built from the sections' texts."""

    @abc.abstractmethod
    def split_sections(self, text):
        """Return the texts of a document's sections by name."""

"""Doubts about a configuration that is valid: what an operator hardly means."""

import dataclasses
import enum

__all__ = ["Finding", "Kind"]


class Kind(enum.Enum):
    """What a finding says of an entry.

    UNDEFINED entries refer to something that is not there; UNREACHABLE ones can never
    take effect; CONTRADICTION stands for limits that can't all be kept.
    """

    UNDEFINED = "undefined"
    UNREACHABLE = "unreachable"
    CONTRADICTION = "contradiction"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One doubt.

    Attributes
    ----------
    kind : Kind
    path : str
        Section, name and field.
    detail : str
    """

    kind: Kind
    path: str
    detail: str

    def __str__(self):
        return f"{self.kind.value}: {self.path}: {self.detail}"

"""Messages that hosts exchange about the operators' document."""

import msgspec

from peridothitch.coordination import deltas, documents, heads

__all__ = [
    "FETCH",
    "Fetch",
    "FetchReply",
    "REPORT",
    "Report",
    "answer_fetch",
    "apply_reply",
]

FETCH = "document.fetch"
REPORT = "document.report"


class Fetch(msgspec.Struct, frozen=True, array_like=True):
    """Request for a document that is newer than the requesting host's.

    Attributes
    ----------
    revision : int
        Revision in force at the requesting host, 0 for none.
    digest_by_section : dict of str to str
    """

    revision: int
    digest_by_section: dict[str, str]


class FetchReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to `Fetch`.

    Attributes
    ----------
    head : peridothitch.coordination.heads.Head or None
        None when the answering host has no newer document.
    delta_by_section : dict of str to peridothitch.coordination.deltas.Delta
        Changed sections, from the text whose digest was sent, else from an empty text.
    """

    head: heads.Head | None = None
    delta_by_section: dict[str, deltas.Delta] = {}


class Report(msgspec.Struct, frozen=True):
    """State of the document at one host.

    Attributes
    ----------
    host_id : str
    revision : int
        Revision in force, 0 for none.
    confirmed_seconds : float
        Time since the host last confirmed that there is no newer revision.
    release : str
        Version of the program.
    rejected_revision : int
        Newer revision that this host can't parse, 0 for none.
    """

    host_id: str
    revision: int
    confirmed_seconds: float
    release: str = ""
    rejected_revision: int = 0


def answer_fetch(fetch, snapshot, text_by_digest):
    """Return the `FetchReply` to a `Fetch`.

    Parameters
    ----------
    fetch : Fetch
    snapshot : peridothitch.coordination.documents.Snapshot or None
    text_by_digest : dict of str to str
        Older texts that deltas can be made from.
    """
    if snapshot is None or snapshot.head.revision <= fetch.revision:
        return FetchReply()
    delta_by_section = {}
    for name, mark in snapshot.head.mark_by_section.items():
        digest = fetch.digest_by_section.get(name, "")
        if digest == mark.digest:
            continue
        old = text_by_digest.get(digest, "")
        delta_by_section[name] = deltas.make_delta(old, snapshot.text_by_section[name])
    return FetchReply(snapshot.head, delta_by_section)


def apply_reply(base, reply):
    """Apply a reply to a snapshot; returns the new `Snapshot`, None if it can't.

    A delta without a prefix and suffix needs no old text.
    """
    text_by_section = {}
    for name in reply.head.mark_by_section:
        old = base.text_by_section.get(name, "") if base is not None else ""
        delta = reply.delta_by_section.get(name)
        try:
            text = old if delta is None else deltas.apply_delta(old, delta)
        except ValueError:
            return None
        text_by_section[name] = text
    snapshot = documents.Snapshot(reply.head, text_by_section)
    return snapshot if snapshot.matches_head() else None

"""Faults that can be injected into a stand-in upstream."""

import dataclasses

import msgspec

__all__ = ["CrashedError", "ActiveFaults", "POISON", "handle_fault_request"]

POISON = "poison-prompt"
"""A prompt or body that contains this text crashes the stand-in that runs it."""

_JSON_HEADERS = [("content-type", "application/json")]

_SETTABLE_FAULTS = (
    "refuse",
    "refuse_after_running",
    "freeze",
    "leaving",
    "die_after_tokens",
)


class CrashedError(Exception):
    """A stand-in crashed; raised where it has no process of its own to end."""


def _raise_crashed():
    raise CrashedError


@dataclasses.dataclass
class ActiveFaults:
    """Faults that are injected at present.

    Attributes
    ----------
    refuse : bool
        Answer 503 before running.
    refuse_after_running : bool
        Run a plain request and answer 503.
    freeze : bool
        Run the request and never answer.
    leaving : bool
        Send the header that announces a reclaim notice.
    die_after_tokens : int
        Crash after this many tokens in total; 0 for never.
    crash : callable
        Ends the process.
    """

    refuse: bool = False
    refuse_after_running: bool = False
    freeze: bool = False
    leaving: bool = False
    die_after_tokens: int = 0
    crash: object = _raise_crashed

    def update(self, fields):
        """Set the faults named in a dict; others stay as they are."""
        for name in _SETTABLE_FAULTS:
            setattr(self, name, fields.get(name, getattr(self, name)))

    def headers(self):
        """Return the response headers that the faults add."""
        return [("x-upstream-leaving", "true")] if self.leaving else []


def handle_fault_request(active_faults, environ, start_response):
    """Answer a WSGI request that sets faults."""
    active_faults.update(msgspec.json.decode(environ["wsgi.input"].read()))
    start_response("200 OK", _JSON_HEADERS)
    return [b"{}"]

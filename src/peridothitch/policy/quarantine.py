"""Which of the requests that were running when upstreams crashed is to blame."""

import dataclasses

__all__ = ["CrashHistory", "is_crash_cause"]

_GUILTY_CRASHES = 2
_MAX_CRASHES = 4


def is_crash_cause(digest, hosts_by_digest):
    """Return whether a request is the one that crashes upstreams.

    A request is guilty once it crashed two upstreams and no other request was at all
    of its crashes; one that is never alone is refused after four.

    Parameters
    ----------
    digest : str
        Digest of the request.
    hosts_by_digest : dict of str to frozenset of str
        Upstream hosts that crashed while they ran a request.

    Returns
    -------
    bool
    """
    crashed = hosts_by_digest.get(digest, frozenset())
    if len(crashed) < _GUILTY_CRASHES:
        return False
    if len(crashed) >= _MAX_CRASHES:
        return True
    return not any(
        crashed <= others for name, others in hosts_by_digest.items() if name != digest
    )


@dataclasses.dataclass(frozen=True)
class CrashHistory:
    """The crashes known.

    Attributes
    ----------
    hosts_by_digest : dict of str to frozenset of str
    """

    hosts_by_digest: dict = dataclasses.field(default_factory=dict)

    def add(self, digest, host_id):
        """Return the ledger with one more crash."""
        hosts = self.hosts_by_digest.get(digest, frozenset()) | {host_id}
        return CrashHistory({**self.hosts_by_digest, digest: hosts})

    def crash_count(self, digest):
        """Return how many upstreams crashed while they ran a request."""
        return len(self.hosts_by_digest.get(digest, ()))

    def is_crash_cause(self, digest):
        """Return whether a request is the one that crashes upstreams."""
        return is_crash_cause(digest, self.hosts_by_digest)

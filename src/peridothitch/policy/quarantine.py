"""Finds the request that crashes upstreams among those running at each crash."""

import dataclasses

__all__ = ["CrashHistory", "is_crash_cause"]

_MIN_CRASH_COUNT = 2
_MAX_CRASH_COUNT = 4


def is_crash_cause(digest, hosts_by_digest):
    """Return whether a request is the one that crashes upstreams.

    A request is the cause once two upstreams crashed while they ran it and no other
    request was running at all of these crashes; one that never ran alone is refused
    after four crashes.

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
    crashed_hosts = hosts_by_digest.get(digest, frozenset())
    if len(crashed_hosts) < _MIN_CRASH_COUNT:
        return False
    if len(crashed_hosts) >= _MAX_CRASH_COUNT:
        return True
    return not any(
        crashed_hosts <= other_hosts
        for name, other_hosts in hosts_by_digest.items()
        if name != digest
    )


@dataclasses.dataclass(frozen=True)
class CrashHistory:
    """Known crashes by request digest.

    Attributes
    ----------
    hosts_by_digest : dict of str to frozenset of str
    """

    hosts_by_digest: dict = dataclasses.field(default_factory=dict)

    def add(self, digest, host_id):
        """Return the history with one more crash."""
        hosts = self.hosts_by_digest.get(digest, frozenset()) | {host_id}
        return CrashHistory({**self.hosts_by_digest, digest: hosts})

    def crash_count(self, digest):
        """Return how many upstreams crashed while they ran a request."""
        return len(self.hosts_by_digest.get(digest, ()))

    def is_crash_cause(self, digest):
        """Return whether a request is the one that crashes upstreams."""
        return is_crash_cause(digest, self.hosts_by_digest)

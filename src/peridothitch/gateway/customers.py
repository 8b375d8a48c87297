"""Finds the customer that a request's key belongs to."""

import hashlib

from peridothitch import errors

__all__ = ["CustomerIndex", "hash_key"]

_BEARER = "bearer "


def hash_key(key):
    """Return the SHA-256 digest of a key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


class CustomerIndex:
    """Index of a document's customers by the digests of their keys.

    Parameters
    ----------
    customer_by_name : dict of str to Customer
    """

    def __init__(self, customer_by_name):
        self._name_by_digest = {
            digest: name
            for name, customer in customer_by_name.items()
            for digest in customer.key_sha256
        }

    def find(self, header_by_name):
        """Return the customer's name.

        Raises
        ------
        peridothitch.errors.RequestError
            The key is missing or unknown.
        """
        value = header_by_name.get("authorization", "")
        if not value.lower().startswith(_BEARER):
            raise errors.RequestError(
                errors.Code.UNAUTHENTICATED,
                "no bearer key",
            )
        digest = hash_key(value[len(_BEARER) :].strip())
        if digest not in self._name_by_digest:
            raise errors.RequestError(errors.Code.UNAUTHENTICATED, "unknown key")
        return self._name_by_digest[digest]

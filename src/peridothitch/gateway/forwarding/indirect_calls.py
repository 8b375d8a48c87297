"""Calls to upstreams that one entry host passes to another, in HTTP/1.1.

The call is sent as it would be to the upstream, its method, target, fields and body
unchanged, behind the fields of an `Order`. The answer is the upstream's, behind the
field of an `Outcome`. Both stand first, so fields of the same name in a call or an
answer have no effect.
"""

import dataclasses
import datetime
import enum

from peridothitch import errors

__all__ = ["Order", "Outcome", "Purpose", "add_outcome", "read_outcome"]

_PURPOSE_FIELD = "Entry-Purpose"
_UPSTREAM_FIELD = "Entry-Upstream"
_WAIT_FIELD = "Entry-Wait-Ms"
_OUTCOME_FIELD = "Entry-Outcome"
_ORDER_FIELDS = (_PURPOSE_FIELD, _UPSTREAM_FIELD, _WAIT_FIELD)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_MAX_WAIT = datetime.timedelta(days=1)


class Purpose(enum.Enum):
    """What the other entry host is asked for."""

    SEND = "send"
    CHECK = "check"


class Outcome(enum.Enum):
    """What has become of a call."""

    ANSWERED = "answered"
    REACHED = "reached"
    NOT_SENT = "not sent"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """What to do with a call.

    Attributes
    ----------
    purpose : Purpose
        CHECK asks only whether the upstream can be reached.
    host_id : str
    incarnation : int
        Both name the upstream, see `peridothitch.ports.upstream.Host`.
    wait : datetime.timedelta
        How long the sender waits for the answer.
    """

    purpose: Purpose
    host_id: str
    incarnation: int
    wait: datetime.timedelta

    def to_fields(self):
        """Return the fields that precede those of the call."""
        return (
            (_PURPOSE_FIELD, self.purpose.value),
            (_UPSTREAM_FIELD, f"{self.host_id}/{self.incarnation}"),
            (_WAIT_FIELD, str(max(0, self.wait // _MILLISECOND))),
        )

    @classmethod
    def split(cls, fields):
        """Return the `Order` and the call's fields.

        Parameters
        ----------
        fields : tuple of (str, str)

        Raises
        ------
        peridothitch.errors.RequestError
            MALFORMED_REQUEST: the fields contain no order.
        """
        count = len(_ORDER_FIELDS)
        if tuple(name for name, _ in fields[:count]) != _ORDER_FIELDS:
            raise _malformed(f"it doesn't begin with the fields {_ORDER_FIELDS}")
        purpose, upstream, wait = (value for _, value in fields[:count])
        host_id, _, incarnation = upstream.rpartition("/")
        try:
            order = cls(
                purpose=Purpose(purpose),
                host_id=host_id,
                incarnation=int(incarnation),
                wait=min(_MAX_WAIT, max(0, int(wait)) * _MILLISECOND),
            )
        except (ValueError, OverflowError) as error:
            raise _malformed(str(error)) from None
        return order, fields[count:]


def _malformed(reason):
    detail = f"malformed call of another entry host: {reason}"
    return errors.RequestError(errors.Code.MALFORMED_REQUEST, detail)


def add_outcome(outcome, fields):
    """Return the fields of an answer with its `Outcome`."""
    return ((_OUTCOME_FIELD, outcome.value), *fields)


def read_outcome(answer):
    """Return the `Outcome` of an answer, and take its field out of the answer.

    Parameters
    ----------
    answer : peridothitch.ports.raw.RawResponse

    Returns
    -------
    Outcome or None
        None if the answer tells none.
    """
    name, value = answer.fields[0] if answer.fields else ("", "")
    if name != _OUTCOME_FIELD:
        return None
    answer.fields = answer.fields[1:]
    try:
        return Outcome(value)
    except ValueError:
        return None

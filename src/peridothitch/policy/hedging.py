"""Decides when a slow lookup is also sent to a second upstream."""

import dataclasses
import datetime

from peridothitch.policy import document as documents

__all__ = ["HedgeDelay", "may_hedge"]

_QUANTILE = 0.95
_STEP_SHARE = 0.05
_MIN_DELAY = datetime.timedelta(milliseconds=10)


@dataclasses.dataclass(frozen=True)
class HedgeDelay:
    """Estimate of the time within which 95 in 100 lookups are answered.

    Attributes
    ----------
    estimate : datetime.timedelta
    """

    estimate: datetime.timedelta = datetime.timedelta(milliseconds=100)

    def after_answer(self, latency):
        """Return the estimate after one more answer.

        Parameters
        ----------
        latency : datetime.timedelta
        """
        step = self.estimate * _STEP_SHARE
        if latency > self.estimate:
            return HedgeDelay(self.estimate + step * _QUANTILE)
        return HedgeDelay(max(_MIN_DELAY, self.estimate - step * (1 - _QUANTILE)))


def may_hedge(method, effect, protocol):
    """Return whether two upstreams may run a request at the same time.

    Parameters
    ----------
    method : str
        HTTP method.
    effect : peridothitch.policy.document.Effect
    protocol : peridothitch.policy.document.Protocol
    """
    if protocol is not documents.Protocol.PLAIN or method != "GET":
        return False
    return effect is documents.Effect.IDEMPOTENT

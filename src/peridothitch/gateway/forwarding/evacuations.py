"""Data centres that operators have evacuated: their upstreams get nothing more."""

import logbook

from peridothitch import errors

__all__ = ["Evacuations"]

_log = logbook.Logger("forwarding")


class Evacuations:
    """The evacuations among the operators' records.

    Parameters
    ----------
    record_codec : peridothitch.ports.record_codec.RecordCodec
    operators : peridothitch.coordination.mirror.Mirror
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    data_centres : frozenset of str
    """

    def __init__(self, record_codec, operators, metrics):
        self._record_codec = record_codec
        self._operators = operators
        self._metrics = metrics
        self._rejected_keys = frozenset()
        self.data_centres = frozenset()
        operators.subscribe(self.refresh)

    def refresh(self):
        """Apply the operators' current records."""
        found, rejected_keys = set(), set()
        for key in self._operators.items():
            try:
                data_centre = self._record_codec.decode_evacuation(key)
            except errors.DocumentError as error:
                rejected_keys.add(key)
                self._log_rejected(key, error)
                continue
            if data_centre is not None:
                found.add(data_centre)
        self._rejected_keys = frozenset(rejected_keys)
        before, self.data_centres = self.data_centres, frozenset(found)
        for data_centre in sorted(before ^ self.data_centres):
            is_evacuated = data_centre in self.data_centres
            self._metrics.set("evacuated", float(is_evacuated), data_centre=data_centre)
            _log.info(
                "data centre evacuated" if is_evacuated else "evacuation taken back",
                data_centre=data_centre,
            )

    def _log_rejected(self, key, error):
        if key not in self._rejected_keys:
            self._metrics.count("rejected_evacuations")
            _log.error("evacuation rejected", key=key, reason=error.detail)

    def covers(self, host):
        """Return whether a `peridothitch.ports.upstream.Host` may get nothing."""
        return host.data_centre in self.data_centres

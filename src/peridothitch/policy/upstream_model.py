"""Learns from their answers how fast the upstreams of a service work.

Three time scales are kept apart: what is usual for the service, learnt from all of its
upstreams together; how much slower or faster one upstream is than its service, learnt
from few answers and therefore drawn towards the service; and how long work takes at the
moment, as the upstream itself tells. A new incarnation starts from its service.
"""

import collections
import math

from peridothitch.policy import placement, sampled_line, upstream_speeds

__all__ = ["ServiceModel"]

_QUANTILE = 0.3
"""Share of answers that met no queue, also when upstreams are mostly busy."""

_MAX_SAMPLE_AGE_SECONDS = 20.0
_MAX_DEVIATION = math.log(4.0)
_RESIDUAL_COUNT = 32
_RESIDUAL_AGE = 10.0
_CHANGE_COUNT = 7
_MIN_CHANGE = 0.7
_RESIDUAL_QUANTILE = 0.3
_RESIDUAL_STEP = 0.02
_DEVIATION_PRIOR_WEIGHT = 6.0
"""Answers of one upstream that weigh as much as all that is known of its service."""

_PACE_HALF_LIFE_SECONDS = 0.4
"""Told paces change several times a second."""

_PACE_RANGE = 0.4, 4.0
"""What is told beyond this range is believed up to it; answers show the rest."""

_MAX_UNCERTAIN_SHARE = 0.35
"""Answers of which less is known how much was read are not used for the speed."""

_MIN_RATE_RATIO = 2.0
_MIN_SPAN = 2.5
_MIN_SHARED_WEIGHT = 48
"""A rate differs from the assumed one if a line that is based on so many answers to
prompts of such different sizes shows such a ratio."""

_MAX_QUEUED_SHARE = 0.2
"""Tokens that are known to be read first, above which an answer shows no speed."""

_WORK_WEIGHT = 0.05
_WAIT_WEIGHT = 0.05
_MAX_WAIT_SECONDS = 5.0
_MIN_FIT_WEIGHT = 6
_FIXED_TOKEN_SHARE = 0.7
"""Share of a step's time assumed not to depend on its requests, until that is known."""

_MAX_SECONDS = 600.0
_MAX_TOKENS = 1e7
_MAX_PENDING_COUNT = 16
"""Measurements of a service that this host tells in one report."""

_SHARED_AGE_SECONDS = 6.0
"""Age up to which what all hosts have learnt together goes before the own."""

_MEAN_SPEED_RANGE = 0.5, 2.0
_MAX_SHARED_DEVIATIONS = 64
_MIN_SHARED_DEVIATION = 0.1
"""Deviations of more upstreams, and smaller ones, are not told to other hosts."""


class _Deviation:
    """Last residuals of one upstream, and its told pace."""

    def __init__(self):
        self._residuals = collections.deque(maxlen=_RESIDUAL_COUNT)
        self.pace = 1.0
        self.pace_at = -math.inf

    def add(self, residual, now):
        self._residuals.append((residual, now))

    def logarithm(self, now):
        """Return the logarithm of the deviation, drawn towards the service.

        A quantile, since a queue delays some answers and a slow upstream all of them.
        """
        recent = [r for r, at in self._residuals if now - at <= _RESIDUAL_AGE]
        if not recent:
            return 0.0
        newest = sorted(recent[-_CHANGE_COUNT:])
        middle = _quantile(sorted(recent))
        if len(newest) == _CHANGE_COUNT and (
            newest[1] > middle + _MIN_CHANGE or newest[-2] < middle - _MIN_CHANGE
        ):
            # Nearly all of the newest answers differ: the upstream has changed.
            return _quantile(newest)
        return middle * len(recent) / (len(recent) + _DEVIATION_PRIOR_WEIGHT)


def _quantile(values):
    return values[int(_RESIDUAL_QUANTILE * len(values))]


class ServiceModel:
    """What is known of one service; times are monotonic seconds.

    Attributes
    ----------
    is_modelled : bool
        Whether what was learnt decides about requests: once an upstream has told how
        long work takes there, or once the answers at all hosts have shown that prompts
        are read at another rate than is assumed of engines.
    """

    def __init__(self):
        self._reads = sampled_line.SampledLine(_QUANTILE, _MAX_SAMPLE_AGE_SECONDS)
        self._tokens = sampled_line.SampledLine(
            _QUANTILE, _MAX_SAMPLE_AGE_SECONDS, _FIXED_TOKEN_SHARE
        )
        self._pending_pieces = collections.deque(maxlen=_MAX_PENDING_COUNT)
        self._pending_streams = collections.deque(maxlen=_MAX_PENDING_COUNT)
        self._shared = None
        self._shared_at = -math.inf
        self._deviation_by_key = {}
        self._usual_residual = 0.0
        self._hit_rate = 0.5
        self._read_share = 1.0
        self._mean_read_tokens = 0.0
        self._work = self._squared_work = self._wait = 0.0
        self.is_modelled = False

    def retain(self, keys):
        """Forget the upstreams, by id and incarnation, that are not among `keys`."""
        for key in self._deviation_by_key.keys() - set(keys):
            del self._deviation_by_key[key]

    def record_pace(self, key, pace, now):
        """Record how long work takes at an upstream, as it tells."""
        self.is_modelled = True
        known = self._deviation_by_key.setdefault(key, _Deviation())
        known.pace = min(_PACE_RANGE[1], max(_PACE_RANGE[0], pace))
        known.pace_at = now

    def record_first_piece(self, key, piece, now):
        """Learn from a `upstream_speeds.FirstPiece`; absurd ones are ignored."""
        if not 0.0 < piece.seconds < _MAX_SECONDS:
            return
        known = self._deviation_by_key.setdefault(key, _Deviation())
        seconds = piece.seconds / self._pace(known, now)
        fit = self._reads_fit(now)
        read_tokens = piece.uncached_tokens
        has_free_way = piece.queued_tokens <= _MAX_QUEUED_SHARE * read_tokens
        uncertain_share = piece.uncertain_tokens / max(1.0, piece.uncached_tokens)
        if uncertain_share <= _MAX_UNCERTAIN_SHARE:
            read_tokens -= piece.uncertain_tokens / 2
            if has_free_way:
                self._reads.add(read_tokens, seconds, now)
                self._pending_pieces.append((key[0], read_tokens, seconds))
        elif fit is None:
            return
        else:
            is_hit = self._was_cached(fit, piece, seconds)
            read_tokens -= piece.uncertain_tokens * is_hit
            if piece.is_preferred:
                self._hit_rate += _WORK_WEIGHT * (is_hit - self._hit_rate)
        if fit is not None:
            if has_free_way:
                expected = max(fit.at(read_tokens), 1e-4)
                self._add_residual(known, seconds / expected, now)
            self._add_work(fit.slope * read_tokens)
            self._add_wait(seconds - fit.at(read_tokens))
        if piece.prompt_tokens:
            share = read_tokens / piece.prompt_tokens
            self._read_share += _WORK_WEIGHT * (share - self._read_share)
            change = read_tokens - self._mean_read_tokens
            weight = _WORK_WEIGHT if self._mean_read_tokens else 1.0
            self._mean_read_tokens += weight * change

    def record_stream(self, key, stream, now):
        """Learn from a `upstream_speeds.StreamPace`."""
        if stream.tokens <= 0 or not 0.0 < stream.seconds < _MAX_SECONDS:
            return
        known = self._deviation_by_key.setdefault(key, _Deviation())
        seconds = stream.seconds / stream.tokens / self._pace(known, now)
        running = float(max(1, stream.running))
        self._tokens.add(running, seconds, now)
        self._pending_streams.append((running, seconds))

    def take_pending(self):
        """Return the measurements since the last call, to tell them to other hosts.

        Returns
        -------
        tuple of (list of (str, float, float), list of (float, float))
            Upstream, tokens and seconds to the first piece; requests in progress and
            seconds per output token.
        """
        pending = list(self._pending_pieces), list(self._pending_streams)
        self._pending_pieces.clear()
        self._pending_streams.clear()
        return pending

    def absorb(self, pieces, streams, now):
        """Learn from measurements that a host tells; absurd ones are ignored.

        Returns
        -------
        int
            Number of ignored measurements.
        """
        ignored_count = 0
        for host_id, tokens, seconds in pieces[-_MAX_PENDING_COUNT:]:
            if not (0.0 <= tokens <= _MAX_TOKENS and 0.0 < seconds < _MAX_SECONDS):
                ignored_count += 1
                continue
            fit = self.reads(now)
            self._reads.add(tokens, seconds, now)
            if fit is not None:
                known = self._deviation_by_key.setdefault((host_id, ""), _Deviation())
                self._add_residual(known, seconds / max(fit.at(tokens), 1e-4), now)
                self._add_wait(seconds - fit.at(tokens))
        for running, seconds in streams[-_MAX_PENDING_COUNT:]:
            if not (1.0 <= running <= _MAX_TOKENS and 0.0 < seconds < _MAX_SECONDS):
                ignored_count += 1
                continue
            self._tokens.add(running, seconds, now)
        return ignored_count

    def to_shared(self, now):
        """Return the `upstream_speeds.SharedSpeed` learnt from all hosts."""
        deviations = {
            key[0]: round(known.logarithm(now), 2)
            for key, known in self._deviation_by_key.items()
        }
        speeds = [math.exp(-logarithm) for logarithm in deviations.values()]
        largest = sorted(deviations, key=lambda host_id: -abs(deviations[host_id]))
        return upstream_speeds.SharedSpeed(
            reads=self.reads(now),
            tokens=self._tokens.fit(now),
            wait_seconds=self._wait,
            mean_speed=sum(speeds) / len(speeds) if speeds else 1.0,
            deviation_by_host={
                host_id: deviations[host_id]
                for host_id in largest[:_MAX_SHARED_DEVIATIONS]
                if abs(deviations[host_id]) >= _MIN_SHARED_DEVIATION
            },
        )

    def apply_shared(self, shared, now):
        """Use a `upstream_speeds.SharedSpeed` until it is old."""
        self._shared, self._shared_at = shared, now
        if shared.reads is not None and _deviates(shared.reads):
            self.is_modelled = True

    def _fresh_shared(self, now):
        return self._shared if now - self._shared_at <= _SHARED_AGE_SECONDS else None

    def _reads_fit(self, now):
        return self._newer(self._reads.fit(now), "reads", now)

    def _tokens_fit(self, now):
        return self._newer(self._tokens.fit(now), "tokens", now)

    def _newer(self, own, name, now):
        """Return the shared line while it is fresh or the host has no own one."""
        shared = None if self._shared is None else getattr(self._shared, name)
        if own is None or (shared is not None and self._fresh_shared(now) is not None):
            return shared
        return own

    @staticmethod
    def _was_cached(fit, piece, seconds):
        """Return whether the time fits better to uncertain tokens that were cached."""
        most = fit.at(piece.queued_tokens + piece.uncached_tokens)
        least = most - fit.slope * piece.uncertain_tokens
        return seconds * seconds < most * least

    def _add_residual(self, known, ratio, now):
        residual = math.log(max(ratio, 1e-9))
        residual = min(_MAX_DEVIATION, max(-_MAX_DEVIATION, residual))
        known.add(residual - self._usual_residual, now)
        is_above = residual > self._usual_residual
        self._usual_residual += _RESIDUAL_STEP * (_RESIDUAL_QUANTILE - (not is_above))

    def _add_wait(self, seconds):
        seconds = min(_MAX_WAIT_SECONDS, max(0.0, seconds))
        self._wait += _WAIT_WEIGHT * (seconds - self._wait)

    def _add_work(self, seconds):
        weight = _WORK_WEIGHT if self._work else 1.0
        self._work += weight * (seconds - self._work)
        self._squared_work += weight * (seconds * seconds - self._squared_work)

    @staticmethod
    def _pace(known, now):
        age = max(0.0, now - known.pace_at)
        return math.exp(
            math.log(known.pace) * 0.5 ** min(64.0, age / _PACE_HALF_LIFE_SECONDS)
        )

    def factor(self, key, now):
        """Return how long work takes at an upstream relative to its service."""
        known = self._deviation_by_key.get(key)
        shared = self._fresh_shared(now)
        if shared is not None:
            logarithm = shared.deviation_by_host.get(key[0], 0.0)
        else:
            logarithm = 0.0 if known is None else known.logarithm(now)
        logarithm = min(_MAX_DEVIATION, max(-_MAX_DEVIATION, logarithm))
        return math.exp(logarithm) * (1.0 if known is None else self._pace(known, now))

    def reads(self, now):
        """Return the `sampled_line.LineFit` of seconds by tokens, None if unknown."""
        fit = self._reads_fit(now)
        return fit if fit is not None and fit.weight >= _MIN_FIT_WEIGHT else None

    def speed(self, key, now):
        """Return the `upstream_speeds.Speed` of an upstream, None if unknown."""
        fit = self.reads(now)
        if fit is None:
            return None
        factor = self.factor(key, now)
        pace, shared = self._tokens_fit(now), self._fresh_shared(now)
        return upstream_speeds.Speed(
            first_seconds=fit.intercept * factor,
            read_seconds=fit.slope * factor,
            token_seconds=None if pace is None else pace.at(1.0) * factor,
            token_seconds_per_request=0.0 if pace is None else pace.slope * factor,
            mean_read_tokens=self._mean_read_tokens,
            hit_rate=self._hit_rate,
            wait_seconds=self._wait if shared is None else shared.wait_seconds,
        )

    def busy_seconds(self, prompt_tokens, output_tokens, slots, now):
        """Return the time for which a request occupies an average upstream.

        None if it is unknown. The share of an output token is that of a step with all
        places taken.
        """
        fit, pace = self.reads(now), self._tokens_fit(now)
        if fit is None:
            return None
        step_share = 0.0
        if pace is not None:
            step_share = pace.slope + pace.intercept / max(1, slots)
        reading = prompt_tokens * self._read_share * fit.slope
        shared = self._fresh_shared(now)
        mean_speed = 1.0 if shared is None else shared.mean_speed
        low, high = _MEAN_SPEED_RANGE
        mean_speed = min(high, max(low, mean_speed))
        return (reading + output_tokens * step_share) / mean_speed

    def residual_seconds(self):
        """Return the mean rest of the work that an arrival finds in progress."""
        return self._squared_work / (2 * self._work) if self._work else 0.0

    def summary(self, now):
        """Return the estimates and what they are based on, by name."""
        fit, pace = self.reads(now), self._tokens_fit(now)
        factors = [self.factor(key, now) for key in self._deviation_by_key]
        summary = {
            "hit_rate": round(self._hit_rate, 3),
            "read_share": round(self._read_share, 3),
            "least_factor": round(min(factors, default=1.0), 3),
            "largest_factor": round(max(factors, default=1.0), 3),
        }
        if fit is not None:
            summary |= {
                "first_ms": round(fit.intercept * 1e3, 2),
                "read_ms_per_token": round(fit.slope * 1e3, 5),
                "samples": fit.weight,
                "spread": round(fit.spread, 3),
                "age_seconds": round(now - fit.newest_at, 1),
                "wait_ms": round(self._wait * 1e3, 1),
                "residual_ms": round(self.residual_seconds() * 1e3, 1),
            }
        if pace is not None:
            summary |= {
                "token_ms": round(pace.at(1.0) * 1e3, 3),
                "token_ms_per_request": round(pace.slope * 1e3, 4),
            }
        return summary


def _deviates(reads):
    """Return whether a line shows a rate that differs clearly from the assumed one."""
    ratio = max(reads.slope, 1e-9) * placement.TOKENS_PER_SECOND
    return (
        reads.weight >= _MIN_SHARED_WEIGHT
        and reads.span >= _MIN_SPAN
        and not 1 / _MIN_RATE_RATIO < ratio < _MIN_RATE_RATIO
    )

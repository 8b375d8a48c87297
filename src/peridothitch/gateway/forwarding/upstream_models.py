"""What this entry host has learnt of the speed of upstreams, by service.

Each host tells its measurements to the holder of the duties with its report. The holder
fits one model to those of all hosts and replies with it.
"""

import threading

import logbook

from peridothitch.gateway.forwarding import fleet_messages
from peridothitch.policy import sampled_line, upstream_model, upstream_speeds

__all__ = ["UpstreamModels"]

_PUBLISH_PERIOD_SECONDS = 5.0
_CLIENT_ERROR_STATUS = 400
_MIN_EVENTS = 4
"""Fewer events of a stream don't show its pace."""

_log = logbook.Logger(__name__)


class UpstreamModels:
    """Models of the services, safe for use by many threads.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._model_by_service = {}
        self._fleet_model_by_service = {}
        self._slots_by_service = {}
        self._modelled_services = set()
        self._publish_at = 0.0

    def update(self, hosts):
        """Forget the upstreams that are not among `hosts`."""
        with self._lock:
            keys = {_key(host) for host in hosts}
            for host in hosts:
                self._slots_by_service[host.service] = host.slots
            for model in self._model_by_service.values():
                model.retain(keys)
            fleet_keys = {(host.host_id, "") for host in hosts}
            for model in self._fleet_model_by_service.values():
                model.retain(fleet_keys)

    def is_modelled(self, service):
        """Return whether what was learnt of a service decides about its requests."""
        model = self._model_by_service.get(service)
        return model is not None and model.is_modelled

    def record_load(self, host, load):
        """Learn from the `peridothitch.ports.forwarding.Load` that a host tells."""
        if load.pace is None:
            return
        with self._lock:
            model = self._model(host.service)
            model.record_pace(_key(host), load.pace, self._now())
            self._log_if_modelled(host.service, model, self._now())

    def _log_if_modelled(self, service, model, now):
        """Log once that what was learnt of a service decides about its requests."""
        if model.is_modelled and service not in self._modelled_services:
            self._modelled_services.add(service)
            self._metrics.set("modelled_services", len(self._modelled_services))
            _log.info("service is modelled", service=service, **model.summary(now))

    def _model(self, service):
        model = self._model_by_service.get(service)
        if model is None:
            model = upstream_model.ServiceModel()
            self._model_by_service[service] = model
        return model

    def record_first_piece(self, host, need, uncached_tokens, estimate, seconds):
        """Learn from the time to an answer's first piece.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        need : peridothitch.policy.placement.RequestNeed
        uncached_tokens : float
        estimate : peridothitch.policy.placement.Estimate
        seconds : float
        """
        with self._lock:
            model = self._model(host.service)
            piece = upstream_speeds.FirstPiece(
                uncached_tokens=uncached_tokens,
                uncertain_tokens=min(uncached_tokens, estimate.uncertain_tokens),
                queued_tokens=estimate.queued_tokens,
                prompt_tokens=need.prompt_tokens,
                seconds=seconds,
                is_preferred=estimate.is_preferred,
            )
            model.record_first_piece(_key(host), piece, self._now())
        self._publish_if_due()

    def record_answer(self, attempt, job, stream_seconds):
        """Learn from a whole answer.

        Parameters
        ----------
        attempt : peridothitch.gateway.forwarding.attempt.Attempt
        job : peridothitch.gateway.forwarding.job.Job
        stream_seconds : float
            From the first to the last event.
        """
        load, count = attempt.answer.metadata.load, attempt.event_count
        if (
            load is None
            or count < _MIN_EVENTS
            or attempt.answer.status >= _CLIENT_ERROR_STATUS
        ):
            return
        with self._lock:
            model = self._model_by_service.get(job.service)
            if model is None:
                return
            stream = upstream_speeds.StreamPace(
                seconds=stream_seconds,
                tokens=job.metadata.expected_tokens * (count - 1) / count,
                running=load.running,
            )
            model.record_stream(_key(attempt.host), stream, self._now())

    def take_answers(self):
        """Return the `fleet_messages.Answers` since the last call, by service."""
        with self._lock:
            pending_by_service = {
                service: model.take_pending()
                for service, model in self._model_by_service.items()
            }
        return {
            service: fleet_messages.Answers(tuple(pieces), tuple(streams))
            for service, (pieces, streams) in pending_by_service.items()
            if pieces or streams
        }

    def receive(self, answers_by_service):
        """Learn from the `fleet_messages.Answers` that a host reports."""
        ignored_count = 0
        with self._lock:
            for service, answers in answers_by_service.items():
                model = self._fleet_model_by_service.get(service)
                if model is None:
                    model = upstream_model.ServiceModel()
                    self._fleet_model_by_service[service] = model
                ignored_count += model.absorb(
                    answers.pieces, answers.streams, self._now()
                )
        if ignored_count:
            self._metrics.count("bad_upstream_measurements", ignored_count)

    def shared_speeds(self):
        """Return the `fleet_messages.ServiceSpeed` by service."""
        now = self._now()
        with self._lock:
            shared_by_service = {
                service: model.to_shared(now)
                for service, model in self._fleet_model_by_service.items()
            }
        return {
            service: fleet_messages.ServiceSpeed(
                _to_line(shared.reads, now),
                _to_line(shared.tokens, now),
                round(shared.wait_seconds, 4),
                round(shared.mean_speed, 3),
                shared.deviation_by_host,
            )
            for service, shared in shared_by_service.items()
        }

    def apply(self, speed_by_service):
        """Use what all hosts have learnt together."""
        now = self._now()
        with self._lock:
            for service, speed in speed_by_service.items():
                model = self._model(service)
                shared = upstream_speeds.SharedSpeed(
                    reads=_to_fit(speed.reads, now),
                    tokens=_to_fit(speed.tokens, now),
                    wait_seconds=speed.wait_seconds,
                    mean_speed=speed.mean_speed,
                    deviation_by_host=speed.deviation_by_host,
                )
                model.apply_shared(shared, now)
                self._log_if_modelled(service, model, now)

    def speed(self, host):
        """Return the `upstream_speeds.Speed` of a host, None if it isn't known."""
        with self._lock:
            model = self._model_by_service.get(host.service)
            return None if model is None else model.speed(_key(host), self._now())

    def factor(self, host):
        """Return how long work takes at a host relative to its service."""
        with self._lock:
            model = self._model_by_service.get(host.service)
            return 1.0 if model is None else model.factor(_key(host), self._now())

    def busy_seconds(self, service, prompt_tokens, output_tokens):
        """Return the time for which a request occupies a host, None if unknown."""
        with self._lock:
            model = self._model_by_service.get(service)
            if model is None or not model.is_modelled or not prompt_tokens:
                return None
            slots = self._slots_by_service.get(service, 1)
            return model.busy_seconds(prompt_tokens, output_tokens, slots, self._now())

    def waits(self, service):
        """Return the time to answer an empty prompt and the mean rest of work found.

        Returns
        -------
        tuple of (float, float) or None
            Seconds; None before the service is known.
        """
        with self._lock:
            model = self._model_by_service.get(service)
            if model is None or not model.is_modelled:
                return None
            fit = model.reads(self._now())
            if fit is None or not model.residual_seconds():
                return None
            return fit.intercept, model.residual_seconds()

    def _publish_if_due(self):
        now = self._now()
        with self._lock:
            if now < self._publish_at:
                return
            self._publish_at = now + _PUBLISH_PERIOD_SECONDS
            found = [
                (service, model.summary(now))
                for service, model in self._model_by_service.items()
            ]
        for service, summary in found:
            for name, value in summary.items():
                self._metrics.set(f"upstream_model_{name}", value, service=service)
            _log.info("upstream model", service=service, **summary)

    def _now(self):
        return self._clock.monotonic().total_seconds()


def _key(host):
    return host.host_id, host.incarnation


def _to_line(fit, now):
    if fit is None:
        return None
    return fleet_messages.Line(
        fit.intercept,
        fit.slope,
        fit.weight,
        fit.spread,
        now - fit.newest_at,
        fit.span,
    )


def _to_fit(line, now):
    """Return a told line, None if it isn't one."""
    if line is None or not (0 <= line.intercept < 1e3 and 0 <= line.slope < 1e3):
        return None
    return sampled_line.LineFit(
        line.intercept,
        line.slope,
        line.weight,
        line.spread,
        now - line.age_seconds,
        line.span,
    )

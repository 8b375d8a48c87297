"""Finds upstreams for a request until one answers."""

from peridothitch import errors
from peridothitch.policy import choice
from peridothitch.policy import document as documents

__all__ = ["Dispatcher"]


class Dispatcher:
    """Opens attempts at one host after another.

    Parameters
    ----------
    runner : peridothitch.gateway.attempts.AttemptRunner
    view : peridothitch.gateway.upstreams.UpstreamView
    version_picker : peridothitch.gateway.versions.VersionPicker
    data_centre : str
        Where this entry host is.
    """

    def __init__(self, *, runner, view, version_picker, data_centre):
        self._runner = runner
        self._view = view
        self._version_picker = version_picker
        self._data_centre = data_centre

    def open(self, job, span):
        """Return the first attempt whose answer has begun.

        Returns
        -------
        peridothitch.gateway.attempts.Attempt

        Raises
        ------
        peridothitch.errors.RequestError
            No attempt is left.
        """
        route = job.route
        version = self._version_picker.pick(job)
        tried = set()
        failure = errors.RequestError(
            errors.Code.NO_UPSTREAM, f"no live host runs {route.service} {version}"
        )
        for _ in range(route.attempts):
            host = self._choose(route, version, tried)
            if host is None:
                break
            tried.add(host.host_id)
            try:
                return self._runner.open(job, host, span)
            except errors.UpstreamError as error:
                failure = errors.RequestError(error.code, error.detail, error.ran)
                if not _may_retry(route, error):
                    break
        raise failure

    def _choose(self, route, version, tried):
        context = choice.ChoiceContext(
            version=version,
            data_centre=self._data_centre,
            tried=frozenset(tried),
            in_flight_by_host_id=self._view.in_flight(),
        )
        return choice.choose_host(self._view.hosts(route.service), context)


def _may_retry(route, error):
    if error.ran is errors.Ran.NO:
        return True
    return route.effect is not documents.Effect.ONCE

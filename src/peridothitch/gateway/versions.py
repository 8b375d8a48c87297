"""Picks the version that a request goes to."""

__all__ = ["VersionPicker"]


class VersionPicker:
    """Sends requests to the version in force or to the one that a move tries.

    Parameters
    ----------
    keeper : peridothitch.gateway.move_controller.MoveController or None
        None sends every request to its service's current version.
    """

    def __init__(self, move_controller=None):
        self._keeper = move_controller

    def pick(self, job):
        """Return the name of the version for a request.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        """
        if self._keeper is None:
            return job.service.current
        return self._keeper.pick(job)

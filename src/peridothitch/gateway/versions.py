"""Picks the version that a request goes to."""

__all__ = ["VersionPicker"]


class VersionPicker:
    """Picks the version in force, or the one that a move is testing.

    Parameters
    ----------
    move_controller : peridothitch.gateway.move_controller.MoveController or None
        None sends every request to its service's current version.
    """

    def __init__(self, move_controller=None):
        self._move_controller = move_controller

    def pick(self, job):
        """Return the name of the version for a request.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        """
        if self._move_controller is None:
            return job.service.current
        return self._move_controller.pick(job)

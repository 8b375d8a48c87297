"""Picks the version that a request goes to."""

__all__ = ["VersionPicker"]


class VersionPicker:
    """Sends every request to its service's current version."""

    def pick(self, job):
        """Return the name of the version for a request.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        """
        return job.service.current

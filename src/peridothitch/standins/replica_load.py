"""Room and pauses of a stand-in replica."""

import threading
import time

__all__ = ["Load"]


class Pauses:
    """Falls silent for a while and goes on, without losing anything."""

    _resumes_at = 0.0

    def pause(self, seconds):
        """Neither read nor write for some seconds."""
        self._resumes_at = time.monotonic() + seconds

    def _wait_while_paused(self):
        time.sleep(max(0.0, self._resumes_at - time.monotonic()))


class Room:
    """Room for a number of requests; more are turned away.

    Attributes
    ----------
    room : int
        Requests in progress at the same time.
    work_seconds : float
        Time that a request takes.
    turned_away_at : list of float
        Monotonic seconds of each request for which there was no room.
    """

    room = 4
    work_seconds = 0.05

    def __init__(self):
        self.turned_away_at = []
        self._working_count = 0
        self._room_lock = threading.Lock()

    def do_work(self, sock, request):
        """Run the request after some work, or turn it away for want of room."""
        with self._room_lock:
            has_room = self._working_count < self.room
            if has_room:
                self._working_count += 1
            else:
                self.turned_away_at.append(time.monotonic())
        if not has_room:
            return self.do_refuse(sock, request)
        try:
            time.sleep(self.work_seconds)
            return self.do_answer(sock, request)
        finally:
            with self._room_lock:
                self._working_count -= 1


class Load(Pauses, Room):
    """How a replica bears its load."""

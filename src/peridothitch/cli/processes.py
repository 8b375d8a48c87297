"""Runs a process's servers until it is told to stop."""

import signal
import threading

from peridothitch.adapters import wsgi_front

__all__ = ["serve_application", "stop_event"]


def stop_event():
    """Return an event that SIGTERM and SIGINT set."""
    event = threading.Event()

    def set_event(signum, frame):
        event.set()

    signal.signal(signal.SIGTERM, set_event)
    signal.signal(signal.SIGINT, set_event)
    return event


def serve_application(application, address, announce):
    """Serve a WSGI application until SIGTERM or SIGINT.

    Parameters
    ----------
    application : callable
    address : str
        IP number and port; port 0 takes a free one.
    announce : callable
        Called with the port once the server listens.
    """
    stop = stop_event()
    server = wsgi_front.WsgiServer(application, address)
    server.start()
    announce(server.port)
    stop.wait()
    server.close()

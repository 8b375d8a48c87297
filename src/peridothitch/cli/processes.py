"""Runs a process's servers until it is told to stop."""

import signal

from peridothitch.adapters import wsgi_server

__all__ = [
    "block_reload_signals",
    "block_stop_signals",
    "serve_application",
    "wait_for_signal",
    "wait_for_stop",
]

_STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}
_RELOAD_SIGNALS = _STOP_SIGNALS | {signal.SIGHUP}


def block_stop_signals():
    """Keep SIGTERM and SIGINT pending; call it before any thread is started.

    A handler would run between two instructions of the main thread, where taking a
    lock can block for good.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)


def block_reload_signals():
    """Keep SIGHUP pending besides; for processes that use `wait_for_signal`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _RELOAD_SIGNALS)


def wait_for_stop():
    """Wait for SIGTERM or SIGINT."""
    signal.sigwait(_STOP_SIGNALS)


def wait_for_signal(timeout):
    """Wait for a signal.

    Parameters
    ----------
    timeout : datetime.timedelta

    Returns
    -------
    signal.Signals or None
        SIGHUP, SIGTERM or SIGINT; None if none came in time.
    """
    found = signal.sigtimedwait(_RELOAD_SIGNALS, timeout.total_seconds())
    # A process that was stopped and continued meanwhile gets an answer with a number
    # that was never set.
    if found is None or found.si_signo not in _RELOAD_SIGNALS:
        return None
    return signal.Signals(found.si_signo)


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
    block_stop_signals()
    server = wsgi_server.WsgiServer(application, address)
    server.start()
    announce(server.port)
    wait_for_stop()
    server.close()

"""Blocks and waits for signals, and runs a server until one that stops it."""

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
    """Block SIGTERM and SIGINT, so that they stay pending.

    Call it before any thread is started. A signal handler would run between two
    instructions of the main thread, where acquiring a lock can block forever.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)


def block_reload_signals():
    """Block SIGHUP as well; for processes that use `wait_for_signal`."""
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
        SIGHUP, SIGTERM or SIGINT; None if none arrived before the timeout.
    """
    signal_info = signal.sigtimedwait(_RELOAD_SIGNALS, timeout.total_seconds())
    # If the process is suspended and resumed meanwhile, sigtimedwait returns a result
    # whose signal number was never set.
    if signal_info is None or signal_info.si_signo not in _RELOAD_SIGNALS:
        return None
    return signal.Signals(signal_info.si_signo)


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

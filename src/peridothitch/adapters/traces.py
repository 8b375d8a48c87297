"""Spans for each hop of a request, exported over OTLP when an endpoint is set."""

import contextlib

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

__all__ = ["Tracer", "make_exporter"]

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def make_exporter(endpoint):
    """Return an exporter of spans over OTLP, None when `endpoint` is None."""
    if endpoint is None:
        return None
    # Imported only where it is used, so that other starts don't load it.
    from opentelemetry.exporter.otlp.proto.http import trace_exporter  # noqa: PLC0415

    return trace_exporter.OTLPSpanExporter(endpoint=endpoint)


class Tracer:
    """Starts spans.

    Parameters
    ----------
    instance : str
        Name of this process in its spans.
    exporter : opentelemetry.sdk.trace.export.SpanExporter or None
        Destination of finished spans; None discards them.
    """

    def __init__(self, instance, exporter=None):
        resource = resources.Resource.create(
            {"service.name": "peridothitch", "service.instance.id": instance}
        )
        self._provider = sdk_trace.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        if exporter is not None:
            self._provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("peridothitch")

    @contextlib.contextmanager
    def span(self, name, header_by_name=None, parent=None, **attributes):
        """Start a span, child of the caller's ``traceparent`` or of `parent`.

        Yields
        ------
        opentelemetry.trace.Span
        """
        context = None
        if header_by_name is not None:
            context = _PROPAGATOR.extract(header_by_name)
        if parent is not None:
            context = trace.set_span_in_context(parent)
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        try:
            yield span
        except BaseException as error:
            span.record_exception(error)
            span.set_status(trace.StatusCode.ERROR)
            raise
        finally:
            span.end()

    def headers(self, span):
        """Return the ``traceparent`` header that continues `span`."""
        carrier = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        return carrier

    def close(self):
        """Export pending spans and shut down."""
        self._provider.shutdown()

"""Adapters that an entry host needs to use the platform."""

__all__ = ["Platform"]


class Platform:
    """Adapters through which an entry host uses the platform.

    Attributes
    ----------
    store : peridothitch.ports.store.Store
        Also has ``close()``.
    record_codec : peridothitch.ports.record_codec.RecordCodec
    header_codec : peridothitch.ports.forwarding.HeaderCodec
    duties : peridothitch.ports.duties.PlatformDuties or None
    """

    def __init__(self, store, record_codec, header_codec, duties=None):
        self.store = store
        self.record_codec = record_codec
        self.header_codec = header_codec
        self.duties = duties

"""Heads of a stand-in replica's answers: what they tell, and how they are cut."""

__all__ = ["CutHeads", "Notices"]


class Notices:
    """What a replica tells of itself in the heads of all its answers.

    Attributes
    ----------
    limit : str
        Requests a second that it names as its limit, empty for none.
    is_leaving : bool
        Whether it tells that it leaves.
    retry_after : str
        Seconds after which it wants the next request, empty for none.
    brittle_limit : str
        Requests that it may have to turn away in a second before it falls over, empty
        if it bears any number.
    pace : str
        How long work takes, 100 for as usual; empty if it doesn't tell.
    """

    limit = ""
    is_leaving = False
    retry_after = ""
    brittle_limit = ""
    pace = ""

    def _notice_lines(self):
        lines = []
        if self.limit:
            lines.append(f"Server-Limit: {self.limit}")
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        if self.retry_after:
            lines.append(f"Retry-After: {self.retry_after}")
        if self.brittle_limit:
            lines.append(f"Server-Brittle: {self.brittle_limit}")
        return lines


class CutHeads:
    """Behaviours that run a request and close the connection inside the head."""

    def _cut_head(self, sock, request, marker, size=0):
        """Send the head of an answer up to `size` bytes after a marker."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        length = f"Content-Length: {len(self._body(request))}"
        signature = "Peridothitch-Response-Signature: 3e1b.07"
        head = self._head(request, 200, signature, length)
        sock.sendall(head[: head.index(marker) + len(marker) + size])
        return False

    def do_cut_after_status(self, sock, request):
        """End after the status line."""
        return self._cut_head(sock, request, b" OK\r\n")

    def do_cut_after_signature(self, sock, request):
        """End after the signature, before the length."""
        return self._cut_head(sock, request, b"Signature: 3e1b.07\r\n")

    def do_cut_in_name(self, sock, request):
        """End inside the name of a header."""
        return self._cut_head(sock, request, b"Signature: 3e1b.07\r\nConten")

    def do_cut_in_length(self, sock, request):
        """End inside the number of the length."""
        return self._cut_head(sock, request, b"Content-Length: ", 1)

    def do_cut_after_length(self, sock, request):
        """End before the line that ends the head."""
        return self._cut_head(sock, request, b"Content-Length: ", 4)

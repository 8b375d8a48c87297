"""Faults of a stand-in replica in the heads of its answers."""

__all__ = ["CutHeads"]


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

"""Forwarding of requests that pass unchanged between callers and upstreams."""

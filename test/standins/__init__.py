"""Tests of the stand-ins over loopback sockets."""

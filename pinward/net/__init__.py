"""The real front: a Judge behind HTTP on sockets, on a scheduler of greenlets over select.poll."""

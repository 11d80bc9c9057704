"""What the gateway's programs share: the server side of a client's connection."""
